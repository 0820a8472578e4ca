"""Serve the operator interface of a control process."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any, Protocol

import attrs
from result import Err, Ok, Result

from briardyke.addresses import Address, parse_address
from briardyke.agreed.commands import CommandRefused, PatchAccepted, PatchConfiguration
from briardyke.agreed.machine import MAX_AUDIT_PAGE_RECORDS
from briardyke.agreed.merge_patch import MAX_DEPTH, exceeds_max_depth
from briardyke.clock import wall_unix_ms
from briardyke.errors import ErrorKind, Failure, Ran
from briardyke.http.app import error_body, error_response, json_response
from briardyke.logs import log_event
from briardyke.strict_json import reject_duplicate_names
from briardyke.sync.lease import VERSION_LEASE_MS
from briardyke.wire.codec import decode, encode, unstructure

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from briardyke.agreed.machine import ControlMachine
    from briardyke.http.app import HttpApp, Request, Response

PROPOSE_TIMEOUT_MS = 5000
MAX_HEADER_LENGTH = 128
MAX_PATCH_BYTES = 1024 * 1024
DEFAULT_AUDIT_LIMIT = 100
MEMBER_ACTIONS = ("add", "promote", "remove")
_UNCONFIRMED_RETRY_MS = 1000
_VERSION_TAG = re.compile(r'"(\d{1,18})"')
_RESEND = "outcome unknown; resend with the same X-Request-Id"


class CommandProposer(Protocol):
    """Commit commands to the control group, through its leader."""

    async def propose(self, command: bytes, timeout_ms: int) -> Result[bytes, Failure]:
        """Return the outcome of the applied command.

        :param command: encoded command, stamped with this process's wall time; the leader may
            replace the stamp with its own by :func:`briardyke.agreed.commands.replace_wall_time`.
        :param timeout_ms: longest wait.
        """


@attrs.frozen
class MemberInfo:
    """Describe a member of the control group.

    :param member_id: ``<instance_id>#<storage_id>``.
    :param address: ``ip:port`` of its peer port.
    :param role: ``leader``, ``voter`` or ``learner``.
    """

    member_id: str
    address: str
    role: str


class MemberService(Protocol):
    """List and change the members of the control group."""

    def members(self) -> list[MemberInfo]:
        """Return the members that this process knows."""

    async def change(
        self, action: str, member_id: str, address: Address | None, timeout_ms: int
    ) -> Result[None, Failure]:
        """Change one member.

        :param action: ``add`` (as a learner), ``promote`` or ``remove``.
        :param member_id: the member.
        :param address: its peer address; only for ``add``.
        :param timeout_ms: longest wait.
        """


def register_operator_routes(
    app: HttpApp,
    proposer: CommandProposer,
    machine: ControlMachine,
    members: MemberService,
    status: Callable[[], Mapping[str, Any]],
) -> None:
    """Register the operator routes of a control process.

    :param app: application that serves them.
    :param proposer: commits patches.
    :param machine: local state machine, which all reads use.
    :param members: lists and changes members.
    :param status: returns the process's own fields of ``GET /v1/status``.
    """
    api = _OperatorApi(proposer, machine, members, status)
    app.route("GET", "/v1/configuration", api.get_current)
    app.route("GET", "/v1/configuration/{version}", api.get_version)
    app.route("PATCH", "/v1/configuration", api.patch)
    app.route("GET", "/v1/audit", api.get_audit)
    app.route("GET", "/v1/status", api.get_status)
    app.route("GET", "/v1/members", api.get_members)
    app.route("POST", "/v1/members", api.post_member)


class _OperatorApi:
    """Handle the operator routes."""

    def __init__(
        self,
        proposer: CommandProposer,
        machine: ControlMachine,
        members: MemberService,
        status: Callable[[], Mapping[str, Any]],
    ) -> None:
        self.proposer = proposer
        self.machine = machine
        self.member_service = members
        self.status = status

    async def get_current(self, request: Request) -> Response:
        age_ms = self.status().get("confirmed_age_ms")
        confirmed = age_ms is not None and age_ms < VERSION_LEASE_MS
        if not confirmed and request.query.get("unconfirmed") != "true":
            text = "this process cannot confirm that its version is current"
            failure = Failure(
                ErrorKind.VERSION_UNCONFIRMED, text, retry_after_ms=_UNCONFIRMED_RETRY_MS
            )
            return error_response(failure)
        projection = self.machine.projection
        return _document_response(projection.version, projection.document)

    async def get_version(self, request: Request) -> Response:
        text = request.path_values["version"]
        version = int(text) if re.fullmatch(r"[0-9]{1,18}", text) else -1
        document = self.machine.document(version)
        if document is None:
            failure = Failure(ErrorKind.NOT_FOUND, f"version {text} is not kept", "version")
            return error_response(failure)
        return _document_response(version, document)

    async def patch(self, request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        command = _read_patch(request)
        if command.is_err():
            return error_response(command.unwrap_err(), request_id)
        proposed = await self.proposer.propose(command.unwrap(), PROPOSE_TIMEOUT_MS)
        decoded = proposed.and_then(decode)
        if decoded.is_err():
            return _failure_response(decoded.unwrap_err(), request_id)
        outcome = decoded.unwrap()
        if isinstance(outcome, CommandRefused):
            return _refusal_response(outcome, request_id)
        if not isinstance(outcome, PatchAccepted):
            failure = Failure(
                ErrorKind.INTERNAL, f"unexpected command outcome {type(outcome).__name__}"
            )
            return _failure_response(failure, request_id)
        log_event("patch_accepted", version=outcome.version, request_id=request_id)
        body = {"version": outcome.version, "request_id": request_id}
        return json_response(body, 200, _version_tag(outcome.version))

    async def get_audit(self, request: Request) -> Response:
        limit = _query_number(request, "limit", DEFAULT_AUDIT_LIMIT)
        before = _query_number(request, "before", None)
        for parsed in (limit, before):
            if parsed.is_err():
                return error_response(parsed.unwrap_err())
        records = self.machine.audit_records(limit.unwrap() or 0, before.unwrap())
        next_before = records[-1].number if records and records[-1].number > 1 else None
        return json_response(
            {"records": [unstructure(r) for r in records], "next_before": next_before}
        )

    async def get_status(self, request: Request) -> Response:
        projection = self.machine.projection
        own = {
            "version": projection.version,
            "applied_index": projection.applied_index,
            "schema": projection.schema,
            "upstreams": len(projection.upstreams),
            "reservations": len(projection.reservations),
        }
        return json_response({**own, **self.status()})

    async def get_members(self, request: Request) -> Response:
        members = self.member_service.members()
        return json_response({"members": [unstructure(m) for m in members]})

    async def post_member(self, request: Request) -> Response:
        change = request.json_object().and_then(_read_change)
        if change.is_err():
            return error_response(change.unwrap_err())
        action, member_id, address = change.unwrap()
        result = await self.member_service.change(action, member_id, address, PROPOSE_TIMEOUT_MS)
        if result.is_err():
            failure = result.unwrap_err()
            if failure.answer.ran is not Ran.NO:
                text = f"{failure.message}; outcome unknown; list the members before retrying"
                failure = attrs.evolve(failure, message=text)
            return error_response(failure)
        return json_response({"action": action, "member_id": member_id})


def _failure_response(failure: Failure, request_id: str) -> Response:
    if failure.answer.ran is not Ran.NO:
        is_unknown = failure.kind is ErrorKind.OUTCOME_UNKNOWN
        text = _RESEND if is_unknown else f"{failure.message}; {_RESEND}"
        failure = attrs.evolve(failure, message=text)
    log_event("patch_failed", kind=failure.kind.value, request_id=request_id)
    return error_response(failure, request_id)


def _refusal_response(outcome: CommandRefused, request_id: str) -> Response:
    failure = outcome.failure()
    log_event("patch_refused", kind=outcome.kind, request_id=request_id)
    if failure.kind is not ErrorKind.VERSION_CONFLICT:
        return error_response(failure, request_id)
    # Taken from the outcome, because this member may not have applied that version yet.
    current = outcome.current_version
    body = {**error_body(failure, request_id), "current_version": current}
    return json_response(body, failure.answer.http_status, _version_tag(current))


def _version_tag(version: int) -> dict[str, str]:
    return {"etag": f'"{version}"'}


def _document_response(version: int, document: Mapping[str, Any]) -> Response:
    body = {"version": version, "configuration": document}
    return json_response(body, 200, _version_tag(version))


def _read_patch(request: Request) -> Result[bytes, Failure]:
    tag = request.headers.get("if-match")
    if tag is None:
        text = 'If-Match: "N" is required; N is the version that the patch was written against'
        return Err(Failure(ErrorKind.VERSION_MISSING, text, "if-match"))
    match = _VERSION_TAG.fullmatch(tag.strip())
    if match is None:
        return Err(Failure(ErrorKind.FIELD_INVALID, 'expected If-Match: "N"', "if-match"))
    for name in ("x-request-id", "x-operator"):
        if not 0 < len(request.headers.get(name, "")) <= MAX_HEADER_LENGTH:
            text = f"header {name} is required, at most {MAX_HEADER_LENGTH} characters"
            return Err(Failure(ErrorKind.FIELD_INVALID, text, name))
    if len(request.body) > MAX_PATCH_BYTES:
        text = f"patch is over {MAX_PATCH_BYTES} bytes"
        return Err(Failure(ErrorKind.BODY_TOO_LARGE, text, "body"))
    patch = _parse_json_object(request.body)
    if patch.is_err():
        return Err(patch.unwrap_err())
    headers = request.headers
    command = PatchConfiguration(
        request_id=headers["x-request-id"],
        operator=headers["x-operator"],
        base_version=int(match[1]),
        patch=patch.unwrap(),
        wall_unix_ms=wall_unix_ms(),
    )
    try:
        return Ok(encode(command))
    except (ValueError, OverflowError) as error:
        # A lone surrogate or an integer over 64 bits is valid JSON but has no msgpack form.
        text = f"patch cannot be stored: {error}"
        return Err(Failure(ErrorKind.MALFORMED_REQUEST, text, "body"))


def _parse_json_object(body: bytes) -> Result[dict[str, Any], Failure]:
    """Parse a JSON object and reject duplicate names, of which json keeps only the last."""
    try:
        value = json.loads(
            body, object_pairs_hook=reject_duplicate_names, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        text = f"body is not valid JSON: {error}"
        return Err(Failure(ErrorKind.MALFORMED_REQUEST, text, "body"))
    if not isinstance(value, dict):
        return Err(Failure(ErrorKind.MALFORMED_REQUEST, "body is not a JSON object", "body"))
    if exceeds_max_depth(value):
        text = f"patch is nested deeper than {MAX_DEPTH} levels"
        return Err(Failure(ErrorKind.MALFORMED_REQUEST, text, "body"))
    return Ok(value)


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a JSON number")


def _query_number(request: Request, name: str, default: int | None) -> Result[int | None, Failure]:
    text = request.query.get(name)
    if text is None:
        return Ok(default)
    if re.fullmatch(r"[0-9]{1,18}", text) is None or int(text) < 1:
        return Err(Failure(ErrorKind.FIELD_INVALID, "expected a positive integer", name))
    if name == "limit" and int(text) > MAX_AUDIT_PAGE_RECORDS:
        return Err(
            Failure(ErrorKind.FIELD_INVALID, f"must be at most {MAX_AUDIT_PAGE_RECORDS}", name)
        )
    return Ok(int(text))


def _read_change(body: dict[str, Any]) -> Result[tuple[str, str, Address | None], Failure]:
    for name in body:
        if name not in ("action", "member_id", "address"):
            return Err(Failure(ErrorKind.FIELD_INVALID, "unknown key", name))
    action, member_id = body.get("action"), body.get("member_id")
    if action not in MEMBER_ACTIONS:
        text = f"expected one of {', '.join(MEMBER_ACTIONS)}"
        return Err(Failure(ErrorKind.FIELD_INVALID, text, "action"))
    if not isinstance(member_id, str) or not 0 < len(member_id) <= MAX_HEADER_LENGTH:
        return Err(Failure(ErrorKind.FIELD_INVALID, "expected a member id", "member_id"))
    if action != "add":
        return Ok((action, member_id, None))
    try:
        return Ok((action, member_id, parse_address(str(body.get("address", "")))))
    except ValueError as error:
        return Err(Failure(ErrorKind.FIELD_INVALID, str(error), "address"))
