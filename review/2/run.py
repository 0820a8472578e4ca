"""All processes are killed while two servers leave; requests are counted after the recovery."""

from __future__ import annotations

import asyncio
import itertools
import random
from pathlib import Path

from standins import BOUNDS, BROKEN, HELD, HOST, TROUBLE, Server, Site, call, config, main

FOLDER = Path(__file__).resolve().parent
# Purchases and look-ups of the small deployment, in requests a second.
RATE_PER_S = 11.6
# Times for which the processes are gone and for which requests are counted, in seconds.
DOWN_S, COUNTED_S = 1.1, 12.0
LEAST_SERVED = 0.25


class Tally:
    """Requests with the time at which each was sent and whether it was served."""

    def __init__(self) -> None:
        self._rows: list[tuple[float, bool]] = []

    def add(self, sent: float, was_served: bool) -> None:
        """Count a request."""
        self._rows.append((sent, was_served))

    def share(self, since: float, until: float) -> float:
        """Return the share served of the requests sent in a span."""
        found = [served for sent, served in self._rows if since <= sent < until]
        return sum(found) / max(1, len(found))


async def send_requests(site: Site, tally: Tally) -> None:
    """Send purchases and look-ups until cancelled."""
    for number in itertools.count(1):
        asyncio.create_task(send_request(site, tally, f"r{number:06d}"))
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def send_request(site: Site, tally: Tally, request_id: str) -> None:
    """Send one request as a client: another machine is tried when one takes no channel."""
    path = "/buy/1" if random.random() < 0.65 else "/see/1"
    headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "3000"}
    entry = random.choice(site.entries)
    sent = site.record.write("request_sent", request=request_id, path=path, machine=entry)
    answer = await call(site.front(entry), "POST", path, headers, b"x" * 600, timeout_s=3.0)
    tally.add(sent, answer.status == 200 and answer.is_whole)
    site.record.write("request_answered", request=request_id, status=answer.status)


async def kill_all(site: Site) -> float:
    """Kill all processes and start them again; return the time at which they were started."""
    for name in (*site.controls, *site.entries):
        site.kill(name)
    await asyncio.sleep(DOWN_S)
    for name in (*site.controls, *site.entries):
        site.start(name)
    return site.record.now


async def case(site: Site) -> int:
    """Return whether less than a quarter is served after the recovery."""
    site.start_all()
    apps = [Server(site, "app", n) for n in range(1, 4)]
    engines = [Server(site, "pool", n, models={"m1": [], "m2": []}) for n in (1, 2, 3)]
    await asyncio.sleep(3.0)
    for server in (*apps, *engines):
        await server.start()
        await asyncio.sleep(random.uniform(0.0, 0.4))
    await site.put(config(1))
    await site.wait_ready()
    tally = Tally()
    traffic = asyncio.create_task(send_requests(site, tally))
    await asyncio.sleep(6.0)
    leaving = (apps[0], engines[1])
    drains = [asyncio.create_task(server.drain(2.5)) for server in leaving]
    await asyncio.sleep(2.0)
    fault = site.record.now
    before = tally.share(fault - 8.0, fault - 3.0)
    await site.put(config(2))
    back = await kill_all(site) if TROUBLE else site.record.now
    await asyncio.gather(*drains)
    await asyncio.gather(*(server.depart() for server in leaving))
    since = back + BOUNDS["recovery_s"]
    await asyncio.sleep(since + COUNTED_S + 3.0 - site.record.now)
    traffic.cancel()
    after = tally.share(since, since + COUNTED_S)
    site.record.write("served", before=f"{before:.2f}", after=f"{after:.2f}")
    for name in site.entries:
        lines = site.log_lines(name, "background_task_failed")
        site.record.write("log", machine=name, failures=len(lines), first=lines[:1])
    if before < LEAST_SERVED:
        raise RuntimeError("too little was served before the fault")
    return BROKEN if after < LEAST_SERVED else HELD


if __name__ == "__main__":
    main(case, FOLDER)
