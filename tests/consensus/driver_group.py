"""Run several drivers on a simulated clock, connected by links of ours."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgpack
import trio

from briardyke.addresses import Address
from briardyke.consensus.driver import ReplicatedLog
from briardyke.consensus.identity import Identity, initialise, open_identity
from briardyke.consensus.messages import SnapshotChunk
from briardyke.wire import codec
from briardyke.wire.client import MAX_QUEUED_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

ADDRESSES = {name: Address("127.0.0.1", port) for port, name in enumerate("abcd", start=1)}
VOTERS = {name: ADDRESSES[name] for name in "abc"}


class CommandList:
    """Record commands and return how many there are."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        return b"%d" % len(self.commands)

    def snapshot(self) -> bytes:
        return msgpack.packb(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = msgpack.unpackb(data)


async def run_inline(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run in the event loop: the simulated clock would jump ahead while a worker thread runs."""
    await trio.lowlevel.checkpoint()
    return function(*arguments)


class LastCommand(CommandList):
    """Keep the last command alone, as the configuration does."""

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands = [command]
        return b""


class DriverGroup:
    """Run several drivers that exchange messages with a latency of 1 ms.

    :ivar link_bytes_per_s: throughput of each link; a message that finds two megabytes queued is
        dropped.
    :ivar sent_bytes: encoded size of the messages that were sent to each member.
    """

    def __init__(
        self,
        directory: Path,
        nursery: trio.Nursery,
        machine_class: type[CommandList] = CommandList,
        link_bytes_per_s: float = float("inf"),
    ) -> None:
        self.directory, self.nursery = directory, nursery
        self.machine_class, self.link_bytes_per_s = machine_class, link_bytes_per_s
        self.sent_bytes: Counter[str] = Counter()
        self._free_at_s: dict[tuple[str, str], float] = {}
        self.logs: dict[str, ReplicatedLog] = {}
        self.machines: dict[str, CommandList] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.isolated: set[str] = set()
        self.snapshot_entries = 10_000

    def initialise(self, names: str = "abc") -> None:
        for name in names:
            initialise(self.directory / name, "k", name, VOTERS).unwrap()

    async def start(self, name: str, directory: str = "", **options: Any) -> ReplicatedLog:
        identity: Identity = open_identity(self.directory / (directory or name), name).unwrap()
        options.setdefault("run_blocking", run_inline)
        machine = self.machines[name] = self.machine_class()
        log = ReplicatedLog(
            "control",
            identity,
            ADDRESSES[name],
            identity.open_group("control").unwrap(),
            machine,
            lambda address, message: self._send(name, address, message),
            random.Random(name),
            seeds=list(VOTERS.values()),
            snapshot_entries=self.snapshot_entries,
            **options,
        )

        async def run(*, task_status: Any) -> None:
            with trio.CancelScope() as self.scopes[name]:
                await log.run(task_status=task_status)

        await self.nursery.start(run)
        self.logs[name] = log
        return log

    def stop(self, name: str) -> None:
        self.scopes.pop(name).cancel()
        del self.logs[name]

    def _send(self, sender: str, address: Address, message: Any) -> None:
        name = next(name for name, known in ADDRESSES.items() if known == address)
        size_bytes = len(codec.encode(message))
        self.sent_bytes[name] += size_bytes
        now_s = trio.current_time()
        free_at_s = max(now_s, self._free_at_s.get((sender, name), 0.0))
        if (free_at_s - now_s) * self.link_bytes_per_s > MAX_QUEUED_BYTES:
            return
        free_at_s += size_bytes / self.link_bytes_per_s
        self._free_at_s[sender, name] = free_at_s
        self.nursery.start_soon(self._deliver, sender, name, message, free_at_s)

    async def _deliver(self, sender: str, name: str, message: Any, sent_at_s: float) -> None:
        await trio.sleep_until(sent_at_s + 0.001)
        if name in self.logs and not {sender, name} & self.isolated:
            await self.logs[name].handle(message)

    async def leader(self) -> str:
        for _ in range(200):
            await trio.sleep(0.05)
            for name, log in self.logs.items():
                if log.confirmed_age_ms() is not None and name not in self.isolated:
                    return name
        raise AssertionError("no leader")

    async def started(self, names: str = "abc") -> str:
        self.initialise()
        for name in names:
            await self.start(name)
        return await self.leader()

    def snapshot_of(self, sender: str, recipient: str) -> SnapshotChunk:
        """Return the message with which a leader sends its whole snapshot to another member."""
        state = self.logs[sender]._node.state
        assert state.snapshot is not None
        return SnapshotChunk(
            group_id=state.group_id,
            sender_id=state.own_id,
            sender_address=state.own_address,
            recipient_id=self.logs[recipient].status().member_id,
            term=state.term,
            index=state.snapshot.index,
            index_term=state.snapshot.term,
            members=state.snapshot.members,
            offset_bytes=0,
            data=state.snapshot.data,
            done=True,
            round_number=state.round_number,
        )
