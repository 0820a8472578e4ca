"""Tests for row exchange between control instances and for restarted control instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio
from result import Err, Ok, Result

from briardyke.addresses import Address
from briardyke.consensus.interface import LogStatus
from briardyke.consensus.members import Member
from briardyke.consensus.state import Role
from briardyke.errors import ErrorKind, Failure
from briardyke.fleet.control import BATCH_INTERVAL_MS, UPSTREAM_SILENT_AFTER_MS, ControlInstance
from briardyke.fleet.machine import ConfigurationMachine
from briardyke.fleet.messages import FleetReply, FleetRequest, RowsUpdate
from briardyke.fleet.records import DRAINING, GONE, READY, SILENT, EntryInstance, Upstream
from briardyke.upstream_limits.statements import LimitStatement

if TYPE_CHECKING:
    from collections.abc import Iterable

ROW = Upstream("e", 1_000, 5, "s", "10.0.0.1:80", "dc", READY)
ENTRY = EntryInstance("entry-1", 1, 1, "10.0.1.1:80", "dc", True)
ADDRESSES = [Address(f"10.0.2.{n}", 7380) for n in range(3)]


class FakeLog:
    """Replace the replicated log by one whose contact with a leader is set by the test."""

    def __init__(self) -> None:
        self.has_contact = True

    async def wait_applied(self, index: int) -> None:
        if index > 1:
            await trio.sleep_forever()

    def has_leader_contact(self, window_ms: float) -> bool:
        return self.has_contact

    def commit_lag_ms(self) -> float:
        return 0.0

    def proof_age_ms(self) -> float | None:
        return 0.0

    def status(self) -> LogStatus:
        members = [Member(f"m{n}", a, True) for n, a in enumerate(ADDRESSES)]
        return LogStatus("m0", Role.FOLLOWER, 3, "m1", ADDRESSES[1], 1, 1, 1, members, True)


@attrs.define
class FakeNetwork:
    """Deliver messages between control instances; those in ``down`` never reply."""

    instances: dict[Address, ControlInstance] = attrs.field(factory=dict)
    down: set[Address] = attrs.field(factory=set)
    sent: list[RowsUpdate] = attrs.field(factory=list)

    def client(self, address: Address) -> _Client:
        return _Client(self, address)

    def broadcast(self, addresses: Iterable[Address], update: RowsUpdate) -> None:
        self.sent.append(update)
        for address in addresses:
            if address in self.instances and address not in self.down:
                self.instances[address].rows.apply_update(update)

    def start(self, number: int) -> ControlInstance:
        own = ADDRESSES[number]
        log: Any = FakeLog()
        peers: Any = self
        control = ControlInstance(log, ConfigurationMachine(), peers, own, "dc")
        self.instances[own] = control
        return control


@attrs.define
class _Client:
    network: FakeNetwork
    address: Address

    async def call(
        self, message: Any, timeout_ms: float, *, is_repeatable: bool = False
    ) -> Result[Any, Failure]:
        await trio.sleep(0.01)
        if self.address in self.network.down or self.address not in self.network.instances:
            await trio.sleep(timeout_ms / 1000.0)
            return Err(Failure(ErrorKind.PEER_TIMEOUT, "down"))
        return Ok(await self.network.instances[self.address].handle("peer", message))


@pytest.fixture
async def network(autojump_clock: trio.testing.MockClock) -> FakeNetwork:
    return FakeNetwork()


def request(**changes: Any) -> FleetRequest:
    return attrs.evolve(FleetRequest(ENTRY, 1, "", 0, 0, 0, 0.0), **changes)


async def ask(control: ControlInstance, message: FleetRequest) -> FleetReply:
    reply = await control.handle("entry-1", message)
    assert isinstance(reply, FleetReply)
    return reply


class TestRestart:
    """Covers a control instance that restarts while others run."""

    @pytest.mark.parametrize("lifecycle", [DRAINING, GONE])
    async def test_departure_is_fetched_before_replying_as_current(
        self,
        autojump_clock: trio.testing.MockClock,
        network: FakeNetwork,
        lifecycle: str,
        nursery: trio.Nursery,
    ) -> None:
        informed, other = network.start(1), network.start(2)
        other.announce(ROW)
        informed.tables.upstreams.merge(attrs.evolve(ROW, lifecycle=lifecycle, sequence=6))
        started = network.start(0)
        assert not (await ask(started, request())).is_current
        nursery.start_soon(started.run)
        await trio.sleep(0.1)
        reply = await ask(started, request())
        assert reply.is_current
        assert [row.lifecycle for row in reply.upstreams] == [lifecycle]
        started.announce(ROW)  # sent before the departure
        reply = await ask(started, request())
        assert [row.lifecycle for row in reply.upstreams] == [lifecycle]

    async def test_unreachable_instances_delay_the_start_only_until_the_timeout(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork, nursery: trio.Nursery
    ) -> None:
        started = network.start(0)
        network.down = set(ADDRESSES[1:])
        nursery.start_soon(started.run)
        await trio.sleep(1.2)
        assert (await ask(started, request())).is_current

    async def test_departure_of_an_unknown_upstream_is_recorded(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork
    ) -> None:
        started = network.start(0)
        assert started.record_departure("e")
        started.announce(ROW)
        held = started.tables.upstreams.get("e")
        assert held is not None and held.lifecycle == GONE


class TestRegainedContact:
    """Covers control instances that all restarted, as after a loss of power.

    An upstream announces itself to one of them before its connections to the others are open, so
    the others missed the row and refused the requests for its models for three seconds.
    """

    async def test_missed_rows_are_fetched_at_once(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork, nursery: trio.Nursery
    ) -> None:
        one, two = network.start(0), network.start(1)
        log: Any = two.log
        log.has_contact = False
        nursery.start_soon(one.run)
        nursery.start_soon(two.run)
        await trio.sleep(1.0)
        network.down = set(ADDRESSES)
        one.announce(ROW)
        network.down = set()
        assert two.tables.upstreams.get("e") is None
        log.has_contact = True
        await trio.sleep(2 * BATCH_INTERVAL_MS / 1000.0)
        assert two.tables.upstreams.get("e") == ROW


class TestRepeatedRows:
    """Covers rows that owners repeat unchanged."""

    async def test_repeated_ids_keep_a_row_from_becoming_silent(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork, nursery: trio.Nursery
    ) -> None:
        one, two = network.start(0), network.start(1)
        nursery.start_soon(one.run)
        nursery.start_soon(two.run)
        for number in range(40):
            one.announce(attrs.evolve(ROW, sequence=5 + number))
            await trio.sleep(0.4)
        assert not two.tables.upstreams.is_silent("e")
        full = [u for u in network.sent if u.upstreams]
        assert len(full) <= len([u for u in network.sent if u.repeated_upstreams]) / 4
        await trio.sleep(UPSTREAM_SILENT_AFTER_MS / 1000.0 + 1.0)
        assert two.tables.upstreams.is_silent("e")
        assert [r.lifecycle for r in (await ask(two, request())).upstreams] == [SILENT]
        one.announce(attrs.evolve(ROW, sequence=90))
        await trio.sleep(2 * BATCH_INTERVAL_MS / 1000.0)
        assert not two.tables.upstreams.is_silent("e")

    async def test_missed_change_arrives_with_the_next_full_rows(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork, nursery: trio.Nursery
    ) -> None:
        one, two = network.start(0), network.start(1)
        nursery.start_soon(one.run)
        nursery.start_soon(two.run)
        one.announce(ROW)
        network.down = {ADDRESSES[1]}
        one.announce(attrs.evolve(ROW, sequence=6, lifecycle=DRAINING))
        network.down = set()
        for number in range(5):
            one.announce(attrs.evolve(ROW, sequence=7 + number, lifecycle=DRAINING))
            await trio.sleep(1.2)  # in step with every second batch of full rows
        held = two.tables.upstreams.get("e")
        assert held is not None and held.lifecycle == DRAINING

    async def test_row_of_another_incarnation_is_not_confirmed(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork
    ) -> None:
        one = network.start(0)
        one.announce(ROW)
        assert not one.tables.upstreams.confirm("e", ROW.incarnation + 1)
        assert not one.tables.upstreams.confirm("unknown", 1)


class TestEntryInstances:
    """Covers what entry instances receive about each other."""

    async def test_only_a_busy_instance_receives_the_requests_in_flight_of_others(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork
    ) -> None:
        one = network.start(0)
        one.rows.is_complete = True
        busy = attrs.evolve(ENTRY, instance_id="b", carried_per_s=2.0, in_flight={"e": [4, 1]})
        await ask(one, request(entry=busy))
        asker = attrs.evolve(ENTRY, carried_per_s=1.0, in_flight={"e": [1, 0]})
        assert (await ask(one, request(entry=asker))).others == {"e": [4, 1]}
        assert (await ask(one, request())).others == {}

    async def test_rows_of_entry_instances_are_sent_without_activity(
        self, autojump_clock: trio.testing.MockClock, network: FakeNetwork
    ) -> None:
        one = network.start(0)
        one.rows.is_complete = True
        busy = attrs.evolve(ENTRY, demand={"m": 2.0}, in_flight={"e": [4, 1]})
        reply = await ask(one, request(entry=busy))
        assert reply.entries == [ENTRY]
        assert one.demand() == {"m": 2.0}


class TestUpstreamLimits:
    """Covers limits of upstreams that entry instances of several control instances report."""

    async def test_only_statements_of_own_entry_instances_are_passed_on(self) -> None:
        """Guards against statements that look newer with each passage between control instances."""
        network = FakeNetwork()
        control = network.start(0)
        own = LimitStatement("u", 1, 2.0, 2000.0, 1000.0)
        newer = attrs.evolve(own, sent_age_ms=100.0, received_age_ms=0.0)
        control.rows.record_report(attrs.evolve(ENTRY, limits=[own]))
        control.rows.apply_update(RowsUpdate(*([], [], [], []), limits=[newer]))
        control.rows.record_report(attrs.evolve(ENTRY, sequence=2, limits=[own]))
        control.rows.broadcast_batch()
        (passed_on,) = network.sent[-1].limits
        assert passed_on.received_age_ms == pytest.approx(1000.0, abs=50.0)

    async def test_end_of_a_limit_that_others_reported_is_passed_on(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        network = FakeNetwork()
        control, other = network.start(0), network.start(1)
        stated = LimitStatement("u", 1, 2.0, 100.0, 0.0)
        control.rows.record_report(attrs.evolve(ENTRY, limits=[stated]))
        await trio.sleep(1.0)
        ended = attrs.evolve(stated, limit_per_s=None)
        other.rows.record_report(attrs.evolve(ENTRY, instance_id="entry-2", limits=[ended]))
        assert control.rows.limits.limit_per_s("u", 1) is None

    async def test_new_limit_reaches_the_other_instances_and_their_entries_at_once(self) -> None:
        network = FakeNetwork()
        control, other = network.start(0), network.start(1)
        stated = LimitStatement("u", 1, 2.0, 100.0, 0.0)
        control.rows.record_report(attrs.evolve(ENTRY, limits=[stated]))
        assert other.rows.limits.limit_per_s("u", 1) == 2.0
        assert other.rows.limits.sequence == 1
