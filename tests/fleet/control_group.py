"""Run control instances with real logs and entry instances that follow them, on a paused clock."""

from __future__ import annotations

import errno
import random
from typing import TYPE_CHECKING, Any

import attrs
import trio
from result import Err, Ok, Result

from briardyke.addresses import Address
from briardyke.clock import now_ms
from briardyke.consensus.driver import ReplicatedLog
from briardyke.consensus.identity import initialise, open_identity
from briardyke.consensus.messages import AppendReply, AppendRequest, GroupMessage, SnapshotChunk
from briardyke.consensus.state import NodeSettings
from briardyke.consensus.storage import DiskFullError
from briardyke.errors import ErrorKind, Failure
from briardyke.fleet.client import EntryCallbacks, FleetClient
from briardyke.fleet.control import ControlInstance
from briardyke.fleet.machine import ConfigurationMachine
from briardyke.fleet.records import EntryInstance
from briardyke.software_versions.runner import ServiceVersionsRunner
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path

ADDRESSES = {name: Address(f"10.0.0.{n}", 7380) for n, name in enumerate("abc", start=1)}
LATENCY_S = 0.001


@attrs.define
class Fault:
    """What disturbs one control instance.

    :param has_stalled_disk: whether writes wait.
    :param has_full_disk: whether writes find no room.
    :param loses_entries: whether messages with entries of the log are lost on their way to it.
    :param is_cut_off: whether it exchanges no message with other control instances.
    :param loses_replies: whether its replies to the leader are lost.
    :param is_silent: whether calls of entry instances get no reply.
    :param reply_delay_s: time for which replies wait at an entry instance that stands still.
    """

    has_stalled_disk: bool = False
    has_full_disk: bool = False
    loses_entries: bool = False
    is_cut_off: bool = False
    loses_replies: bool = False
    is_silent: bool = False
    reply_delay_s: float = 0.0
    repaired: Notifier = attrs.field(factory=Notifier)

    async def run_blocking(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Run in the event loop, since the clock would jump ahead beside a worker thread."""
        while self.has_stalled_disk:
            await self.repaired.wait(10.0)
        await trio.lowlevel.checkpoint()
        if self.has_full_disk:
            raise DiskFullError(errno.ENOSPC, "full")
        return function(*arguments)

    def loses(self, message: GroupMessage) -> bool:
        """Return whether a message does not arrive."""
        has_entries = isinstance(message, AppendRequest) and message.entries
        return self.loses_entries and bool(has_entries or isinstance(message, SnapshotChunk))


@attrs.define
class Entry:
    """Entry instance without callers: what it has put in force, and when.

    :param unreadable: versions that it cannot read.
    """

    client: FleetClient
    in_force_ms: dict[int, float] = attrs.field(factory=dict)
    unreadable: set[int] = attrs.field(factory=set)
    changed: Notifier = attrs.field(factory=Notifier)

    async def wait_in_force(self, version: int) -> None:
        """Wait until a version has been put in force."""
        while version not in self.in_force_ms:
            await self.changed.wait(1000.0)


class ControlGroup:
    """Three control instances, one in each data centre of its name."""

    def __init__(self, directory: Path, nursery: trio.Nursery) -> None:
        self._directory = directory
        self._nursery = nursery
        self.faults = {name: Fault() for name in ADDRESSES}
        self.controls: dict[str, ControlInstance] = {}
        self._scopes: dict[str, trio.CancelScope] = {}

    async def start(self) -> str:
        """Start all control instances; return the name of the leader."""
        for name in ADDRESSES:
            initialise(self._directory / name, "k", name, ADDRESSES).unwrap()
            await self._start(name)
        while True:
            await trio.sleep(0.05)
            for name, control in self.controls.items():
                if control.leading_term() is not None:
                    return name

    async def _start(self, name: str) -> None:
        identity = open_identity(self._directory / name, name).unwrap()
        machine = ConfigurationMachine()
        log = ReplicatedLog(
            "fleet",
            identity,
            ADDRESSES[name],
            identity.open_group("fleet").unwrap(),
            machine,
            lambda address, message: self._nursery.start_soon(self._deliver, address, message),
            random.Random(name),
            settings=NodeSettings(promotes_learners=True),
            snapshot_entries=1,
            run_blocking=self.faults[name].run_blocking,
        )
        peers: Any = self
        control = ControlInstance(log, machine, peers, ADDRESSES[name], name)
        fault = self.faults[name]
        versions = ServiceVersionsRunner(control, self._directory / name, fault.run_blocking)

        async def run(*, task_status: trio.TaskStatus[None]) -> None:
            with trio.CancelScope() as self._scopes[name]:
                async with trio.open_nursery() as nursery:
                    await nursery.start(log.run)
                    nursery.start_soon(control.run)
                    nursery.start_soon(versions.run)
                    task_status.started()

        await self._nursery.start(run)
        self.controls[name] = control

    async def restart(self, names: Iterable[str] = tuple(ADDRESSES)) -> None:
        """Kill control instances at once and start them again with their disks."""
        for name in names:
            self._scopes[name].cancel()
            del self.controls[name]
        for name in names:
            await self._start(name)

    def stop(self, name: str) -> None:
        """Kill a control instance."""
        self._scopes[name].cancel()
        del self.controls[name]

    async def _deliver(self, address: Address, message: GroupMessage) -> None:
        sender = _name(message.sender_address)
        is_lost = self.faults[sender].is_cut_off or (
            self.faults[sender].loses_replies and isinstance(message, AppendReply)
        )
        await trio.sleep(LATENCY_S)
        name = _name(address)
        if is_lost or self.faults[name].is_cut_off:
            return
        if name in self.controls and not self.faults[name].loses(message):
            await self.controls[name].log.handle(message)

    def add_entry(
        self, data_centre: str, is_busy: bool = False, max_proof_age_ms: float | None = None
    ) -> Entry:
        """Start an entry instance."""
        entry: Entry

        async def apply(version: int, document: bytes) -> bool:
            if version in entry.unreadable:
                return False
            entry.in_force_ms[version] = now_ms()
            entry.changed.notify()
            return True

        callbacks = EntryCallbacks(
            data_centre,
            lambda: EntryInstance("e-" + data_centre, 1, 1, "10.0.1.1:80", data_centre, True),
            lambda: is_busy,
            apply,
            lambda: None,
            lambda reply: None,
            max_proof_age_ms=max_proof_age_ms,
        )
        peers: Any = self
        entry = Entry(FleetClient(peers, lambda: tuple(ADDRESSES.values()), callbacks))
        self._nursery.start_soon(entry.client.run)
        return entry

    # Connections, as of a peer pool

    def client(self, address: Address) -> _Client:
        return _Client(self, _name(address))

    def broadcast(self, addresses: Iterable[Address], message: Any) -> None:
        for address in addresses:
            self._nursery.start_soon(self.client(address).call, message, 1000.0)


@attrs.define
class _Client:
    group: ControlGroup
    name: str

    async def call(
        self, message: Any, timeout_ms: float, *, is_repeatable: bool = False
    ) -> Result[Any, Failure]:
        with trio.move_on_after(timeout_ms / 1000.0):
            await trio.sleep(LATENCY_S)
            if self.group.faults[self.name].is_silent or self.name not in self.group.controls:
                await trio.sleep_forever()
            reply = await self.group.controls[self.name].handle("peer", message)
            with trio.CancelScope(shield=True):
                await trio.sleep(LATENCY_S + self.group.faults[self.name].reply_delay_s)
            return Ok(reply)
        return Err(Failure(ErrorKind.PEER_TIMEOUT, "silent"))


def _name(address: Address) -> str:
    return next(name for name, known in ADDRESSES.items() if known == address)
