"""Write and read streamed responses over raw sockets, as cheaply as possible."""

from __future__ import annotations

import contextlib
import json
import re
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from briardyke.addresses import Address

_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
_END = b"0\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _event(attempt_id: str, offset: int, content: str, reason: str | None) -> bytes:
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": reason}
    head = {"id": attempt_id, "object": "chat.completion.chunk", "model": "m1"}
    data = json.dumps({**head, "choices": [choice]}, separators=(",", ":"))
    return f"id: {offset}\ndata: {data}\n\n".encode()


async def serve_upstream(interval_ms: float) -> None:
    """Answer with a token at once and the others at an interval; print the address."""

    async def serve(stream: trio.SocketStream) -> None:
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                if not (received := await stream.receive_some(65536)):
                    return
                buffer += received
            head, _, buffer = buffer.partition(b"\r\n\r\n")
            headers = dict(re.findall(rb"(?m)^([\w-]+): *(.*?)\r?$", head.lower()))
            length = int(headers[b"content-length"])
            while len(buffer) < length:
                buffer += await stream.receive_some(65536)
            body, buffer = json.loads(buffer[:length]), buffer[length:]
            attempt_id = headers.get(b"x-attempt-id", b"att").decode()
            await _send(stream, attempt_id, body["max_tokens"], interval_ms)

    async def serve_one(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            await serve(stream)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
    address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    print(json.dumps({"address": address}), flush=True)
    await trio.serve_listeners(serve_one, listeners)


async def _send(
    stream: trio.SocketStream, attempt_id: str, tokens: int, interval_ms: float
) -> None:
    due = trio.current_time()
    head = _HEAD
    for number in range(1, tokens + 1):
        await trio.sleep_until(due)
        due += interval_ms / 1000.0
        await stream.send_all(head + _chunk(_event(attempt_id, number, "abcdefgh ", None)))
        head = b""
    final = _event(attempt_id, tokens, "", "length") + b"data: [DONE]\n\n"
    await stream.send_all(_chunk(final) + _END)


async def call_many(
    targets: list[Address],
    streams: int,
    each: int,
    tokens: int,
    coalesce_ms: float,
    spread_ms: float,
) -> dict[str, Any]:
    """Send requests one after another on each of several connections.

    :param targets: where to connect, in turn.
    :param streams: connections at one time.
    :param each: requests on each connection.
    :param tokens: tokens of each response.
    :param coalesce_ms: passed on to the relay.
    :param spread_ms: time over which the connections start.
    :return: times to first token and the number of tokens received.
    """
    firsts: list[float] = []
    received = [0]

    async def call_one(number: int) -> None:
        target = targets[number % len(targets)]
        stream = await trio.open_tcp_stream(target.host, target.port)
        await trio.sleep(number / streams * spread_ms / 1000)
        for turn in range(each):
            message = [{"role": "user", "content": "x" * 400}]
            body = json.dumps({"model": "m1", "messages": message, "max_tokens": tokens})
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nhost: {target}\r\n"
                f"x-request-id: r{number}-{turn}\r\nx-coalesce-ms: {coalesce_ms}\r\n"
                f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
            )
            began = trio.current_time()
            await stream.send_all((head + body).encode())
            first, tail = None, b""
            while not tail.endswith(_END):
                data = await stream.receive_some(65536)
                assert data, "connection closed"
                if first is None and b"data: " in data:
                    first = (trio.current_time() - began) * 1000
                    firsts.append(first)
                received[0] += data.count(b'"abcdefgh ')
                tail = (tail + data)[-len(_END) :]
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(call_one, number)
    return {"first_token_ms": firsts, "tokens": received[0]}
