"""Servers leave after all core processes were killed while one of them was leaving."""

from __future__ import annotations

import asyncio
import itertools
import random
from pathlib import Path

from standins import (
    BOUNDS,
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Server,
    Site,
    call,
    config,
    main,
)

FOLDER = Path(__file__).resolve().parent
# Purchases and look-ups of the small deployment, in requests a second.
RATE_PER_S = 11.6
# Time after its confirmation for which a leaving server serves, in seconds.
SERVES_S = 5.0


async def send_requests(site: Site) -> None:
    """Send purchases and look-ups to random entry machines until cancelled."""
    for number in itertools.count(1):
        asyncio.create_task(send_request(site, f"r{number:06d}"))
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def send_request(site: Site, request_id: str) -> None:
    """Send one request as a client."""
    path = "/buy/1" if random.random() < 0.65 else "/see/1"
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "3000"}
    entry = random.choice(site.entries)
    site.record.write("request_sent", request=request_id, path=path, machine=entry)
    answer = await call(site.front(entry), "POST", path, headers, b"x" * 600, timeout_s=3.0)
    site.record.write("request_answered", request=request_id, status=answer.status)


async def leave_across_restart(site: Site, server: Server) -> None:
    """Let a server leave while, with the trouble, all core processes are killed and started."""
    departure = asyncio.create_task(server.drain(2.5))
    await asyncio.sleep(2.2)
    if TROUBLE:
        for name in site.controls:
            site.kill(name)
        await asyncio.sleep(0.7)
        for name in site.controls:
            site.start(name)
    await departure
    await server.depart()


async def replace(site: Site, old: Server, new: Server) -> list[float]:
    """Replace a server; return how long after its confirmation requests reached it too late."""
    await new.start()
    await asyncio.sleep(2.0)
    confirmed = await old.drain(SERVES_S)
    assert confirmed is not None
    await old.depart()
    limit = confirmed + BOUNDS["drain_ms"] / 1000
    late = [a.at - confirmed for a in old.arrivals if a.at > limit]
    site.record.write("server_replaced", server=old.id, confirmed=f"{confirmed:.3f}", late=late)
    return late


async def case(site: Site) -> int:
    """Return whether a request reached a server later than ``drain_ms`` after its confirmation."""
    site.start_all()
    apps = [Server(site, "app", n) for n in range(1, 8)]
    engines = [Server(site, "pool", n, models={"m1": [], "m2": []}) for n in (1, 2)]
    await asyncio.sleep(3.0)
    for server in (*apps[:4], *engines):
        await server.start()
        await asyncio.sleep(0.2)
    await site.put(config(1))
    await site.wait_ready()
    traffic = asyncio.create_task(send_requests(site))
    await asyncio.sleep(3.0)
    await leave_across_restart(site, apps[0])
    # More than contact_ms after the start of the last core process, all machines are in touch.
    await asyncio.sleep(8.0)
    late = []
    for old, new in zip(apps[1:4], apps[4:], strict=True):
        late += await replace(site, old, new)
    traffic.cancel()
    for name in site.entries:
        lines = site.log_lines(name, "background_task_failed")
        site.record.write("log", machine=name, failures=len(lines), first=lines[:1])
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(case, FOLDER)
