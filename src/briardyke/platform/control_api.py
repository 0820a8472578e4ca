"""Answer the platform's calls to a control instance: registrations and the operator."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from briardyke.addresses import parse_address
from briardyke.errors import ErrorKind, Failure
from briardyke.logs import log_event, log_limited
from briardyke.platform.announcements import decode_announcement
from briardyke.platform.configuration import decode_configuration
from briardyke.routes.decoding import decode_configuration_beside

if TYPE_CHECKING:
    from briardyke.fleet.control import ControlInstance
    from briardyke.http.exchange import Answer, HttpRequest

_INSTANCES = "/briardyke/instances/"
_CONFIGURATION = "/briardyke/config"
_JSON = [(b"content-type", b"application/json")]
_TRY_ANOTHER = 503


class ControlApi:
    """Translate calls into calls of a :class:`ControlInstance`."""

    def __init__(self, control: ControlInstance, control_port: int) -> None:
        """Serve a control instance.

        :param control: the instance.
        :param control_port: port of the control address, the same on every instance.
        """
        self._control = control
        self._port = control_port
        # A document of 4 MiB may take 25 times as much while it is decoded.
        self._decoding = trio.CapacityLimiter(1)

    async def handle(self, request: HttpRequest, answer: Answer) -> None:
        """Answer one call."""
        path = request.path
        if path.startswith(_INSTANCES) and request.method in ("PUT", "DELETE"):
            await self._registration(path.removeprefix(_INSTANCES), request, answer)
        elif path == _CONFIGURATION and request.method == "PUT":
            await self._put(request, answer)
        elif path == _CONFIGURATION and request.method == "GET":
            await self._get(request, answer)
        else:
            await answer.send_whole(404, [])

    async def _registration(self, upstream_id: str, request: HttpRequest, answer: Answer) -> None:
        if request.method == "DELETE":
            taken = self._control.record_departure(upstream_id)
            log_event("departure_received", upstream=upstream_id, acknowledged=taken)
            await answer.send_whole(200 if taken else _TRY_ANOTHER, _JSON, b"{}" if taken else b"")
            return
        decoded = decode_announcement(upstream_id, request.body)
        if decoded.is_err():
            reason = decoded.unwrap_err().message
            log_limited(
                "announcement_refused", is_routine=False, upstream=upstream_id, reason=reason
            )
            await answer.send_whole(400, [])
            return
        taken = self._control.announce(decoded.unwrap())
        await answer.send_whole(200 if taken else _TRY_ANOTHER, _JSON, b"{}" if taken else b"")

    async def _put(self, request: HttpRequest, answer: Answer) -> None:
        async with self._decoding:
            decoded = await decode_configuration_beside(decode_configuration, request.body)
        if decoded.is_err():
            failure = decoded.unwrap_err()
            log_event("configuration_refused", reason=failure.message)
            body = json.dumps({"error": failure.message, "reasons": failure.reasons}).encode()
            await answer.send_whole(400, _JSON, body)
            return
        version = decoded.unwrap().version
        offered = await self._control.propose_configuration(version, request.body)
        if offered.is_err():
            await self._fail(offered.unwrap_err(), request, answer)
            return
        log_event("configuration_acknowledged", version=version, in_force=offered.unwrap())
        await answer.send_whole(200, _JSON, b"{}")

    async def _get(self, request: HttpRequest, answer: Answer) -> None:
        newest = await self._control.read_configuration()
        if newest.is_err():
            await self._fail(newest.unwrap_err(), request, answer)
            return
        await answer.send_whole(200, _JSON, newest.unwrap())

    async def _fail(self, failure: Failure, request: HttpRequest, answer: Answer) -> None:
        if failure.kind is ErrorKind.NOT_LEADER and failure.field:
            host = parse_address(failure.field).host
            location = f"http://{host}:{self._port}{request.target}"
            await answer.send_whole(307, [(b"location", location.encode("ascii"))])
            return
        log_event("operator_call_failed", method=request.method, reason=failure.message)
        await answer.send_whole(_TRY_ANOTHER, [])
