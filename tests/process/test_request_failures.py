"""Check requests in flight while real processes stop, die or leave."""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING, Any

import pytest

from briardyke.standins.generation import whole_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from cluster import Cluster

pytestmark = pytest.mark.process

LEAVING_BOUND_S = 4.0
SUSPENDED_S = 6.5  # longer than every lease and age


class Load:
    """Send requests from several threads until told to stop, and check every answer."""

    def __init__(self, cluster: Cluster, threads: int = 6, tokens: int = 30) -> None:
        """Start the threads.

        :param cluster: where to send.
        :param threads: number of callers.
        :param tokens: length of each response.
        """
        self._cluster = cluster
        self._tokens = tokens
        self._stop = threading.Event()
        self.complete = 0
        self.problems: list[str] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Stop and wait for the requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        cached: tuple[float, list[str]] = (0.0, [])
        count = 0
        while not self._stop.is_set():
            if time.monotonic() > cached[0]:
                cached = self._ask()
            request_id = f"load-{number}-{count}"
            count += 1
            self._request(cached[1][(number + count) % len(cached[1])], request_id)

    def _ask(self) -> tuple[float, list[str]]:
        for name in self._cluster.names("entry"):
            try:
                answer = self._cluster.call(name, "GET", "/v1/addresses", timeout_s=2).json()
            except OSError:
                continue
            names = [row["instance_id"] for row in answer["addresses"]]
            if names:
                return time.monotonic() + answer["ttl_ms"] / 1000.0, names
        return time.monotonic() + 0.05, self._cluster.names("entry")

    def _request(self, name: str, request_id: str) -> None:
        try:
            answer = self._cluster.chat(
                name, tokens=self._tokens, stream=True, x_request_id=request_id, prompt="p"
            )
        except OSError as error:
            self.problems.append(f"{request_id} at {name}: {error!r}")
            return
        expected = whole_text(request_id, "m1", "user: p", self._tokens)
        if answer.status != 200 or not answer.body.endswith(b"data: [DONE]\n\n"):
            self.problems.append(f"{request_id} at {name}: {answer.status} {answer.body[-300:]!r}")
        elif _text(answer.body) != expected:
            self.problems.append(f"{request_id} at {name}: wrong text")
        else:
            self.complete += 1


class TestRollingRestart:
    """Guards against a planned stop that cuts off or refuses a request."""

    def test_no_request_is_lost(self, start_cluster: Callable[..., Cluster]) -> None:
        cluster = start_cluster(entries=3, engines=2)
        cluster.configure()
        _spread(cluster, "m1")
        load = Load(cluster)
        for name in [*cluster.names("entry"), *cluster.names("control"), "sorting-1"]:
            assert cluster.stop(name) == 0, name
            cluster.launch(name)
            if name.startswith("entry"):
                cluster.until(
                    lambda name=name: cluster.call(name, "GET", "/ready").status == 200, name
                )
            elif name.startswith("control"):
                cluster.until(lambda name=name: cluster.status(name).get("ready") is True, name)
                cluster.wait_for_leader()
        load.finish()
        assert load.problems == []
        assert load.complete > 20


class TestKilledEngine:
    """Guards against answers that end early or repeat tokens when an engine dies."""

    def test_streams_resume_on_the_other_engine(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=2, engines=2)
        cluster.configure()
        _spread(cluster, "m1")
        load = Load(cluster)
        for name in ("sorting-1", "sorting-2"):
            time.sleep(1.0)
            cluster.kill(name)
            cluster.launch(name)
            cluster.until(lambda: len(_carriers(cluster, "m1")) == 2, f"return of {name}", 60.0)
        load.finish()
        assert load.problems == []
        assert load.complete > 20

    def test_models_of_a_dead_engine_are_placed_again(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=1, engines=2)
        cluster.configure()
        cluster.until(lambda: all(_carriers(cluster, m) for m in ("m1", "m2", "m3")), "placement")
        cluster.kill("sorting-1")
        for model in ("m1", "m2", "m3"):
            answer = cluster.chat("entry-1", model, timeout_s=60.0)
            assert answer.status == 200, answer.body
        counters = cluster.call("sorting-2", "GET", "/counters").json()
        assert counters["overcommitted"] == 0
        assert counters["peak_bytes"] <= counters["capacity_bytes"]


class TestWokenEntry:
    """Guards against giving up open streams because all evidence expired during a suspension."""

    def test_open_stream_goes_on(self, start_cluster: Callable[..., Cluster]) -> None:
        cluster = start_cluster(
            entries=1, engines=1, engine_flags=("--request-tokens-per-second", "20")
        )
        cluster.configure()
        assert cluster.chat("entry-1").status == 200
        load = Load(cluster, threads=1, tokens=100)
        _until_running(cluster, "sorting-1")
        time.sleep(1.0)  # the first tokens have reached the entry process
        cluster.freeze("entry-1")
        time.sleep(SUSPENDED_S)
        cluster.thaw("entry-1")
        load.finish()
        assert [p for p in load.problems if "load-0-0 " in p] == []


class TestLeavingEngine:
    """Guards against new work on an upstream that is leaving."""

    def test_no_new_work_after_the_bound(self, start_cluster: Callable[..., Cluster]) -> None:
        cluster = start_cluster(
            entries=2, engines=2, engine_flags=("--request-tokens-per-second", "30")
        )
        cluster.configure()
        _spread(cluster, "m1")
        cluster.cuts.add("entry-2")  # it must learn without the control processes
        load = Load(cluster, threads=4)
        time.sleep(1.0)
        child = cluster.processes["sorting-1"].child
        assert child is not None
        child.terminate()
        time.sleep(LEAVING_BOUND_S)
        views = [
            cluster.call(name, "GET", "/health").json()["upstreams"]
            for name in cluster.names("entry")
        ]
        child.wait(timeout=60)
        load.finish()
        assert all("sorting-1" not in view for view in views), views
        assert [p for p in load.problems if "version_unconfirmed" not in p] == []


class TestNonIdempotentCalls:
    """Guards against a purchase that is charged twice."""

    def test_killed_entry_and_resend_elsewhere(self, start_cluster: Callable[..., Cluster]) -> None:
        cluster = start_cluster(entries=2, engines=1)
        cluster.configure()
        _fault(cluster, "sales-1", slow=1, slow_ms=800.0)
        lost = threading.Thread(target=_purchase, args=(cluster, "entry-1", "k1"))
        lost.start()
        cluster.until(lambda: _runs(cluster) == {"k1": 1}, "dispatch")
        cluster.kill("entry-1")
        lost.join()
        again = _purchase(cluster, "entry-2", "k1")
        assert again[0] in (200, 201) or again[1]["error"]["ran"] == "unknown"
        assert _runs(cluster) == {"k1": 1}

    def test_answer_is_kept_over_a_restart_of_everything(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=2, engines=1)
        cluster.configure()
        first = _purchase(cluster, "entry-1", "k1")
        assert first[0] == 201
        for name in [*cluster.names("control"), *cluster.names("entry")]:
            cluster.kill(name)
            cluster.launch(name)
        cluster.until(cluster.all_ready, "restart")
        assert _purchase(cluster, "entry-2", "k1") == first
        assert _runs(cluster) == {"k1": 1}

    def test_without_claims_nothing_is_dispatched(
        self, start_cluster: Callable[..., Cluster]
    ) -> None:
        cluster = start_cluster(entries=1, engines=1)
        cluster.configure()
        for name in cluster.names("control"):
            cluster.kill(name)
        status, body = _purchase(cluster, "entry-1", "k1")
        assert (status, body["error"]["kind"]) == (503, "claim_unavailable")
        assert _runs(cluster) == {}


def _purchase(cluster: Cluster, name: str, key: str) -> tuple[int, Any]:
    try:
        answer = cluster.call(
            name, "POST", "/services/sales/purchases", {"lot": 1}, 30.0, idempotency_key=key
        )
    except OSError:
        return 0, None
    return answer.status, answer.json()


def _runs(cluster: Cluster) -> dict[str, int]:
    return cluster.call("sales-1", "GET", "/counters").json()["runs_by_key"]


def _fault(cluster: Cluster, name: str, **switches: Any) -> None:
    assert cluster.call(name, "POST", "/v1/faults", switches).status == 200


def _carriers(cluster: Cluster, model: str) -> list[str]:
    carriers = []
    for name in cluster.names("sorting"):
        row = cluster.call(name, "GET", "/health").json()
        if any(item["name"] == model and item["state"] == "loaded" for item in row["loaded"]):
            carriers.append(name)
    return carriers


def _spread(cluster: Cluster, model: str) -> None:
    """Have a model loaded on two engines, so that one may go."""
    version = cluster.status_of_leader()["version"]
    patch = {"models": {model: {"minimum_replicas": 2}}}
    answer = cluster.patch(version, patch, request_id=f"spread-{version}")
    assert answer.status == 200, answer.body
    cluster.until(lambda: len(_carriers(cluster, model)) == 2, f"two replicas of {model}")
    cluster.until(lambda: cluster.entry_versions() == {version + 1}, "version in force")


def _until_running(cluster: Cluster, name: str) -> None:
    cluster.until(
        lambda: "load-0-0" in cluster.call(name, "GET", "/counters").json()["runs"], "dispatch"
    )


def _text(stream: bytes) -> str:
    lines = [line[6:] for line in stream.split(b"\n") if line.startswith(b"data: {")]
    deltas = [json.loads(line)["choices"][0]["delta"] for line in lines]
    return "".join(delta.get("content", "") for delta in deltas)
