"""Speak the platform's order protocol to engines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import trio

from briardyke.addresses import parse_address
from briardyke.http.exchange import header
from briardyke.http.h11_client import ConnectionPool, UpstreamError
from briardyke.ids import new_id
from briardyke.logs import log_limited
from briardyke.models.engine_state import EngineReport
from briardyke.models.orders import EngineOrder, OrderOutcome
from briardyke.strict_json import parse_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.fleet.records import Upstream
    from briardyke.http.exchange import Headers

_ORDER_PATH = "/briardyke/order"
_REPORT_PATH = "/briardyke/report"
# Answers repeat it.
_CALL_ID = b"request-id"
# An engine answers an order within milliseconds; one that is lost gets no answer at all.
_TIMEOUT_S = 0.8
_MAX_ANSWER_BYTES = 256 * 1024
_REST_MS = 3000.0
_OUTCOMES = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.HELD_ALREADY,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    400: OrderOutcome.REFUSED,
    421: OrderOutcome.REFUSED,
}


class _NotSentError(Exception):
    """Report that the permission to order ran out before the order was sent."""


class PlatformEngines:
    """Reach engines over kept connections."""

    def __init__(self) -> None:
        self._pools: dict[tuple[str, int], ConnectionPool] = {}

    async def send_order(
        self, row: Upstream, order: EngineOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send an order unless the permission has run out."""
        body: dict[str, Any] = {
            "op": "load" if order.is_load else "unload",
            "model": order.model,
            "expected": order.expected_sequence,
            "holder": order.instance_id,
            # Called "fence" on the wire; it is a fencing token.
            "fence": order.fencing_token,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        content = json.dumps(body).encode()
        try:
            answer = await self._call(row, "POST", _ORDER_PATH, content, may_send)
        except _NotSentError:
            return OrderOutcome.REFUSED
        if answer is None:
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(answer[0], OrderOutcome.UNKNOWN)

    async def fetch_report(self, row: Upstream) -> EngineReport | None:
        """Read an engine's report."""
        answer = await self._call(row, "GET", _REPORT_PATH, b"")
        if answer is None or answer[0] != 200:
            return None
        try:
            return _report(parse_json(answer[1]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log_limited(
                "report_unreadable", is_routine=False, upstream=row.upstream_id, reason=repr(error)
            )
            return None

    async def _call(
        self,
        row: Upstream,
        method: str,
        path: str,
        body: bytes,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes] | None:
        pool = self._pool(row)
        call_id = new_id("call").encode("ascii")
        headers: Headers = [
            (b"host", row.address.encode("ascii")),
            (b"expect-instance", row.upstream_id.encode("latin-1")),
            (_CALL_ID, call_id),
        ]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        connection = None
        try:
            with trio.move_on_after(_TIMEOUT_S):
                connection = await pool.take(_REST_MS)
                if not may_send():
                    raise _NotSentError
                async with trio.open_nursery() as nursery:
                    await connection.send(method, path, headers, body, nursery)
                    head = await connection.read_head(
                        lambda found: header(found, _CALL_ID) in (None, call_id)
                    )
                    answer = await connection.read_body(_MAX_ANSWER_BYTES)
                # Without the id of its call, a late copy of this answer would pass for the next.
                if header(head.headers, _CALL_ID) == call_id and connection.finish(head):
                    pool.give_back(connection)
                    connection = None
                return head.status, answer
        except* UpstreamError as group:
            log_limited(
                "engine_call_failed",
                is_routine=False,
                upstream=row.upstream_id,
                path=path,
                reason=str(group.exceptions[0]),
            )
        finally:
            if connection is not None:
                await connection.aclose()
        return None

    def _pool(self, row: Upstream) -> ConnectionPool:
        key = (row.upstream_id, row.incarnation)
        if key not in self._pools:
            self._pools[key] = ConnectionPool(parse_address(row.address))
        return self._pools[key]


def _report(value: dict[str, Any]) -> EngineReport:
    incoming = []
    for text in value.get("incoming") or ():
        # Written as MODEL/NAME@VERSION.
        model, _, adapter = text.partition("@")[0].partition("/")
        incoming.append((model, adapter))
    return EngineReport(
        sequence=int(value["sequence"]),
        models={row["name"]: _adapters(row) for row in value["models"]},
        is_busy=bool(value["busy"]),
        loading_adapters=incoming,
    )


def _adapters(row: dict[str, Any]) -> list[str]:
    return [a["name"] if isinstance(a, dict) else a for a in row.get("adapters") or ()]
