"""Check the operator program against control instances on loopback."""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING, Any

import pytest
import trio
from result import Ok
from typer.testing import CliRunner, Result

from briardyke.addresses import Address
from briardyke.agreed.machine import ControlMachine
from briardyke.control.operator_api import MemberInfo, register_operator_routes
from briardyke.exit_codes import ExitCode
from briardyke.http.app import HttpApp, serve_http
from briardyke.http.client import WholeResponse
from briardyke.operator import client
from briardyke.operator.main import run

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

CALLER = {"callers": {"shop": {"api_key_sha256": "0" * 64}}}


class ControlInstances:
    """Serve a control instance directly and through a relay that can lose its replies.

    ``addresses`` holds the relay first, so that a client tries it first.
    """

    def __init__(self) -> None:
        self.machine = ControlMachine()
        self.index = 0
        self.lose_replies = False
        self.added: list[str] = []

    async def propose(self, command: bytes, timeout_ms: int) -> Any:
        self.index += 1
        return Ok(self.machine.apply(self.index, command))

    def members(self) -> list[MemberInfo]:
        return [MemberInfo("c1#s1", "127.0.0.1:1", "leader")]

    async def change(self, action: str, member_id: str, address: Any, timeout_ms: int) -> Any:
        self.added.append(f"{action} {member_id}")
        return Ok(None)

    async def relay(self, caller: trio.SocketStream) -> None:
        """Forward requests; close the connection instead of replying when replies are lost."""
        host, port = self.addresses[1].split(":")
        async with (
            caller,
            await trio.open_tcp_stream(host, int(port)) as server,
            trio.open_nursery() as nursery,
        ):

            async def forward() -> None:
                async for data in caller:
                    await server.send_all(data)
                nursery.cancel_scope.cancel()

            nursery.start_soon(forward)
            async for data in server:
                if self.lose_replies:
                    break
                await caller.send_all(data)
            nursery.cancel_scope.cancel()

    def serve(self, started: threading.Event, stopping: threading.Event) -> None:
        app = HttpApp()
        status = {"role": "leader", "confirmed_age_ms": 100.0}
        register_operator_routes(app, self, self.machine, self, lambda: status)

        async def main() -> None:
            stop = trio.Event()
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                server = await nursery.start(serve_http, app, Address("127.0.0.1", 0), stop, 0.1)
                self.addresses = [f"127.0.0.1:{port}", server]
                nursery.start_soon(trio.serve_listeners, self.relay, listeners)
                started.set()
                await trio.to_thread.run_sync(stopping.wait)
                stop.set()
                nursery.cancel_scope.cancel()

        trio.run(main)


@pytest.fixture
def instances() -> Iterator[ControlInstances]:
    instances = ControlInstances()
    started, stopping = threading.Event(), threading.Event()
    thread = threading.Thread(target=instances.serve, args=(started, stopping))
    thread.start()
    try:
        assert started.wait(10)
        yield instances
    finally:
        stopping.set()
        thread.join(10)


def call(control: str, *arguments: str, text: str = "") -> Result:
    environment = {"BRIARDYKE_CONTROL": control, "BRIARDYKE_OPERATOR": "ada"}
    return CliRunner().invoke(run, list(arguments), input=text, env=environment)


class TestOperator:
    """Guards against changes that are lost, applied twice or reported wrongly."""

    def test_patch_show_audit_status_and_members(self, instances: Any, tmp_path: Path) -> None:
        control = ",".join(instances.addresses)
        file = tmp_path / "patch.json"
        file.write_text(json.dumps(CALLER))
        patched = call(control, "patch", str(file), "--base", "0", "--request-id", "r1")
        assert patched.stdout == "request_id=r1\naccepted version=1\n"
        assert json.loads(call(control, "show").stdout) == CALLER
        assert json.loads(call(control, "show", "0").stdout) == {}
        (line,) = call(control, "audit").stdout.splitlines()
        assert "operator=ada from=0 to=1 result=accepted request_id=r1" in line
        assert "version=1\n" in call(control, "status").stdout
        assert call(control, "members", "list").stdout == "c1#s1 127.0.0.1:1 leader\n"
        call(control, "members", "add", "c2#s2", "127.0.0.1:2")
        call(control, "members", "promote", "c2#s2")
        call(control, "members", "remove", "c1#s1")
        assert instances.added == ["add c2#s2", "promote c2#s2", "remove c1#s1"]

    def test_a_lost_reply_is_resent_to_the_next_instance_once_applied(self, instances: Any) -> None:
        instances.lose_replies = True
        control = ",".join(instances.addresses)
        patched = call(control, "patch", "-", "--base", "0", text=json.dumps(CALLER))
        assert patched.stdout.endswith("accepted version=1\n")
        assert (instances.index, instances.machine.projection.version) == (2, 1)
        assert len(instances.machine.audit_records(10)) == 1

    def test_resends_are_bounded_and_the_error_names_the_request_id(
        self, instances: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(client.OperatorClient.__init__, "__defaults__", (0.0,))
        instances.lose_replies = True
        control = instances.addresses[0]
        patched = call(
            control, "patch", "-", "--base", "0", "--request-id", "r7", text=json.dumps(CALLER)
        )
        assert patched.exit_code == ExitCode.REQUEST_FAILED
        assert "outcome_unknown" in patched.stderr
        assert "--request-id r7" in patched.stderr
        assert instances.index == client.MAX_ROUNDS
        change = call(",".join(instances.addresses), "members", "remove", "c1#s1")
        assert "members list" in change.stderr
        assert instances.added == ["remove c1#s1"]

    def test_refusals_show_every_reason(self, instances: Any) -> None:
        control = instances.addresses[0]
        refused = call(control, "patch", "-", "--base", "0", text='{"models": 1, "targets": 2}')
        assert refused.exit_code == ExitCode.REQUEST_FAILED
        assert refused.stderr.splitlines() == [
            "reason: models: expected an object",
            "reason: targets: expected an object",
            "error: configuration_invalid: 2 reason(s): models: expected an object",
        ]
        conflict = call(control, "patch", "-", "--base", "4", text="{}")
        assert conflict.stderr == "error: version_conflict: version 4 is not current; 0 is\n"
        assert call(control, "show", "9").stderr == "error: not_found: version 9 is not kept\n"

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["--control", "", "show"], ExitCode.SETTINGS_INVALID),
            (["--control", "localhost", "show"], ExitCode.SETTINGS_INVALID),
            (["--operator", "", "patch", "-", "--base", "0"], ExitCode.SETTINGS_INVALID),
            (["--operator", "a\nb", "patch", "-", "--base", "0"], ExitCode.SETTINGS_INVALID),
            (["patch", "-", "--base", "0", "--request-id", "é"], ExitCode.SETTINGS_INVALID),
            (["patch", "/nowhere", "--base", "0"], ExitCode.SETTINGS_INVALID),
            (["show"], ExitCode.REQUEST_FAILED),
        ],
    )
    def test_errors_are_one_line(self, arguments: list[str], code: int) -> None:
        failed = call("127.0.0.1:1", *arguments)
        assert failed.exit_code == code
        assert failed.stderr.startswith("error: ")
        assert failed.stderr.count("\n") == 1


def test_an_unreadable_answer_to_a_patch_leaves_the_outcome_unknown() -> None:
    """Guards against reporting a refusal when a proxy or a defect sent the response."""
    response = WholeResponse(500, {}, b"<html>")
    assert client._read_response(response).unwrap_err().answer.ran.value == "unknown"
