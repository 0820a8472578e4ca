"""A control instance that lost its disk is not back in time, and the next loss ends the quorum."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import shutil
import signal
import sys
import time
from pathlib import Path

import loopback
from loopback import CONTROL_PORT, Record, Site, Unrunnable, Worker, exchange, model

FOLDER = Path(__file__).resolve().parent
# Sheet of dala-orders: share of a core of a machine with a disk, and its memory.
CPU_SHARE, MEMORY_MB = 0.322, 296
# The config grows three times by 350 routes.
ROUTES = 1050
# Changes in progress at once, as many as the pages allow, and their number over the case.
IN_PROGRESS, MOST_CHANGES, CHANGES_S = 8, 800, 55.0
DOWN_S, CATCH_UP_S, MARGIN_S = 1.0, 4.0, 1.0
RECOVERY_S, CONTACT_S = 12.0, 3.0
_PERIOD_S = 0.1


async def _case(record: Record, has_trouble: bool) -> bool:
    loopback.CONTROL_LIMITS |= {"cpu_share": CPU_SHARE, "link_mbps": 170.0}
    site = Site(record, entries=1)
    app = Worker("i-app-1", "floor-app", site.worker_address(21), record)
    tasks: list[asyncio.Task[None]] = []
    try:
        await app.start()
        tasks.append(asyncio.create_task(app.check_in(site.control_addresses)))
        documents = _Documents()
        await site.start_all(documents.next())
        leader = await _leader(site)
        acknowledged = await _change(site, leader, documents, record)
        tasks += [asyncio.create_task(_quota(site, name)) for name in site.controls]
        followers = [name for name in site.controls if name != leader]
        random.shuffle(followers)
        for name in followers:
            if has_trouble:
                await _lose_disk(site, name, record)
            await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        version = await _read_back(site, record, RECOVERY_S + CONTACT_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
    record.add(f"newest acknowledged version {acknowledged}, read back: {version}")
    print(record.lines[-1].strip())
    return version is None or version < acknowledged


class _Documents:
    """Configurations with rising versions; all have the same length."""

    def __init__(self) -> None:
        self.version = 1_000_000
        document = loopback.configuration(self.version, [model("m0")])
        common = document["routes"][-1]
        document["routes"] += [
            common | {"name": f"r-{i:07d}", "path_prefix": f"/lohu{i:05d}/"} for i in range(ROUTES)
        ]
        self._before, self._after = json.dumps(document).split(str(self.version), 1)

    def next(self) -> bytes:
        """Return the next one."""
        self.version += random.randint(1, 3)
        return f"{self._before}{self.version}{self._after}".encode()


async def _leader(site: Site) -> str:
    for _ in range(20):
        for name, address in zip(site.controls, site.control_addresses, strict=True):
            if (await exchange(address, "GET", "/briardyke/config", {})).status == 200:
                return name
        await asyncio.sleep(0.3)
    raise Unrunnable("no control instance answered a read")


async def _change(site: Site, leader: str, documents: _Documents, record: Record) -> int:
    """Send changes as the operator does; return the newest version that was acknowledged."""
    newest = count = 0
    until = time.monotonic() + CHANGES_S
    address = site.host(leader), CONTROL_PORT

    async def operate() -> None:
        nonlocal newest, count
        while time.monotonic() < until and count < MOST_CHANGES:
            document = documents.next()
            version = documents.version
            for _ in range(20):
                if await site.put_once(address, document):
                    newest, count = max(newest, version), count + 1
                    break
                await asyncio.sleep(0.2)

    await asyncio.gather(*(operate() for _ in range(IN_PROGRESS)))
    used = {name: _memory_mb(site.processes[name].pid) for name in site.controls}
    size = len(documents.next())
    record.add(f"{count} changes of {size} bytes are acknowledged; memory in MB: {used}")
    if max(used.values()) > MEMORY_MB:
        raise Unrunnable("a process had more memory than its machine")
    return newest


def _memory_mb(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) // 1024 for line in lines if line.startswith("VmRSS"))


async def _quota(site: Site, name: str) -> None:
    """Let a process run in each tenth of a second until it has used the share of its machine."""
    while True:
        process = site.processes[name]
        began = time.monotonic()
        with contextlib.suppress(ProcessLookupError, OSError):
            # The processor clock of another process, as clock_getcpuclockid(3) returns it.
            clock = (~process.pid << 3) | 2
            used = time.clock_gettime(clock)
            while time.monotonic() - began < _PERIOD_S:
                if time.clock_gettime(clock) - used >= CPU_SHARE * _PERIOD_S:
                    process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(max(0.0, began + _PERIOD_S - time.monotonic()))
                    process.send_signal(signal.SIGCONT)
                else:
                    await asyncio.sleep(0.004)
        await asyncio.sleep(max(0.0, began + _PERIOD_S - time.monotonic()))


async def _lose_disk(site: Site, name: str, record: Record) -> None:
    """Let a machine lose power and its disk, and come back with an empty one."""
    process = site.processes[name]
    process.kill()
    await process.wait()
    shutil.rmtree(site.folder / name)
    record.add(f"{name} has lost its disk")
    await asyncio.sleep(DOWN_S)
    await site.start(name, is_first_start=False)


async def _read_back(site: Site, record: Record, duration_s: float) -> int | None:
    """Ask all control instances for the config until one answers or the time is over."""
    until = time.monotonic() + duration_s
    answers: dict[str, int] = {}
    while time.monotonic() < until:
        for address in site.control_addresses:
            for _ in range(3):
                reply = await exchange(address, "GET", "/briardyke/config", {}, b"", 2.0)
                answers[f"{reply.status}"] = answers.get(f"{reply.status}", 0) + 1
                if reply.status != 307:
                    break
                host, _, port = reply.headers["location"].split("/")[2].partition(":")
                address = host, int(port)
            if reply.status == 200:
                return int(json.loads(reply.body)["version"])
        await asyncio.sleep(0.3)
    record.add(f"reads of the config were answered, by status: {answers}")
    return None


if __name__ == "__main__":
    sys.exit(loopback.run(_case, FOLDER))
