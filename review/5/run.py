"""A server asks for a pause while requests wait for a frozen leader's word on their adapters."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
from pathlib import Path

from standins import BROKEN, HELD, HOST, TROUBLE, Server, Site, call, config, main

FOLDER = Path(__file__).resolve().parent
# Streams of the small deployment, in requests a second over all entry machines.
RATE_PER_S = 41.8
ADAPTERS = [f"a{n}" for n in range(1, 9)]
FREEZE_S = 4.0
# Time from the freeze to the first refusal of the server.
REFUSES_AFTER_S = 0.8
PAUSE_S = 6.0
ALLOWED = 2


async def send_streams(site: Site, sent_to: dict[str, str]) -> None:
    """Send streams for adapters of one model to random entry machines until cancelled."""
    for number in itertools.count(1):
        request_id = f"{number:08x}"
        sent_to[request_id] = random.choice(site.entries)
        asyncio.create_task(send_stream(site, request_id, sent_to[request_id]))
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def send_stream(site: Site, request_id: str, entry: str) -> None:
    """Send one request as a client."""
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": "15000",
        "Model": f"m1/{random.choice(ADAPTERS)}",
        "Token-Usage": "100,40",
        "Prompt-Prefix": f"5c1e07a2:60,{request_id}:40",
    }
    site.record.write("request_sent", request=request_id, model=headers["Model"], machine=entry)
    answer = await call(site.front(entry), "POST", "/chat/1", headers, b"x" * 200, timeout_s=15.0)
    site.record.write(
        "request_answered", request=request_id, status=answer.status, whole=answer.is_whole
    )


def late_arrivals(server: Server, sent_to: dict[str, str]) -> dict[str, list[float]]:
    """Return by entry machine when requests arrived in the pause that the server asked for.

    The times are seconds after the first 503; the first half second does not count.
    """
    first: dict[str, float] = {}
    late: dict[str, list[float]] = {}
    for arrival in server.arrivals:
        entry = sent_to[arrival.request_id]
        if entry in first and 0.5 < arrival.at - first[entry] < PAUSE_S:
            late.setdefault(entry, []).append(round(arrival.at - first[entry], 3))
        if not arrival.did_run:
            first.setdefault(entry, arrival.at)
    return late


async def case(site: Site) -> int:
    """Return whether more than two requests of a machine reached a server in its pause."""
    site.start_all()
    held = Server(site, "pool", 1, models={"m1": list(ADAPTERS)}, slots=128)
    other = Server(site, "pool", 2, models={"m2": []}, slots=128)
    await asyncio.sleep(3.0)
    for server in (held, other):
        await server.start()
    await site.put(config(1))
    await site.wait_ready()
    sent_to: dict[str, str] = {}
    traffic = asyncio.create_task(send_streams(site, sent_to))
    await asyncio.sleep(8.0)
    leader = site.leader()
    site.record.write("leader", machine=leader)
    if TROUBLE:
        site.signal(leader, signal.SIGSTOP)
    await asyncio.sleep(REFUSES_AFTER_S)
    held.refusal = {"Retry-After": f"{PAUSE_S:g}"}
    site.record.write("server_refuses", server=held.id, retry_after_s=PAUSE_S)
    await asyncio.sleep(FREEZE_S - REFUSES_AFTER_S)
    if TROUBLE:
        site.signal(leader, signal.SIGCONT)
    await asyncio.sleep(PAUSE_S)
    traffic.cancel()
    late = late_arrivals(held, sent_to)
    for entry in site.entries:
        site.record.write("arrivals_in_pause", machine=entry, late=late.get(entry, []))
    return BROKEN if any(len(times) > ALLOWED for times in late.values()) else HELD


if __name__ == "__main__":
    main(case, FOLDER, entries=7)
