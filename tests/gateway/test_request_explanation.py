"""Tests for the explanation of a request by an entry instance."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import attrs
import pytest
import trio
from coordinator_support import CONTROLS, PLACED, QUEUED, REJECTED, FakeCoordinators
from gateway_support import Gateway, ScriptedUpstream, remainder

from briardyke.accounts.types import ClientAccount, key_digest
from briardyke.addresses import Address
from briardyke.clock import now_ms
from briardyke.dispatch.messages import Candidate, DispatchReply, ExplainReply, ExplainRequest
from briardyke.fleet.records import DRAINING
from briardyke.gateway.coordinators import Coordinators
from briardyke.gateway.dispatch_client import DispatchClient
from briardyke.gateway.explanation import RequestExplainer
from briardyke.gateway.forward import Forwarder
from briardyke.http.client import HttpClient
from briardyke.http.h11_server import H11Server
from briardyke.platform.entry_api import EXPLAIN_PATH, EntryApi
from briardyke.routes.matching import RouteTable

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ORDER = Coordinators().order("pool", CONTROLS, 0.0)
KEY = "k7b2ex5wa5xwyhks8nbk"
REPLY = ExplainReply(
    DispatchReply(PLACED, "u1", 120.0),
    "would be placed on u1",
    False,
    3,
    [
        Candidate("u1", "", 0.1, 500, 5.0, 120.0, 0.0, 0.0, 1, 8, 0, 900, 1.0, 1.2),
        Candidate(
            *("u0", "no free slot", 2.0, 0, 9.0, 400.0, 0.0, float("inf"), 8, 8, 2, 10, 1.0, 1.0)
        ),
    ],
    [],
)


async def never(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    raise AssertionError("an explanation sends no request")


@attrs.define
class Site:
    """Entry instance with its readiness listener."""

    gateway: Gateway
    address: Address
    fake: FakeCoordinators
    http: HttpClient

    async def ask(self, path: str = "/chat/x", **named: Any) -> tuple[int, Any]:
        query = urlencode({"host": "h", "path": path, **named})
        called = await self.http.call(
            "GET", self.address, f"{EXPLAIN_PATH}?{query}", timeout_ms=5000.0
        )
        response = called.unwrap()
        return response.status, response.json()

    async def explain(self, path: str = "/chat/x", **named: Any) -> Any:
        status, body = await self.ask(path, **named)
        assert status == 200, body
        return body

    async def add_engines(self, count: int, slowness: float | None = 1.0) -> list[Any]:
        for _ in range(count):
            await self.gateway.add("pool", never)
        states = self.gateway.state.upstreams.of_service("pool")
        for state in states:
            state.slowness, state.slowness_ms = slowness, now_ms()
        return states

    def add_account(self) -> None:
        state = self.gateway.state
        assert state.routes is not None
        accounts = (ClientAccount("hule930", (key_digest(KEY.encode()),), 1),)
        state.routes = RouteTable(attrs.evolve(state.routes.configuration, accounts=accounts))


@pytest.fixture
async def site(gateway: Gateway) -> AsyncIterator[Site]:
    state, fake = gateway.state, FakeCoordinators(REPLY)
    state.dispatch = DispatchClient("i-1", fake, lambda: CONTROLS, state.counters)
    entry: Any = SimpleNamespace(explainer=RequestExplainer(state, Forwarder(state)))
    async with trio.open_nursery() as nursery:
        server = H11Server(EntryApi(entry).handle)
        port = await nursery.start(server.serve, Address("127.0.0.1", 0))
        http = HttpClient()
        yield Site(gateway, Address("127.0.0.1", port), fake, http)
        await http.aclose()
        nursery.cancel_scope.cancel()


def exclusions(body: Any) -> dict[str, str]:
    return {u["upstream_id"]: u["excluded"] for u in body["upstreams"]}


class TestUpstreams:
    """Covers the reasons that put upstreams out."""

    async def test_each_excluded_upstream_has_its_reason(self, site: Site) -> None:
        """Guards against an operator who cannot tell why an upstream gets no requests."""
        lost, leaving, draining, empty, withheld, paused, limited, fit = await site.add_engines(8)
        lost.connect_failures, lost.connect_failed_ms = 2, now_ms()
        leaving.statements.is_leaving = True
        draining.row = attrs.evolve(draining.row, lifecycle=DRAINING)
        empty.row = attrs.evolve(empty.row, models=[])
        withheld.withheld = frozenset({"m"})
        paused.statements.paused_until_ms = now_ms() + 60_000.0
        limits = site.gateway.state.limits
        limits.record(limited.row, 1.0, now_ms())
        assert await limits.take_permit(limited.row, [limited, fit]) is None
        body = await site.explain(model="m")
        assert exclusions(body) == {
            "u0": "not reachable",
            "u1": "leaving",
            "u2": "not ready: draining",
            "u3": "lacks the model",
            "u4": "withheld",
            "u5": "asked for a pause",
            "u6": "limited",
            "u7": "",
        }
        free_in_ms = {u["upstream_id"]: u["free_in_ms"] for u in body["upstreams"]}
        assert free_in_ms["u5"] > 1000.0 and 0.0 < free_in_ms["u6"] <= 500.0

    async def test_request_that_all_upstreams_pause_is_told_when_to_return(
        self, site: Site
    ) -> None:
        (paused,) = await site.add_engines(1)
        paused.statements.paused_until_ms = now_ms() + 900.0
        outcome = (await site.explain(model="m"))["outcome"]
        assert outcome["outcome"] == REJECTED and 0 < outcome["retry_after_ms"] <= 900
        assert outcome["reason"].startswith("upstream_limited: ")

    async def test_missing_model_is_explained_and_not_ordered(self, site: Site) -> None:
        """Guards against a question that lets the leader load a model."""
        (empty,) = await site.add_engines(1)
        empty.row = attrs.evolve(empty.row, models=[])
        outcome = (await site.explain(model="m"))["outcome"]
        assert outcome["outcome"] == REJECTED and outcome["retry_after_ms"] > 0
        assert outcome["reason"].startswith("model_loading: m is not loaded")
        assert site.gateway.state.missing_models.names() == []

    async def test_service_without_upstreams_is_waited_for(self, site: Site) -> None:
        body = await site.explain("/buy/x")
        assert (body["outcome"]["outcome"], body["upstreams"]) == (QUEUED, [])


class TestDecision:
    """Covers who decides and what."""

    async def test_coordinator_gets_the_request_that_would_be_sent(self, site: Site) -> None:
        """Guards against figures for another request than that of the caller."""
        await site.add_engines(2)
        named = {"model": "m", "prefix": "system:1000,user:460", "output_tokens": "90"}
        body = await site.explain(prompt_tokens="1460", **named)
        ((address, message),) = site.fake.requests
        assert address == ORDER[0] and isinstance(message, ExplainRequest)
        asked = message.request
        assert (asked.model, asked.prompt_tokens, asked.output_tokens) == ("m", 1460, 90)
        assert (asked.prefix_ids, asked.prefix_tokens) == (["system", "user"], [1000, 460])
        assert sorted(asked.upstream_ids) == ["u0", "u1"]
        assert asked.first_event_objective_ms == pytest.approx(500.0, abs=100.0)
        assert asked.event_gap_objective_ms == 250.0 and 1000.0 < asked.max_wait_ms <= 1500.0
        assert body["decided_by"] == f"coordinator {ORDER[0]}"
        assert body["outcome"]["upstream_id"] == "u1" and not body["is_drawn"]
        assert (body["route"], body["service"]) == ("chat", "pool")
        candidates = body["coordinated"]["candidates"]
        assert [c["ready_ms"] for c in candidates] == [0.0, None]

    async def test_nothing_is_counted_sent_or_charged(self, site: Site) -> None:
        """Guards against a question that looks like a request to the rest of the system."""
        states = await site.add_engines(2)
        await site.explain(model="m")
        await site.explain("/see/x")
        state = site.gateway.state
        assert not state.counters.events and not state.demand.rates()
        assert not state.demand.active_count and not state._budgets
        assert not site.fake.reports
        assert [s.in_flight for s in states] == [0, 0]

    async def test_silent_coordinator_stays_first_in_order(self, site: Site) -> None:
        await site.add_engines(1)
        site.fake.lost = {ORDER[0]}
        body = await site.explain(model="m")
        assert body["decided_by"] == f"coordinator {ORDER[1]}"
        assert site.gateway.state.dispatch is not None
        assert site.gateway.state.dispatch._coordinator("pool") == ORDER[0]

    async def test_without_coordinator_the_instance_draws_by_load(self, site: Site) -> None:
        await site.add_engines(1)
        site.fake.reply = None
        body = await site.explain(model="m")
        assert body["decided_by"] == "entry instance, since no coordinator answers"
        assert body["is_drawn"] and body["outcome"]["upstream_id"] == "u0"

    async def test_engines_that_state_no_slowness_cause_no_message(self, site: Site) -> None:
        await site.add_engines(1, slowness=None)
        body = await site.explain(model="m")
        assert body["decided_by"] == "entry instance" and not site.fake.requests

    async def test_plain_service_is_drawn(self, site: Site) -> None:
        await site.gateway.add("app", remainder)
        body = await site.explain("/see/x?q=1")
        assert body["targets"] == {"app": 1} and body["coordinated"] is None
        assert (body["outcome"]["outcome"], body["is_drawn"]) == (PLACED, True)


class TestAccounts:
    """Covers accounts, which are named without their keys."""

    async def test_account_is_that_of_the_name(self, site: Site) -> None:
        site.add_account()
        await site.add_engines(1)
        body = await site.explain(model="m", account="hule930")
        ((_, message),) = site.fake.requests
        assert (message.request.account, body["account"]) == ("hule930", "hule930")
        assert message.request.account_priority == body["priority"]
        text = json.dumps(body)
        assert KEY not in text and key_digest(KEY.encode()).hex() not in text

    @pytest.mark.parametrize(
        ("named", "status", "kind"),
        [
            ({"account": "nobody"}, 404, "not_found"),
            ({}, 401, "unauthenticated"),
            ({"account": "hule930", "path": "nowhere"}, 404, "not_found"),
            ({"account": "hule930", "path": ""}, 400, "field_invalid"),
            ({"account": "hule930", "model": "\u4e00"}, 400, "field_invalid"),
        ],
    )
    async def test_wrong_question_is_an_error(
        self, site: Site, named: dict[str, str], status: int, kind: str
    ) -> None:
        """Guards against an explanation of a request that was not meant."""
        site.add_account()
        found, body = await site.ask(**named)
        assert (found, body["error"]["kind"]) == (status, kind)

    async def test_unproven_instance_says_so(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        site.add_account()
        monkeypatch.setattr(type(site.gateway.state.proof), "is_valid", False)
        status, body = await site.ask(account="hule930")
        assert (status, body["error"]["kind"]) == (503, "version_unconfirmed")
