"""Check the operator routes through an HTTP server on loopback."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
import trio
from result import Err, Ok, Result

from briardyke.addresses import Address, parse_address
from briardyke.agreed.machine import ControlMachine
from briardyke.control.operator_api import MemberInfo, register_operator_routes
from briardyke.errors import ErrorKind, Failure
from briardyke.http.app import HttpApp, serve_http
from briardyke.http.client import HttpClient, WholeResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class FakeControl:
    """Fake control process with one member that commits immediately."""

    def __init__(self) -> None:
        self.machine = ControlMachine()
        self.index = 0
        self.fail_before: Failure | None = None
        self.fail_after: Failure | None = None
        self.changes: list[tuple[str, str, Address | None]] = []
        self.app = HttpApp()
        self.confirmed_age_ms: float | None = 100.0
        register_operator_routes(self.app, self, self.machine, self, self._status)

    def _status(self) -> dict[str, Any]:
        return {"role": "leader", "confirmed_age_ms": self.confirmed_age_ms}

    async def propose(self, command: bytes, timeout_ms: int) -> Result[bytes, Failure]:
        if self.fail_before is not None:
            return Err(self.fail_before)
        self.index += 1
        outcome = self.machine.apply(self.index, command)
        return Ok(outcome) if self.fail_after is None else Err(self.fail_after)

    def members(self) -> list[MemberInfo]:
        return [MemberInfo("c1#s1", "127.0.0.1:1", "leader")]

    async def change(
        self, action: str, member_id: str, address: Address | None, timeout_ms: int
    ) -> Result[None, Failure]:
        self.changes.append((action, member_id, address))
        return Ok(None) if self.fail_after is None else Err(self.fail_after)


@pytest.fixture
async def control(nursery: trio.Nursery) -> AsyncIterator[FakeControl]:
    control = FakeControl()
    stop = trio.Event()
    bound = await nursery.start(serve_http, control.app, Address("127.0.0.1", 0), stop, 0.1)
    control.address = parse_address(bound)
    control.http = HttpClient()
    yield control
    await control.http.aclose()
    stop.set()


async def send(control: Any, method: str, target: str, body: Any = None, **headers: str) -> Any:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    content = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
    result = await control.http.call(
        method, control.address, target, body=content, headers=named, timeout_ms=5000
    )
    response: WholeResponse = result.unwrap()
    return response.status, response.json(), response.headers.get("etag")


async def patch(control: Any, body: Any, base: int = 0, request_id: str = "r1") -> Any:
    headers = {"if_match": f'"{base}"', "x_request_id": request_id, "x_operator": "ada"}
    return await send(control, "PATCH", "/v1/configuration", body, **headers)


CALLER = {"callers": {"shop": {"api_key_sha256": "0" * 64}}}


class TestUnconfirmedVersion:
    """Guards against an isolated process that shows an old version as the current one."""

    @pytest.mark.parametrize("age_ms", [None, 6000.0])
    async def test_current_version_is_refused_unless_asked_for(
        self, control: Any, age_ms: float | None
    ) -> None:
        control.confirmed_age_ms = age_ms
        status, body, _ = await send(control, "GET", "/v1/configuration")
        assert (status, body["error"]["kind"]) == (503, "version_unconfirmed")
        status, body, _ = await send(control, "GET", "/v1/configuration?unconfirmed=true")
        assert (status, body["version"]) == (200, 0)


class TestPatch:
    """Guards against patches without version, name or id, and unclear reports of the outcome."""

    async def test_an_accepted_patch_is_shown_and_applied_once_when_resent(
        self, control: Any
    ) -> None:
        accepted = (200, {"version": 1, "request_id": "r1"}, '"1"')
        assert await patch(control, CALLER) == accepted
        assert await patch(control, CALLER) == accepted
        shown = (200, {"version": 1, "configuration": CALLER}, '"1"')
        assert await send(control, "GET", "/v1/configuration") == shown
        assert await send(control, "GET", "/v1/configuration/1") == shown
        for version in ("2", "x", "9" * 30):
            status, _, _ = await send(control, "GET", f"/v1/configuration/{version}")
            assert status == 404

    async def test_a_conflict_returns_the_current_version(self, control: Any) -> None:
        await patch(control, CALLER)
        status, body, tag = await patch(control, CALLER, request_id="r2")
        assert (status, body["error"]["kind"], tag) == (412, "version_conflict", '"1"')
        assert body["current_version"] == 1

    async def test_a_refusal_carries_all_reasons(self, control: Any) -> None:
        bad = {"models": 1, "limits": {"l": {"caller": "x"}}}
        status, body, _ = await patch(control, bad)
        assert (status, body["error"]["ran"]) == (422, "no")
        assert body["error"]["reasons"] == [
            "models: expected an object",
            "limits.l.caller: unknown caller x",
        ]

    @pytest.mark.parametrize(
        ("headers", "status", "field"),
        [
            ({"x_request_id": "r", "x_operator": "a"}, 428, "if-match"),
            ({"if_match": "1", "x_request_id": "r", "x_operator": "a"}, 400, "if-match"),
            ({"if_match": '"0"', "x_operator": "a"}, 400, "x-request-id"),
            ({"if_match": '"0"', "x_request_id": "r"}, 400, "x-operator"),
        ],
    )
    async def test_required_headers(
        self, control: Any, headers: dict[str, str], status: int, field: str
    ) -> None:
        found, body, _ = await send(control, "PATCH", "/v1/configuration", CALLER, **headers)
        assert (found, body["error"]["field"], control.index) == (status, field, 0)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b'{"models": {}, "models": {}}',
            b'{"a": NaN}',
            b'{"a": 123456789012345678901234567890}',
            b'{"a": "\\ud800"}',
            b'{"a":' * 20 + b"1" + b"}" * 20,
            b"[" * 100_000,
        ],
    )
    async def test_unusable_bodies_are_refused(self, control: Any, body: bytes) -> None:
        status, answer, _ = await patch(control, body)
        assert (status, answer["error"]["kind"]) == (400, "malformed_request")
        assert control.index == 0

    async def test_an_unknown_outcome_asks_to_resend_with_the_same_id(self, control: Any) -> None:
        control.fail_after = Failure(ErrorKind.OUTCOME_UNKNOWN, "not applied within 5000 ms")
        status, body, _ = await patch(control, CALLER)
        assert (status, body["error"]["ran"]) == (504, "unknown")
        assert "resend with the same X-Request-Id" in body["error"]["message"]
        control.fail_after = None
        assert (await patch(control, CALLER))[0] == 200
        assert control.machine.projection.version == 1


class TestReads:
    """Guards against an audit trail that cannot be read in full."""

    async def test_audit_pages_and_status(self, control: Any) -> None:
        for base in range(3):
            await patch(control, CALLER, base, f"r{base}")
        _, first, _ = await send(control, "GET", "/v1/audit?limit=2")
        assert [r["number"] for r in first["records"]] == [3, 2]
        _, rest, _ = await send(control, "GET", f"/v1/audit?before={first['next_before']}")
        assert [r["number"] for r in rest["records"]] == [1]
        assert rest["next_before"] is None
        for query in ("limit=0", "limit=1001", "before=x"):
            assert (await send(control, "GET", f"/v1/audit?{query}"))[0] == 400
        _, status, _ = await send(control, "GET", "/v1/status")
        assert (status["version"], status["applied_index"], status["role"]) == (3, 3, "leader")


class TestMembers:
    """Guards against member changes that the operator did not state in full."""

    async def test_members_are_listed_and_changed(self, control: Any) -> None:
        _, body, _ = await send(control, "GET", "/v1/members")
        assert body["members"][0]["member_id"] == "c1#s1"
        change = {"action": "add", "member_id": "c2#s2", "address": "127.0.0.1:7"}
        assert (await send(control, "POST", "/v1/members", change))[0] == 200
        assert control.changes == [("add", "c2#s2", Address("127.0.0.1", 7))]
        for bad in (
            {**change, "action": "drop"},
            {**change, "member_id": ""},
            {**change, "address": "nowhere"},
            {**change, "force": True},
        ):
            assert (await send(control, "POST", "/v1/members", bad))[0] == 400
        control.fail_after = Failure(ErrorKind.PEER_TIMEOUT, "no reply")
        status, body, _ = await send(control, "POST", "/v1/members", change)
        assert status == 504
        assert "list the members" in body["error"]["message"]
