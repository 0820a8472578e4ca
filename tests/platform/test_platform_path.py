"""Tests of the whole path as separate processes, through the platform's protocol."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import trio
from platform_cluster import DIRECTORY_PORT, READY_PORT, Reply, call
from platform_site import configuration

from briardyke.http.exchange import header
from briardyke.http.h11_client import UpstreamConnection

if TYPE_CHECKING:
    from platform_cluster import Cluster
    from platform_site import Site

pytestmark = pytest.mark.process
EVENTS = b"".join(b"id: %d\ndata: token-%d\n\n" % (i, i) for i in range(1, 6))


class TestCalmDay:
    """Covers each kind of request and the operator's calls without faults."""

    async def test_every_kind_of_request_is_served(self, site: Site) -> None:
        stream = await site.send("/chat/1", "s-1", "m")
        assert (stream.status, stream.body) == (200, EVENTS)
        assert header(stream.headers, b"server-stamp") == b"stamp"
        bought = await site.send("/buy/1", "b-1")
        assert (bought.status, bought.body) == (200, b"cba")
        assert sum(app.ran.count("b-1") for app in site.apps) == 1
        assert (await site.send("/see/1", "l-1")).status == 200
        assert (await site.send("/other/1", "o-1")).status == 404

    async def test_model_that_nobody_holds_is_loaded(self, site: Site) -> None:
        first = await site.send("/chat/1", "s-2", "n")
        assert first.status in (200, 503)
        with trio.fail_after(10):
            while (await site.send("/chat/1", "s-3", "n")).status != 200:
                await trio.sleep(0.2)
        orders = [o for e in site.engines for o in e.orders if o["model"] == "n"]
        assert {o["op"] for o in orders} == {"load"}
        assert len({o["holder"] for o in orders}) == 1

    async def test_adapter_is_loaded_beside_its_model(self, site: Site) -> None:
        answer = await site.send("/chat/1", "s-4", "m/a1")
        assert (answer.status, answer.body) == (200, EVENTS)
        assert [e.models["m"] for e in site.engines if e.models["m"]] == [["a1"]]

    async def test_full_upstreams_give_a_promise_with_a_time(self, site: Site) -> None:
        for app in site.apps:
            app.is_full = True
        answer = await site.send("/buy/1", "b-2")
        assert answer.status == 503
        assert float(header(answer.headers, b"retry-after") or b"0") > 0
        assert all("b-2" not in app.ran for app in site.apps)

    async def test_failure_of_an_upstream_is_passed_on_as_it_is(self, site: Site) -> None:
        for app in site.apps:
            app.status = 500
        answer = await site.send("/buy/1", "b-3")
        assert (answer.status, header(answer.headers, b"server-stamp")) == (500, b"stamp")
        assert sum(app.ran.count("b-3") for app in site.apps) == 1

    async def test_operator_calls(self, site: Site) -> None:
        cluster = site.cluster
        for index in (1, 2, 3):
            assert json.loads((await cluster.operate(index, "GET")).body)["version"] == 5
        assert (await cluster.operate(2, "PUT", configuration(9))).status == 200
        other = configuration(9, services=[{"name": "pool"}, {"name": "app"}])
        assert (await cluster.operate(1, "PUT", other)).status == 200
        assert (await cluster.operate(3, "PUT", configuration(7))).status == 200
        assert (await cluster.operate(3, "PUT", configuration(12)[:-9])).status == 400
        assert (await cluster.operate(3, "GET")).body == configuration(9)

    async def test_addresses_name_ready_instances(self, site: Site) -> None:
        target = "/briardyke/resolve?name=h.example&region=r&zone=dc-1"
        reply = await call(site.cluster.entry(2, DIRECTORY_PORT), "GET", target, {})
        assert set(json.loads(reply.body)["addresses"]) == {
            str(site.cluster.entry(1)),
            str(site.cluster.entry(2)),
        }


class TestFaults:
    """Covers upstreams and processes that fail."""

    async def test_broken_stream_goes_on_at_the_other_engine(self, site: Site) -> None:
        for engine in site.engines:
            engine.breaks_after = 3
        whole = await site.send("/chat/1", "s-5", "m")
        assert (whole.status, whole.body) == (200, EVENTS)
        assert [e.ran.count("s-5") for e in site.engines] == [1, 1]

    async def test_engine_is_free_after_its_caller_has_gone(self, site: Site) -> None:
        for engine in site.engines:
            engine.event_pause_s = 0.2
        headers = [(b"host", b"h.example"), (b"request-id", b"s-6"), (b"model", b"m")]
        stream = await trio.open_tcp_stream(site.cluster.entry(1).host, 8149)
        connection = UpstreamConnection(stream)
        async with trio.open_nursery() as nursery:
            await connection.send("GET", "/chat/1", headers, b"", nursery)
            await connection.read_head(lambda _: True)
        await connection.aclose()
        with trio.fail_after(0.5):
            while not any("s-6" in engine.given_up for engine in site.engines):
                await trio.sleep(0.02)

    async def test_acknowledged_change_outlives_the_kill_of_all(self, site: Site) -> None:
        cluster = site.cluster
        await cluster.put(configuration(20))
        names = list(cluster.processes)
        cluster.stop()
        for name in names:
            cluster.start(name, is_first_start=False)
        await cluster.wait_ready(1)
        with trio.fail_after(10):
            while (reply := await cluster.operate(2, "GET")).status != 200:
                await trio.sleep(0.2)
        assert reply.body == configuration(20)
        assert (await site.send("/buy/1", "b-4")).status == 200

    async def test_empty_disk_joins_again_and_holds_the_change(self, site: Site) -> None:
        cluster = site.cluster
        await cluster.put(configuration(21))
        cluster.kill("control-2")
        cluster.processes["control-2"].wait()
        for file in sorted((cluster.folder / "control-2").rglob("*"), reverse=True):
            file.rmdir() if file.is_dir() else file.unlink()
        cluster.start("control-2", is_first_start=False)
        await trio.sleep(4.0)
        cluster.kill("control-1")
        with trio.fail_after(10):
            while (reply := await cluster.operate(2, "GET")).status != 200:
                await trio.sleep(0.2)
        assert reply.body == configuration(21)

    async def test_stop_of_an_entry_instance_breaks_no_request(self, site: Site) -> None:
        for engine in site.engines:
            engine.event_pause_s = 0.1
        replies: list[Reply] = []

        async def send(request_id: str) -> None:
            replies.append(await site.send("/chat/1", request_id, "m"))

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(send, f"s-1{number}")
            await trio.sleep(0.2)
            site.cluster.kill("entry-1", 15)
            await trio.sleep(0.2)
            ready = await call(site.cluster.entry(1, READY_PORT), "GET", "/briardyke/ready", {})
            assert ready.status == 503
        assert [reply.body for reply in replies] == [EVENTS] * 8
        with trio.fail_after(4):
            while site.cluster.processes["entry-1"].poll() is None:
                await trio.sleep(0.1)
        assert site.cluster.processes["entry-1"].returncode == 0

    async def test_request_that_waits_for_its_model_is_refused_at_a_stop(self, site: Site) -> None:
        for engine in site.engines:
            engine.takes_orders = False
        replies: list[Reply] = []

        async def send() -> None:
            replies.append(await site.send("/slow/1", "s-7", "n"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.3)
            site.cluster.kill("entry-1", 15)
        assert [reply.status for reply in replies] == [503]
        assert all("s-7" not in engine.ran for engine in site.engines)

    async def test_reload_signal_ends_no_process(self, site: Site) -> None:
        for name in site.cluster.processes:
            site.cluster.kill(name, 1)
        await trio.sleep(0.5)
        assert all(p.poll() is None for p in site.cluster.processes.values())

    async def test_minority_gives_no_read_and_no_acknowledgement(self, site: Site) -> None:
        site.cluster.kill("control-1")
        site.cluster.kill("control-2")
        await trio.sleep(1.5)
        assert (await site.cluster.operate(3, "GET")).status == 503
        assert (await site.cluster.operate(3, "PUT", configuration(30))).status == 503
        assert (await site.send("/buy/1", "b-5")).status == 200


class TestBadSettings:
    """Covers settings that cannot be used."""

    async def test_one_clear_line_and_its_exit_code(self, cluster: Cluster) -> None:
        cluster.start("entry-1", settings="{}")
        cluster.processes["entry-1"].wait(timeout=10)
        assert cluster.processes["entry-1"].returncode == 2
        lines = (cluster.folder / "entry-1.log").read_text(encoding="utf-8").splitlines()
        assert len([line for line in lines if "event=settings_invalid" in line]) == 1
