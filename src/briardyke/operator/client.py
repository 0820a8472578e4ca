"""Call the operator interface and fail over to the next control instance."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from briardyke.addresses import Address
from briardyke.clock import sleep_ms
from briardyke.errors import ErrorKind, Failure, Ran
from briardyke.settings import parse_addresses, setting

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.http.client import HttpClient, WholeResponse

# A leader election takes up to 3 s; all rounds with their pauses take longer.
MAX_ROUNDS = 5
ROUND_PAUSE_MS = 1000.0


def _required_addresses(text: str) -> tuple[Address, ...]:
    addresses = parse_addresses(text)
    if not addresses:
        raise ValueError("expected at least one <ip>:<port>")
    return addresses


def parse_header_value(text: str) -> str:
    """Return the text unchanged if it is valid as an HTTP header value.

    :raises ValueError: unless it is printable ASCII without leading or trailing spaces.
    """
    if not (text.isascii() and text.isprintable()) or text != text.strip():
        raise ValueError("expected printable ASCII characters")
    return text


@attrs.frozen
class OperatorSettings:
    """Change and read the agreed state of a briardyke installation."""

    control: tuple[Address, ...] = setting(
        "HTTP addresses of the control instances, comma separated; tried in turn.",
        parse=_required_addresses,
    )
    operator: str = setting(
        "Name recorded in the audit trail; needed to patch.", default="", parse=parse_header_value
    )
    timeout_ms: int = setting(
        "Longest silence of one call.",
        default="7000",
        parse=int,
        unit="ms",
        minimum=1,
        maximum=600_000,
    )


class OperatorClient:
    """Send requests to the first control instance that gives a definite response."""

    def __init__(
        self, http: HttpClient, settings: OperatorSettings, pause_ms: float = ROUND_PAUSE_MS
    ) -> None:
        """Create a client without connecting.

        :param http: HTTP client to send with.
        :param settings: addresses, operator name and timeout.
        :param pause_ms: pause before the addresses are tried again, in milliseconds.
        """
        self._http = http
        self._settings = settings
        self._pause_ms = pause_ms

    async def get(self, target: str) -> Result[Any, Failure]:
        """Return the JSON body of a resource.

        :param target: path with query.
        """
        return await self._send("GET", target, b"", {}, rounds=1, resend=True)

    async def patch(self, patch: bytes, base: int, request_id: str) -> Result[Any, Failure]:
        """Send a patch until it has a definite outcome, always with the same request id.

        :param patch: JSON Merge Patch.
        :param base: version that the patch was written against.
        :param request_id: identity of the request.
        :return: the JSON body of the acceptance, or the refusal; ``outcome_unknown`` when a patch
            may have been accepted.
        """
        headers = {
            "content-type": "application/merge-patch+json",
            "if-match": f'"{base}"',
            "x-request-id": request_id,
            "x-operator": self._settings.operator,
        }
        return await self._send(
            "PATCH", "/v1/configuration", patch, headers, rounds=MAX_ROUNDS, resend=True
        )

    async def change_member(self, change: Mapping[str, str]) -> Result[Any, Failure]:
        """Send a member change; it is not resent once it may have been carried out.

        :param change: ``action``, ``member_id`` and ``address``.
        """
        body = json.dumps(change).encode()
        headers = {"content-type": "application/json"}
        return await self._send("POST", "/v1/members", body, headers, rounds=1, resend=False)

    async def _send(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str],
        *,
        rounds: int,
        resend: bool,
    ) -> Result[Any, Failure]:
        may_have_run = False
        last = Failure(ErrorKind.PEER_UNREACHABLE, "no control instance was tried")
        for round_number in range(rounds):
            if round_number:
                await sleep_ms(self._pause_ms)
            for address in self._settings.control:
                called = await self._http.call(
                    method,
                    address,
                    target,
                    body=body,
                    headers=headers,
                    timeout_ms=self._settings.timeout_ms,
                )
                result = called.and_then(_read_response)
                if result.is_ok():
                    return result
                failure = result.unwrap_err()
                if failure.answer.ran is Ran.NO and not failure.answer.retryable:
                    return result
                last = attrs.evolve(failure, message=f"{address}: {failure.message}")
                may_have_run = may_have_run or failure.answer.ran is not Ran.NO
                if may_have_run and not resend:
                    return Err(_outcome_unknown(last))
        return Err(_outcome_unknown(last) if may_have_run and method != "GET" else last)


async def get_from(
    http: HttpClient, address: Address, target: str, timeout_ms: float
) -> Result[Any, Failure]:
    """Return the JSON body of a resource of one instance.

    :param target: path with query.
    """
    called = await http.call("GET", address, target, timeout_ms=timeout_ms)
    return called.and_then(_read_response)


def _outcome_unknown(last: Failure) -> Failure:
    return Failure(ErrorKind.OUTCOME_UNKNOWN, f"last error: {last.message}")


def _read_response(response: WholeResponse) -> Result[Any, Failure]:
    try:
        body = response.json()
        if response.status == 200:
            return Ok(body)
        error = body["error"]
        return Err(
            Failure(
                ErrorKind(error["kind"]),
                str(error["message"]),
                str(error["field"]),
                reasons=tuple(error.get("reasons", ())),
            )
        )
    except (ValueError, KeyError, TypeError):
        text = f"status {response.status} with an unreadable body"
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, text))
