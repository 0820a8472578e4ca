"""Stand in for an upstream of the users' platform, in the process of a test."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import trio

from briardyke.addresses import Address
from briardyke.http.exchange import HttpRequest, header
from briardyke.http.h11_server import H11Server

if TYPE_CHECKING:
    from briardyke.http.exchange import Answer, Headers


@attrs.define
class PlatformWorker:
    """Answer requests, reports and orders as the platform's upstreams do.

    :param upstream_id: its name.
    :param service: service that it belongs to.
    :param address: where it listens.
    :param models: models in its memory.
    :param event_count: events of each stream.
    :param event_pause_s: time before each event.
    :param breaks_after: event after which streams are cut, 0 for never.
    :param is_full: whether it refuses every request.
    :param takes_orders: whether it carries out orders; otherwise it is busy with another one.
    :param status: status of its answers to plain requests.
    :param limit_per_s: requests per second that it names as its limit, or ``None``.
    :param load: figures of its load that it states, or empty.
    :param arrivals_s: time of each request that reached it, beside reports and orders.
    """

    upstream_id: str
    service: str
    address: Address
    models: dict[str, list[str]] = attrs.field(factory=dict)
    event_count: int = 5
    event_pause_s: float = 0.0
    breaks_after: int = 0
    is_full: bool = False
    takes_orders: bool = True
    status: int = 200
    lifecycle: str = "ready"
    sequence: int = 0
    beat: int = 0
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    ran: list[str] = attrs.field(factory=list)
    given_up: list[str] = attrs.field(factory=list)
    limit_per_s: float | None = None
    load: bytes = b""
    arrivals_s: list[float] = attrs.field(factory=list)

    async def serve(self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled."""
        await H11Server(self._handle).serve(self.address, task_status=task_status)

    def announcement(self) -> bytes:
        """Return the body of its next announcement."""
        self.beat += 1
        return json.dumps(
            {
                "service": self.service,
                "address": str(self.address),
                "zone": "dc-1",
                "version": "v1",
                "slots": 8,
                "state": self.lifecycle,
                "cold_remaining_ms": 0,
                "models": self._models(),
                "sequence": self.beat,
                "born": 1_700_000_000_000,
            }
        ).encode()

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": m, "version": 1, "adapters": a} for m, a in self.models.items()]

    async def _handle(self, request: HttpRequest, answer: Answer) -> None:
        expected = header(request.headers, b"expect-instance")
        if expected is not None and expected.decode() != self.upstream_id:
            await answer.send_whole(421, [(b"instance-id", self.upstream_id.encode())])
        elif request.path == "/briardyke/report":
            report = {"models": self._models(), "busy": False, "sequence": self.sequence}
            await answer.send_whole(200, [], json.dumps(report).encode())
        elif request.path == "/briardyke/order":
            await self._take_order(json.loads(request.body), answer)
        else:
            self.arrivals_s.append(trio.current_time())
            if self.is_full:
                await answer.send_whole(503, [(b"not-executed", b"1"), *self._statements()])
            else:
                await self._run(request, answer)

    def _statements(self) -> Headers:
        load = [(b"instance-load", self.load)] if self.load else []
        if self.limit_per_s:
            return [*load, (b"server-limit", b"%g" % self.limit_per_s)]
        return load

    async def _take_order(self, order: dict[str, Any], answer: Answer) -> None:
        if not self.takes_orders or order.get("expected", self.sequence) != self.sequence:
            await answer.send_whole(409, [])
            return
        self.orders.append(order)
        self.sequence += 1
        adapter = order.get("adapter")
        if adapter:
            self.models[order["model"]].append(adapter)
        elif order["op"] == "load":
            self.models[order["model"]] = []
        else:
            self.models.pop(order["model"], None)
        await answer.send_whole(202, [])

    async def _run(self, request: HttpRequest, answer: Answer) -> None:
        request_id = (header(request.headers, b"request-id") or b"").decode()
        self.ran.append(request_id)
        headers = [(b"request-id", request_id.encode()), (b"server-stamp", b"stamp")]
        headers += self._statements()
        model = (header(request.headers, b"model") or b"").decode()
        if not model:
            await answer.send_whole(self.status, headers, request.body[::-1])
            return
        first = int(header(request.headers, b"last-event-id") or 0) + 1
        headers.append((b"content-type", b"text/event-stream"))
        await answer.start(200, headers)
        is_whole = False
        try:
            for number in range(first, self.event_count + 1):
                await trio.sleep(self.event_pause_s)
                await answer.send_part(b"id: %d\ndata: token-%d\n\n" % (number, number))
                if number == self.breaks_after:
                    await answer.send_part(b"id: %d\nda" % (number + 1))
                    return
            await answer.finish()
            is_whole = True
        finally:
            if not is_whole:
                self.given_up.append(request_id)
