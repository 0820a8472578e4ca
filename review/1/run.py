"""Core machines are replaced one after the other, then one loses its disk."""

from __future__ import annotations

import asyncio
import json
import shutil
from pathlib import Path

from standins import BROKEN, HELD, TROUBLE, Server, Site, config, main

FOLDER = Path(__file__).resolve().parent
REPLACEMENTS = 3
# A successor starts this long after the loss; the next machine is lost after both, in seconds.
SUCCESSOR_AFTER_S = 2.0
NEXT_LOSS_AFTER_S = 7.0
# Time after the last loss in which the config is asked for, far above recovery_s.
READ_S = 40.0


def start_empty(site: Site, name: str) -> None:
    """Start a core machine with an empty disk."""
    shutil.rmtree(site.folder / name, ignore_errors=True)
    site.start(name)


async def replace_leader(site: Site, successor: str) -> None:
    """Remove the leading core machine for good; start an empty one at another address."""
    lost = site.leader()
    site.kill(lost)
    site.controls.remove(lost)
    site.record.write("machine_removed", machine=lost)
    await asyncio.sleep(SUCCESSOR_AFTER_S)
    site.controls.append(successor)
    start_empty(site, successor)
    await asyncio.sleep(NEXT_LOSS_AFTER_S)


async def is_read_back(site: Site, document: dict) -> bool:
    """Ask all core machines for the config until one sends it or the time is over."""
    deadline = site.record.now + READ_S
    while site.record.now < deadline:
        for name in site.controls:
            answer = await site.operate("GET", first=name)
            site.record.write("config_read", machine=name, status=answer.status)
            if answer.status == 200:
                return json.loads(answer.body) == document
        await asyncio.sleep(1.0)
    return False


async def case(site: Site) -> int:
    """Return whether the acknowledged config is not read back."""
    site.start_all()
    servers = [Server(site, "app", n) for n in (1, 2)]
    servers.append(Server(site, "pool", 1, models={"m1": []}))
    await asyncio.sleep(3.0)
    for server in servers:
        await server.start()
    await site.put(config(1))
    await site.wait_ready()
    await asyncio.sleep(3.0)
    if TROUBLE:
        for number in range(REPLACEMENTS):
            await replace_leader(site, f"core-{len(site.controls) + number + 1}")
    document = config(2)
    await site.put(document)
    if TROUBLE:
        # The machine that has acknowledged it, or an old one where that is a successor.
        lost = site.controls[0]
        site.kill(lost)
        site.record.write("disk_lost", machine=lost)
        await asyncio.sleep(1.0)
        start_empty(site, lost)
    return HELD if await is_read_back(site, document) else BROKEN


if __name__ == "__main__":
    main(case, FOLDER)
