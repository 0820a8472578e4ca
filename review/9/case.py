"""One engine in trouble hangs the entry processes, and sound servers' requests get no answer."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path

import loopback
from loopback import Record, Site, Worker, configuration, model

FOLDER = Path(__file__).resolve().parent
# Largest length of wrong bytes of servers on the site.
TROUBLE_S = 5.5
STREAMS_PER_S = 10.0
PLAIN_PER_S = 10.0
ROUTE_TIMEOUT_S, SLACK_S, DEADLINE_S = 1.5, 0.5, 3.0
# Clients abandon a stream after four objectives without an event.
STREAM_GAP_S = 3.2
LEAST_LATE = 8


async def _case(record: Record, has_trouble: bool) -> bool:
    site = Site(record)
    engines = [
        Worker(f"i-engine-{i}", "sorter-llm", site.worker_address(i), record, {"m0": []})
        for i in range(1, 5)
    ]
    apps = [
        Worker(f"i-app-{i}", "floor-app", site.worker_address(20 + i), record) for i in range(1, 5)
    ]
    faulty = Worker("i-engine-5", "sorter-llm", site.worker_address(5), record, {"m0": []})
    process = None
    tasks: list[asyncio.Task[object]] = []
    try:
        for worker in [*engines, *apps]:
            await worker.start()
        host, port = faulty.address
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(FOLDER / "server.py"),
            *(faulty.name, host, str(port), str(TROUBLE_S if has_trouble else 0.0)),
            str(site.folder / "engine-5.txt"),
            stdin=asyncio.subprocess.PIPE,
        )
        controls = site.control_addresses
        tasks = [
            asyncio.create_task(w.check_in(random.sample(controls, len(controls))))
            for w in [*engines, *apps, faulty]
        ]
        await site.start_all(_configuration())
        await asyncio.sleep(3.0)
        answers = await _load(site, process, record)
        await asyncio.wait_for(process.communicate(b"\n"), 5.0)
        noise = (site.folder / "engine-5.txt").read_text(encoding="utf-8").splitlines()
        record.add(f"i-engine-5 sent noise for {sum('noise' in line for line in noise)} requests")
    finally:
        for task in tasks:
            task.cancel()
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
        await site.stop()
    open_at_timeout = [took for took in answers if took > ROUTE_TIMEOUT_S]
    late = [took for took in open_at_timeout if took > ROUTE_TIMEOUT_S + SLACK_S]
    record.add(
        f"{len(answers)} requests for sound servers: {len(open_at_timeout)} without an answer at "
        f"the route's timeout, {len(late)} of them without one half a second later; the longest "
        f"took {max(answers):.2f} s"
    )
    print(record.lines[-1].strip())
    return len(late) >= LEAST_LATE and len(late) > len(open_at_timeout) / 2


def _configuration() -> bytes:
    return json.dumps(configuration(3, [model("m0")])).encode()


async def _load(site: Site, process: asyncio.subprocess.Process, record: Record) -> list[float]:
    """Send streams and plain requests; return how long each plain one was unanswered."""
    assert process.stdin is not None
    started = time.monotonic()
    trouble_at, end_at = started + 4.0, started + 4.0 + TROUBLE_S + 3.0
    streams: set[asyncio.Task[object]] = set()
    plain: list[asyncio.Task[tuple[float, float, loopback.Reply]]] = []
    has_begun = False
    due_stream = due_plain = started
    while (now := time.monotonic()) < end_at:
        if now >= trouble_at and not has_begun:
            has_begun = True
            record.add("i-engine-5 sends bytes that are no answer from now on, if it is in trouble")
            process.stdin.write(b"\n")
        if now >= due_stream:
            due_stream += 1.0 / STREAMS_PER_S
            call = site.request("manifest", "POST", "/manifest/2f", 15.0, "m0", STREAM_GAP_S)
            task = asyncio.create_task(call)
            streams.add(task)
            task.add_done_callback(streams.discard)
        if now >= due_plain:
            due_plain += 1.0 / PLAIN_PER_S
            kind = random.choice(("POST /purchase/2f", "GET /stock/2f"))
            call = site.request("plain", *kind.split(), DEADLINE_S)
            plain.append(asyncio.create_task(call))
        await asyncio.sleep(max(0.001, min(due_stream, due_plain) - time.monotonic()))
    answers = await asyncio.gather(*plain)
    for task in list(streams):
        task.cancel()
    return [ended - sent for sent, ended, _ in answers]


if __name__ == "__main__":
    sys.exit(loopback.run(_case, FOLDER))
