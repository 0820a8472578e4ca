"""Tests for the rows that control instances exchange, and for one that starts again."""

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
from briardyke.fleet.control import BATCH_INTERVAL_MS, UPSTREAM_SILENCE_MS, ControlInstance
from briardyke.fleet.machine import ConfigurationMachine
from briardyke.fleet.messages import FleetReply, FleetRequest, RowsUpdate
from briardyke.fleet.records import DRAINING, GONE, READY, SILENT, EntryInstance, Upstream

if TYPE_CHECKING:
    from collections.abc import Iterable

ROW = Upstream("e", 1_000, 5, "s", "10.0.0.1:80", "dc", READY)
ENTRY = EntryInstance("entry-1", 1, 1, "10.0.1.1:80", "dc", True)
ADDRESSES = [Address(f"10.0.2.{n}", 7380) for n in range(3)]


class Log:
    """Follow a leader all the time."""

    async def wait_applied(self, index: int) -> None:
        if index > 1:
            await trio.sleep_forever()

    def hears_leader(self, window_ms: float) -> bool:
        return True

    def status(self) -> LogStatus:
        members = [Member(f"m{n}", a, True) for n, a in enumerate(ADDRESSES)]
        return LogStatus("m0", Role.FOLLOWER, 3, "m1", ADDRESSES[1], 1, 1, members, True)


@attrs.define
class Network:
    """Carry messages between control instances; those in ``down`` answer nothing."""

    instances: dict[Address, ControlInstance] = attrs.field(factory=dict)
    down: set[Address] = attrs.field(factory=set)
    sent: list[RowsUpdate] = attrs.field(factory=list)

    def client(self, address: Address) -> _Client:
        return _Client(self, address)

    def send_all(self, addresses: Iterable[Address], update: RowsUpdate) -> None:
        self.sent.append(update)
        for address in addresses:
            if address in self.instances and address not in self.down:
                self.instances[address].rows.apply_update(update)

    def add(self, number: int) -> ControlInstance:
        own = ADDRESSES[number]
        log: Any = Log()
        peers: Any = self
        found = ControlInstance(log, ConfigurationMachine(), peers, own, "dc")
        self.instances[own] = found
        return found


@attrs.define
class _Client:
    network: Network
    address: Address

    async def call(self, message: Any, timeout_ms: float) -> Result[Any, Failure]:
        await trio.sleep(0.01)
        if self.address in self.network.down or self.address not in self.network.instances:
            await trio.sleep(timeout_ms / 1000.0)
            return Err(Failure(ErrorKind.PEER_TIMEOUT, "down"))
        return Ok(await self.network.instances[self.address].handle("peer", message))


@pytest.fixture
async def network(autojump_clock: trio.testing.MockClock) -> Network:
    return Network()


def request(**changes: Any) -> FleetRequest:
    return attrs.evolve(FleetRequest(ENTRY, 1, "", 0, 0, 0, 0.0), **changes)


async def answer(control: ControlInstance, message: FleetRequest) -> FleetReply:
    reply = await control.handle("entry-1", message)
    assert isinstance(reply, FleetReply)
    return reply


class TestStart:
    """Covers a control instance that starts again beside others."""

    @pytest.mark.parametrize("lifecycle", [DRAINING, GONE])
    async def test_departure_is_known_before_entry_instances_are_told_anything(
        self,
        autojump_clock: trio.testing.MockClock,
        network: Network,
        lifecycle: str,
        nursery: trio.Nursery,
    ) -> None:
        knowing, other = network.add(1), network.add(2)
        other.announce(ROW)
        knowing.tables.upstreams.merge(attrs.evolve(ROW, lifecycle=lifecycle, sequence=6))
        started = network.add(0)
        assert not (await answer(started, request())).is_current
        nursery.start_soon(started.run)
        await trio.sleep(0.1)
        reply = await answer(started, request())
        assert reply.is_current
        assert [row.lifecycle for row in reply.upstreams] == [lifecycle]
        started.announce(ROW)  # sent before the departure
        reply = await answer(started, request())
        assert [row.lifecycle for row in reply.upstreams] == [lifecycle]

    async def test_instances_that_do_not_answer_delay_it_only_so_long(
        self, autojump_clock: trio.testing.MockClock, network: Network, nursery: trio.Nursery
    ) -> None:
        started = network.add(0)
        network.down = set(ADDRESSES[1:])
        nursery.start_soon(started.run)
        await trio.sleep(1.2)
        assert (await answer(started, request())).is_current

    async def test_departure_of_an_upstream_not_known_here_is_kept(
        self, autojump_clock: trio.testing.MockClock, network: Network
    ) -> None:
        started = network.add(0)
        assert started.record_departure("e")
        started.announce(ROW)
        held = started.tables.upstreams.get("e")
        assert held is not None and held.lifecycle == GONE


class TestRepeatedRows:
    """Covers rows that owners only repeat."""

    async def test_names_keep_a_row_from_falling_silent(
        self, autojump_clock: trio.testing.MockClock, network: Network, nursery: trio.Nursery
    ) -> None:
        one, two = network.add(0), network.add(1)
        nursery.start_soon(one.run)
        nursery.start_soon(two.run)
        for number in range(40):
            one.announce(attrs.evolve(ROW, sequence=5 + number))
            await trio.sleep(0.4)
        assert not two.tables.upstreams.is_silent("e")
        whole = [u for u in network.sent if u.upstreams]
        assert len(whole) <= len([u for u in network.sent if u.repeated_upstreams]) / 4
        await trio.sleep(UPSTREAM_SILENCE_MS / 1000.0 + 1.0)
        assert two.tables.upstreams.is_silent("e")
        assert [r.lifecycle for r in (await answer(two, request())).upstreams] == [SILENT]
        one.announce(attrs.evolve(ROW, sequence=90))
        await trio.sleep(2 * BATCH_INTERVAL_MS / 1000.0)
        assert not two.tables.upstreams.is_silent("e")

    async def test_missed_change_comes_with_the_next_whole_rows(
        self, autojump_clock: trio.testing.MockClock, network: Network, nursery: trio.Nursery
    ) -> None:
        one, two = network.add(0), network.add(1)
        nursery.start_soon(one.run)
        nursery.start_soon(two.run)
        one.announce(ROW)
        network.down = {ADDRESSES[1]}
        one.announce(attrs.evolve(ROW, sequence=6, lifecycle=DRAINING))
        network.down = set()
        for number in range(5):
            one.announce(attrs.evolve(ROW, sequence=7 + number, lifecycle=DRAINING))
            await trio.sleep(1.2)  # in step with every second batch of whole rows
        held = two.tables.upstreams.get("e")
        assert held is not None and held.lifecycle == DRAINING

    async def test_row_of_another_incarnation_is_not_confirmed(
        self, autojump_clock: trio.testing.MockClock, network: Network
    ) -> None:
        one = network.add(0)
        one.announce(ROW)
        assert not one.tables.upstreams.confirm("e", ROW.incarnation + 1)
        assert not one.tables.upstreams.confirm("unknown", 1)


class TestEntryInstances:
    """Covers what entry instances are told of each other."""

    async def test_only_a_busy_instance_is_told_what_others_have_in_flight(
        self, autojump_clock: trio.testing.MockClock, network: Network
    ) -> None:
        one = network.add(0)
        one.rows.is_complete = True
        busy = attrs.evolve(ENTRY, instance_id="b", carried_per_s=2.0, in_flight={"e": [4, 1]})
        await answer(one, request(entry=busy))
        asker = attrs.evolve(ENTRY, carried_per_s=1.0, in_flight={"e": [1, 0]})
        assert (await answer(one, request(entry=asker))).others == {"e": [4, 1]}
        assert (await answer(one, request())).others == {}

    async def test_rows_of_instances_travel_without_their_activity(
        self, autojump_clock: trio.testing.MockClock, network: Network
    ) -> None:
        one = network.add(0)
        one.rows.is_complete = True
        busy = attrs.evolve(ENTRY, demand={"m": 2.0}, in_flight={"e": [4, 1]})
        reply = await answer(one, request(entry=busy))
        assert reply.entries == [ENTRY]
        assert one.demand() == {"m": 2.0}
