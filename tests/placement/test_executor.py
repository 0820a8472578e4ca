"""Check the runner on a paused clock with a fake client and ledger."""

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
class _Pool:
    """Be the ledger, the view, the lease and the HTTP client of one runner."""

    engines: dict[str, FakeEngine]
    models: dict[str, int]
    ledger: ReferenceLedger = attrs.field(factory=ReferenceLedger)
    calls: list[tuple[str, str]] = attrs.field(factory=list)
    leading: bool = True
    lose_lease_in_commit: bool = False
    broken: str = ""
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
        self.leading = self.leading and not self.lose_lease_in_commit
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
        if name == self.broken:
            await trio.sleep(2.0)
            return Err(Failure(ErrorKind.UPSTREAM_FAILED, "timed out"))
        kind = StepKind(fields["kind"])
        step = Step(kind, name, fields["incarnation"], fields["item"], fields["size_bytes"])
        answer = engine.take(Order(fields["order_id"], fields["fencing_token"], step, 0.0))
        engine.finish_loads()
        document = {"error": {"kind": "fenced"}} if answer == "fenced" else {}
        return Ok(WholeResponse(409 if document else 200, {}, json.dumps(document).encode()))

    async def run(self, seconds: float) -> None:
        self.term += 1  # a second runner stands for the leader of the next term
        runner = PlacementRunner(self, self.view, lambda: self.leading, self)  # type: ignore
        with trio.move_on_after(seconds):
            await runner.run()


class TestPlacementRunner:
    """Guards against orders without a reservation or a lease, and stops by a single engine."""

    async def test_reservation_commits_before_each_load(self, autojump_clock: Any) -> None:
        """Guards against memory that is ordered but not held."""
        pool = _Pool({"e1": FakeEngine("e1", 4, True)}, {"a": 1, "b": 2})
        await pool.run(5.0)
        assert set(pool.engines["e1"].items) == {"a", "b"}
        for item in "ab":
            assert pool.calls.index(("reserve", item)) < pool.calls.index(("load", item))

    async def test_nothing_is_sent_without_the_lease(self, autojump_clock: Any) -> None:
        """Guards against an order by a leader that was replaced while it committed."""
        pool = _Pool({"e1": FakeEngine("e1", 4, True)}, {"a": 1}, lose_lease_in_commit=True)
        await pool.run(5.0)
        assert pool.calls == [("reserve", "a")]

    async def test_confirmed_unload_ends_the_reservation(self, autojump_clock: Any) -> None:
        """Guards against memory that stays held after it was freed."""
        pool = _Pool({"e1": FakeEngine("e1", 4, True)}, {"a": 3})
        await pool.run(3.0)
        pool.models = {"b": 3}
        await pool.run(5.0)
        assert set(pool.engines["e1"].items) == {"b"}
        assert set(pool.ledger.reservations) == {("e1", "b")}
        assert pool.calls.index(("end", "a")) < pool.calls.index(("reserve", "b"))

    async def test_item_without_reservation_is_unloaded_once(self, autojump_clock: Any) -> None:
        """Guards against ending for ever what an engine had loaded from its start."""
        pool = _Pool({"e1": FakeEngine("e1", 4, True)}, {"a": 3})
        pool.engines["e1"].items["old"] = LoadedItem("old", 3, "", "loaded")
        await pool.run(5.0)
        assert set(pool.engines["e1"].items) == {"a"}
        assert pool.calls == [("unload", "old"), ("reserve", "a"), ("load", "a")]

    async def test_broken_engine_does_not_delay_others(self, autojump_clock: Any) -> None:
        """Guards against one silent engine that stops the whole pool."""
        engines = {name: FakeEngine(name, 2, True) for name in ("e1", "e2")}
        pool = _Pool(engines, {"a": 2, "b": 2}, broken="e1")
        await pool.run(1.5)
        assert len(engines["e2"].items) == 1
        kind, item = next(call for call in pool.calls if call[0] == "load")
        assert (kind, len(engines["e1"].items), bool(item)) == ("load", 0, True)
