"""Check the whole path with real processes: callers, operators and faulty input."""

from __future__ import annotations

import json
import socket
import threading
from typing import TYPE_CHECKING

import pytest

from briardyke.standins.generation import whole_text

if TYPE_CHECKING:
    from cluster import Cluster

pytestmark = pytest.mark.process


class TestCallers:
    """Guards against a part that works by itself but not in the running system."""

    def test_addresses_put_the_callers_data_centre_first(self, shared_cluster: Cluster) -> None:
        cluster = shared_cluster
        path = "/v1/addresses?data_centre=dc-2"
        cluster.until(
            lambda: len(cluster.call("entry-1", "GET", path).json()["addresses"]) == 2,
            "both listed",
        )
        answer = cluster.call("entry-1", "GET", path).json()
        assert [row["instance_id"] for row in answer["addresses"]] == ["entry-2", "entry-1"]
        assert answer["ttl_ms"] == 600

    @pytest.mark.parametrize("model", ["m1", "m2", "m3", "a1"])
    def test_every_model_and_adapter_answers(self, shared_cluster: Cluster, model: str) -> None:
        answer = shared_cluster.chat("entry-1", model, x_request_id=f"r-{model}")
        assert answer.status == 200, answer.body
        assert answer.headers["x-request-id"] == f"r-{model}"
        text = answer.json()["choices"][0]["message"]["content"]
        assert text == whole_text(f"r-{model}", model, "user: sort this lot", 4)

    def test_stream_is_whole_and_resumes_through_another_instance(
        self, shared_cluster: Cluster
    ) -> None:
        first = shared_cluster.chat("entry-1", tokens=6, stream=True, x_request_id="s1")
        second = shared_cluster.chat(
            "entry-2", tokens=6, stream=True, x_request_id="s1", last_event_id="4"
        )
        assert first.body.endswith(b"data: [DONE]\n\n")
        assert second.body.endswith(b"data: [DONE]\n\n")
        assert _texts(first.body)[4:] == _texts(second.body)

    def test_models_are_listed(self, shared_cluster: Cluster) -> None:
        rows = shared_cluster.call("entry-1", "GET", "/v1/models").json()["data"]
        assert [row["id"] for row in rows] == ["m1", "m2", "m3", "a1"]

    def test_same_key_at_two_instances_at_once_runs_once(self, shared_cluster: Cluster) -> None:
        answers: list[tuple[int, str]] = []

        def purchase(name: str) -> None:
            answer = shared_cluster.call(
                name, "POST", "/services/sales/purchases", {"lot": 1}, idempotency_key="once"
            )
            answers.append((answer.status, answer.body.decode()))

        threads = [
            threading.Thread(target=purchase, args=(name,)) for name in ("entry-1", "entry-2") * 4
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        runs = shared_cluster.call("sales-1", "GET", "/counters").json()["runs_by_key"]
        assert runs == {"once": 1}
        whole = {body for status, body in answers if status < 300}
        unknown = [body for status, body in answers if status >= 300]
        assert len(whole) == 1, unknown
        assert all(json.loads(body)["error"]["ran"] == "unknown" for body in unknown)


class TestBadInput:
    """Guards against faulty input that changes state or gets an answer without its kind."""

    @pytest.mark.parametrize(
        ("body", "headers", "kind", "field"),
        [
            (b"{", {}, "malformed_request", "body"),
            ({"model": "none", "messages": []}, {}, "unknown_model", "model"),
            ({"model": 7}, {}, "field_invalid", "model"),
            ({"model": "m1"}, {}, "field_invalid", "messages"),
            ({"model": "m1", "prompt": "x", "max_tokens": 0}, {}, "field_invalid", "max_tokens"),
            ({"model": "m1", "prompt": "x", "stream": 1}, {}, "field_invalid", "stream"),
            ({"model": "m1", "prompt": "x"}, {"x_priority": "a"}, "field_invalid", "x-priority"),
            (
                {"model": "m1", "prompt": "x"},
                {"x_deadline_ms": "-1"},
                "field_invalid",
                "x-deadline-ms",
            ),
            (
                {"model": "m1", "prompt": "x"},
                {"last_event_id": "x"},
                "field_invalid",
                "last-event-id",
            ),
            (
                {"model": "m1", "prompt": "x"},
                {"authorization": "Bearer no"},
                "unauthenticated",
                "authorization",
            ),
            (b"x" * 4_194_305, {}, "body_too_large", "body"),
        ],
    )
    def test_caller_gets_kind_and_field(
        self, shared_cluster: Cluster, body: object, headers: dict[str, str], kind: str, field: str
    ) -> None:
        answer = shared_cluster.call("entry-1", "POST", "/v1/completions", body, **headers)
        error = answer.json()["error"]
        assert (error["kind"], error["field"], error["ran"]) == (kind, field, "no")

    @pytest.mark.parametrize("name", ["none", "m1"])
    def test_unknown_service(self, shared_cluster: Cluster, name: str) -> None:
        answer = shared_cluster.call("entry-1", "GET", f"/services/{name}/stock/1")
        assert answer.json()["error"]["kind"] == "unknown_service"

    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"lifecycle": "asleep"}, "lifecycle"),
            ({"kind": "other"}, "kind"),
            ({"address": "host:1"}, "address"),
            ({"incarnation": ""}, "upstream_id"),
            ({"loaded": 7}, "body"),
        ],
    )
    def test_faulty_announcement_changes_nothing(
        self, shared_cluster: Cluster, change: dict[str, object], field: str
    ) -> None:
        row = shared_cluster.call("sorting-1", "GET", "/health").json()
        faulty = {**row, "upstream_id": "intruder", **change}
        answer = shared_cluster.call("entry-1", "POST", "/v1/upstreams/announce", faulty)
        assert answer.json()["error"]["field"] == field
        assert (
            "intruder" not in shared_cluster.call("entry-1", "GET", "/health").json()["upstreams"]
        )

    def test_garbage_on_the_peer_port_ends_only_its_connection(
        self, shared_cluster: Cluster
    ) -> None:
        port = int(_flag(shared_cluster, "control-1", "--peer-listen").rpartition(":")[2])
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\x00\x00\x00\x02\xff\xff", b"\xff" * 64):
            with socket.create_connection(("127.0.0.1", port), timeout=10) as stream:
                stream.sendall(data)
                stream.shutdown(socket.SHUT_WR)
                while stream.recv(1024):
                    pass
        assert shared_cluster.status("control-1")["version"] == 1


class TestOperators:
    """Guards against two operators winning one number, and a resend that runs twice."""

    def test_race_resend_and_audit(self, shared_cluster: Cluster) -> None:
        cluster = shared_cluster
        base = cluster.status_of_leader()["version"]
        names = cluster.names("control") * 3
        answers: dict[str, int] = {}

        def race(number: int, name: str) -> None:
            patch = {"targets": {"first_token_ms": 600 + number}}
            answer = cluster.patch(base, patch, request_id=f"race-{number}", name=name)
            answers[f"race-{number}"] = answer.status

        threads = [threading.Thread(target=race, args=pair) for pair in enumerate(names)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(answers.values()) == [200] + [412] * (len(names) - 1)
        for request_id, status in answers.items():
            number = int(request_id.partition("-")[2])
            patch = {"targets": {"first_token_ms": 600 + number}}
            for name in cluster.names("control"):
                again = cluster.patch(base, patch, request_id=request_id, name=name)
                assert (again.status, again.json().get("version")) == (
                    status,
                    base + 1 if status == 200 else None,
                )
        leader = cluster.wait_for_leader()
        records = cluster.call(leader, "GET", "/v1/audit").json()["records"]
        mine = [r for r in records if r["request_id"].startswith("race-")]
        assert len(mine) == len(names)
        assert [r["to_version"] for r in mine if not r["refused"]] == [base + 1]


def _texts(stream: bytes) -> list[str]:
    lines = [line[6:] for line in stream.split(b"\n") if line.startswith(b"data: {")]
    deltas = [json.loads(line)["choices"][0]["delta"] for line in lines]
    return [delta["content"] for delta in deltas if "content" in delta]


def _flag(cluster: Cluster, name: str, flag: str) -> str:
    flags = cluster.processes[name].flags
    return flags[flags.index(flag) + 1]
