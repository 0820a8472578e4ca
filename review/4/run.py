"""Configs drop and restore a service while requests ask the leader for adapters of its models."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from pathlib import Path

from standins import BROKEN, HELD, HOST, TROUBLE, Server, Site, call, config, main

FOLDER = Path(__file__).resolve().parent
RATE_PER_S = 30.5
ADAPTERS = [f"a{n}" for n in range(1, 33)]
CHANGES = 16
ENDS, LEAST_MACHINES = 3, 2


async def send_streams(site: Site) -> None:
    """Send streams for adapters of one model to random entry machines until cancelled."""
    for number in itertools.count(1):
        asyncio.create_task(send_stream(site, f"{number:08x}"))
        await asyncio.sleep(random.expovariate(RATE_PER_S))


async def send_stream(site: Site, request_id: str) -> None:
    """Send one request as a client."""
    entry = random.choice(site.entries)
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
    site.record.write("request_answered", request=request_id, status=answer.status)


def without_pool(version: int) -> dict:
    """Return a config that moves the streams to the application and drops the model service."""
    document = config(version)
    document["routes"][0]["service"] = "app"
    del document["services"][0]
    return document


async def case(site: Site) -> int:
    """Return whether processes ended by themselves three times on a tenth of the machines."""
    site.start_all()
    servers = [Server(site, "pool", n, models={"m1": []}, slots=128) for n in (1, 2)]
    servers.append(Server(site, "app", 1))
    await asyncio.sleep(3.0)
    for server in servers:
        server.events = 5
        await server.start()
    await site.put(config(1))
    await site.wait_ready()
    restarts = asyncio.create_task(site.restart_ended())
    traffic = asyncio.create_task(send_streams(site))
    await asyncio.sleep(6.0)
    version = 1
    for _ in range(CHANGES):
        version += 1
        await site.put(without_pool(version) if TROUBLE else config(version))
        await asyncio.sleep(1.0)
        version += 1
        await site.put(config(version))
        await asyncio.sleep(4.2)
    traffic.cancel()
    restarts.cancel()
    counts = Counter(name for _, name, _ in site.ends)
    site.record.write("ends", **{name.replace("-", "_"): n for name, n in counts.items()})
    for name in site.controls:
        site.record.write("log", machine=name, lines=site.log_lines(name, "KeyError")[:2])
    # A tenth of the eleven machines in use, two at least.
    machines = [name for name, count in counts.items() if count >= ENDS]
    return BROKEN if len(machines) >= LEAST_MACHINES else HELD


if __name__ == "__main__":
    main(case, FOLDER)
