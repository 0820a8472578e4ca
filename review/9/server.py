"""Engine that goes wrong: its streams are bytes that are no answer, without end.

Arguments: name, host, port and the seconds for which it is in trouble, 0 for a sound engine.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from loopback import Record, Worker

# The body of a stream, in chunks of one byte.
_NOISE = b"1\r\nx\r\n" * 4096


class FaultyWorker(Worker):
    """Engine whose streams have no events from a time on, until the caller closes."""

    until_s = 0.0

    async def _stream(
        self, headers: dict[str, str], request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        if time.monotonic() >= self.until_s:
            await super()._stream(headers, request_id, writer)
            return
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: stamp\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        self.record.add(f"{self.name} begins noise for {request_id}")
        while True:
            writer.write(_NOISE)
            await writer.drain()


async def _main(name: str, host: str, port: str, trouble_s: str, path: str) -> None:
    record = Record(Path(path))
    worker: Any = FaultyWorker(name, "sorter-llm", (host, int(port)), record, {"m0": []})
    await worker.start()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)  # trouble begins
    worker.until_s = time.monotonic() + float(trouble_s)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)  # the end
    record.write()


asyncio.run(_main(*sys.argv[1:]))
