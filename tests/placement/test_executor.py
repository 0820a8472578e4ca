"""Tests for the placement runner with a fake clock, client and ledger."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import trio
from placement_support import FakeEngine, ReferenceLedger, configuration
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.http.client import WholeResponse
from briardyke.placement.executor import PlacementRunner
from briardyke.placement.orders import Order
from briardyke.placement.types import PlacementView, Step, StepKind
from briardyke.wire.messages import LoadedItem

if TYPE_CHECKING:
    from briardyke.agreed.records import Reservation


@attrs.define
class _FakeEnvironment:
    """Provide the ledger, the view, the lease and the HTTP client of one runner."""

    engines: dict[str, FakeEngine]
    models: dict[str, int]
    ledger: ReferenceLedger = attrs.field(factory=ReferenceLedger)
    calls: list[tuple[str, str]] = attrs.field(factory=list)
    is_leader: bool = True
    loses_lease_during_commit: bool = False
    silent_engine: str = ""
    term: int = 0

    def view(self) -> PlacementView:
        rows = {}
        for position, (name, engine) in enumerate(self.engines.items()):
            rows[name] = attrs.evolve(engine.row(), address=f"127.0.0.1:{position + 1}")
            self.ledger.register(rows[name])
        return self.ledger.view(configuration(self.models), rows, self.term)

    async def reserve(self, reservation: Reservation) -> Result[None, Failure]:
        await trio.sleep(0.01)
        self.calls.append(("reserve", reservation.item))
        self.is_leader = self.is_leader and not self.loses_lease_during_commit
        return self.ledger.reserve(reservation)

    async def end(
        self, upstream_id: str, incarnation: str, item: str, fencing_token: int
    ) -> Result[None, Failure]:
        self.calls.append(("end", item))
        return self.ledger.end(upstream_id, incarnation, item, fencing_token)

    async def call(
        self, method: str, address: Any, target: str, *, body: bytes, **_: Any
    ) -> Result[WholeResponse, Failure]:
        assert (method, target) == ("POST", "/v1/orders")
        fields = json.loads(body)
        name, engine = list(self.engines.items())[address.port - 1]
        self.calls.append((fields["kind"], fields["item"]))
        if name == self.silent_engine:
            await trio.sleep(2.0)
            return Err(Failure(ErrorKind.UPSTREAM_FAILED, "the call timed out"))
        kind = StepKind(fields["kind"])
        step = Step(kind, name, fields["incarnation"], fields["item"], fields["size_bytes"])
        outcome = engine.execute(Order(fields["order_id"], fields["fencing_token"], step, 0.0))
        engine.finish_loads()
        document = {"error": {"kind": "fenced"}} if outcome == "fenced" else {}
        return Ok(WholeResponse(409 if document else 200, {}, json.dumps(document).encode()))

    async def run(self, seconds: float) -> None:
        self.term += 1  # Each runner is the leader of a new term.
        runner = PlacementRunner(self, self.view, lambda: self.is_leader, self)  # type: ignore
        with trio.move_on_after(seconds):
            await runner.run()


class TestPlacementRunner:
    """Guards against orders without a reservation or lease, and delays by a single engine."""

    async def test_reservation_commits_before_each_load(self, autojump_clock: Any) -> None:
        """Guards against a load whose memory is not reserved."""
        environment = _FakeEnvironment({"e1": FakeEngine("e1", 4, True)}, {"a": 1, "b": 2})
        await environment.run(5.0)
        assert set(environment.engines["e1"].items) == {"a", "b"}
        for item in "ab":
            assert environment.calls.index(("reserve", item)) < environment.calls.index(
                ("load", item)
            )

    async def test_nothing_is_sent_after_the_lease_was_lost(self, autojump_clock: Any) -> None:
        """Guards against an order by a leader that was replaced during the commit."""
        environment = _FakeEnvironment(
            {"e1": FakeEngine("e1", 4, True)}, {"a": 1}, loses_lease_during_commit=True
        )
        await environment.run(5.0)
        assert environment.calls == [("reserve", "a")]

    async def test_confirmed_unload_ends_the_reservation(self, autojump_clock: Any) -> None:
        """Guards against memory that stays reserved after it was freed."""
        environment = _FakeEnvironment({"e1": FakeEngine("e1", 4, True)}, {"a": 3})
        await environment.run(3.0)
        environment.models = {"b": 3}
        await environment.run(5.0)
        assert set(environment.engines["e1"].items) == {"b"}
        assert set(environment.ledger.reservations) == {("e1", "b")}
        assert environment.calls.index(("end", "a")) < environment.calls.index(("reserve", "b"))

    async def test_item_without_reservation_is_unloaded_once(self, autojump_clock: Any) -> None:
        """Guards against repeated unloads of an item that the engine had from its start."""
        environment = _FakeEnvironment({"e1": FakeEngine("e1", 4, True)}, {"a": 3})
        environment.engines["e1"].items["old"] = LoadedItem("old", 3, "", "loaded")
        await environment.run(5.0)
        assert set(environment.engines["e1"].items) == {"a"}
        assert environment.calls == [("unload", "old"), ("reserve", "a"), ("load", "a")]

    async def test_silent_engine_does_not_delay_others(self, autojump_clock: Any) -> None:
        """Guards against one silent engine that blocks the orders to all others."""
        engines = {name: FakeEngine(name, 2, True) for name in ("e1", "e2")}
        environment = _FakeEnvironment(engines, {"a": 2, "b": 2}, silent_engine="e1")
        await environment.run(1.5)
        assert len(engines["e2"].items) == 1
        kind, item = next(call for call in environment.calls if call[0] == "load")
        assert (kind, len(engines["e1"].items), bool(item)) == ("load", 0, True)
