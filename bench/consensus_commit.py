"""Measure throughput and latency of proposals to three members in one process, with disk syncs.

Run with ``PYTHONPATH=src python bench/consensus_commit.py [directory]``. Messages pass
through the wire codec but stay within the process, so the figures exclude the network.
"""

from __future__ import annotations

import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import trio
from absl import logging

from briardyke.addresses import Address
from briardyke.consensus.driver import ReplicatedLog
from briardyke.consensus.identity import initialise
from briardyke.wire import codec

ADDRESSES = {name: Address("127.0.0.1", port) for port, name in enumerate("abc", start=1)}
COMMAND = b"x" * 128
MEASURED_S = 3.0


class _Machine:
    """Count commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.count += 1
        return b""

    def snapshot(self) -> bytes:
        return self.count.to_bytes(8, "big")

    def restore(self, data: bytes) -> None:
        self.count = int.from_bytes(data, "big")


class _Network:
    """Deliver messages in order, with one receiving task per member."""

    def __init__(self) -> None:
        self._queues: dict[Address, trio.MemorySendChannel[bytes]] = {}

    def send(self, address: Address, message: Any) -> None:
        self._queues[address].send_nowait(codec.encode(message))

    async def serve(self, address: Address, log: ReplicatedLog, *, task_status: Any) -> None:
        self._queues[address], received = trio.open_memory_channel[bytes](100_000)
        task_status.started()
        async for data in received:
            await log.handle(codec.decode(data).unwrap())


async def _measure(log: ReplicatedLog, proposers: int) -> tuple[float, list[float]]:
    latencies_ms: list[float] = []
    end = trio.current_time() + MEASURED_S

    async def propose() -> None:
        while trio.current_time() < end:
            started = time.perf_counter()
            (await log.propose(COMMAND, 10_000)).unwrap()
            latencies_ms.append((time.perf_counter() - started) * 1000.0)

    started = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for _ in range(proposers):
            nursery.start_soon(propose)
    return len(latencies_ms) / (time.perf_counter() - started), sorted(latencies_ms)


async def _run(directory: Path) -> None:
    network = _Network()
    logs: list[ReplicatedLog] = []
    async with trio.open_nursery() as nursery:
        for name, address in ADDRESSES.items():
            identity = initialise(directory / name, "bench", name, ADDRESSES).unwrap()
            storage = identity.open_group("control").unwrap()
            log = ReplicatedLog(
                "control", identity, address, storage, _Machine(), network.send, random.Random(name)
            )
            await nursery.start(network.serve, address, log)
            logs.append(log)
        for log in logs:
            await nursery.start(log.run)
        leader = None
        while leader is None:
            await trio.sleep(0.1)
            leader = next((log for log in logs if log.confirmed_age_ms() is not None), None)
        print("proposers  per second    p50 ms    p99 ms")
        for proposers in (1, 8, 64):
            rate, latencies_ms = await _measure(leader, proposers)
            p50, p99 = (latencies_ms[int(len(latencies_ms) * q)] for q in (0.5, 0.99))
            print(f"{proposers:9d}  {rate:10.0f}  {p50:8.2f}  {p99:8.2f}")
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the benchmark in a temporary directory, created in the given one if any."""
    logging.set_verbosity("error")
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as directory:
        trio.run(_run, Path(directory))


if __name__ == "__main__":
    main()
