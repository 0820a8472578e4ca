"""Run ``briardyke-operator``."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import trio
import typer
from result import Result

from briardyke.emulator.command import emulate
from briardyke.errors import ErrorKind, Failure
from briardyke.exit_codes import ExitCode
from briardyke.http.client import HttpClient
from briardyke.ids import new_id
from briardyke.operator.client import OperatorClient, OperatorSettings, parse_header_value
from briardyke.operator.explain import explain
from briardyke.settings import ENVIRONMENT_PREFIX, load_settings

Call = Callable[[OperatorClient], Awaitable[Result[Any, Failure]]]

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    no_args_is_help=True,
    help=(
        "Change and read the agreed state. Exit codes: 0 done, 1 defect, 2 bad arguments,"
        " 5 request refused or failed."
    ),
)
members = typer.Typer(no_args_is_help=True, help="List and change the control group's members.")
app.add_typer(members, name="members")
app.command()(emulate)
app.command()(explain)
run = app


@app.callback()
def main(
    context: typer.Context,
    control: Annotated[
        str | None,
        typer.Option(
            envvar=ENVIRONMENT_PREFIX + "CONTROL",
            help="HTTP addresses of the control instances, comma separated; tried in turn.",
        ),
    ] = None,
    operator: Annotated[
        str | None,
        typer.Option(
            envvar=ENVIRONMENT_PREFIX + "OPERATOR", help="Name recorded in the audit trail."
        ),
    ] = None,
    timeout_ms: Annotated[
        str | None,
        typer.Option(
            envvar=ENVIRONMENT_PREFIX + "TIMEOUT_MS", help="Longest silence of one call, in ms."
        ),
    ] = None,
) -> None:
    """Read the settings that all commands share."""
    given = {"control": control, "operator": operator, "timeout_ms": timeout_ms}
    context.obj = load_settings(OperatorSettings, given)


@app.command()
def show(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Argument(help="Version; the current one if absent.")
    ] = None,
) -> None:
    """Print a version of the configuration."""
    suffix = "" if version is None else f"/{version}"
    body = _request(context, lambda client: client.get(f"/v1/configuration{suffix}"))
    typer.echo(f"version={body['version']}", err=True)
    typer.echo(json.dumps(body["configuration"], indent=2, ensure_ascii=False))


@app.command()
def patch(
    context: typer.Context,
    file: Annotated[str, typer.Argument(help="JSON Merge Patch; - reads standard input.")],
    base: Annotated[int, typer.Option(min=0, help="Version that the patch was written against.")],
    request_id: Annotated[
        str | None, typer.Option(help="Id of an earlier request that is sent again.")
    ] = None,
) -> None:
    """Apply a patch to the configuration."""
    settings = _settings(context)
    if not settings.operator:
        _fail("--operator: is required to patch", ExitCode.SETTINGS_INVALID)
    try:
        identity = parse_header_value(request_id or new_id("req"))
    except ValueError as error:
        _fail(f"--request-id: {error}", ExitCode.SETTINGS_INVALID)
    content = _read_file(file)
    typer.echo(f"request_id={identity}")
    sys.stdout.flush()  # the operator needs the id to resend if this process dies mid-request
    body = _request(
        context,
        lambda client: client.patch(content, base, identity),
        f"resend with: --request-id {identity}",
    )
    typer.echo(f"accepted version={body['version']}")


@app.command()
def audit(
    context: typer.Context,
    limit: Annotated[int, typer.Option(min=1, max=1000, help="Number of records.")] = 20,
    before: Annotated[
        int | None, typer.Option(min=1, help="Only records with a lower number.")
    ] = None,
) -> None:
    """Print the audit trail, newest first."""
    query = f"limit={limit}" + ("" if before is None else f"&before={before}")
    body = _request(context, lambda client: client.get(f"/v1/audit?{query}"))
    for record in body["records"]:
        typer.echo(_audit_line(record))
    if body["next_before"] is not None and len(body["records"]) == limit:
        typer.echo(f"older records: --before {body['next_before']}", err=True)


@app.command()
def status(context: typer.Context) -> None:
    """Print the status of the first control instance that responds."""
    body = _request(context, lambda client: client.get("/v1/status"))
    for name, value in body.items():
        text = value if isinstance(value, str) else json.dumps(value)
        typer.echo(f"{name}={text}")


@members.command("list")
def list_members(context: typer.Context) -> None:
    """Print the members."""
    body = _request(context, lambda client: client.get("/v1/members"))
    for member in body["members"]:
        typer.echo(f"{member['member_id']} {member['address']} {member['role']}")


@members.command("add")
def add_member(
    context: typer.Context,
    member_id: Annotated[str, typer.Argument(help="<instance_id>#<storage_id>.")],
    address: Annotated[str, typer.Argument(help="<ip>:<port> of its peer port.")],
) -> None:
    """Add a member as a learner."""
    _change_member(context, {"action": "add", "member_id": member_id, "address": address})


@members.command("promote")
def promote_member(
    context: typer.Context,
    member_id: Annotated[str, typer.Argument(help="<instance_id>#<storage_id>.")],
) -> None:
    """Make a learner a voter."""
    _change_member(context, {"action": "promote", "member_id": member_id})


@members.command("remove")
def remove_member(
    context: typer.Context,
    member_id: Annotated[str, typer.Argument(help="<instance_id>#<storage_id>.")],
) -> None:
    """Remove a member."""
    _change_member(context, {"action": "remove", "member_id": member_id})


def _change_member(context: typer.Context, change: dict[str, str]) -> None:
    body = _request(
        context,
        lambda client: client.change_member(change),
        "run `members list` before retrying",
    )
    typer.echo(f"done {body['action']} {body['member_id']}")


def _settings(context: typer.Context) -> OperatorSettings:
    loaded: Result[OperatorSettings, list[Failure]] = context.obj
    if loaded.is_err():
        for failure in loaded.unwrap_err():
            typer.echo(f"error: {failure.message}", err=True)
        raise typer.Exit(ExitCode.SETTINGS_INVALID)
    return loaded.unwrap()


def _request(context: typer.Context, call: Call, unknown_hint: str = "") -> Any:
    settings = _settings(context)

    async def send() -> Result[Any, Failure]:
        http = HttpClient()
        try:
            return await call(OperatorClient(http, settings))
        finally:
            await http.aclose()

    result = trio.run(send)
    if result.is_ok():
        return result.unwrap()
    failure = result.unwrap_err()
    text = f"{failure.kind.value}: {failure.message}"
    if len(failure.reasons) > 1:
        for reason in failure.reasons:
            typer.echo(f"reason: {reason}", err=True)
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN and unknown_hint:
        text += f"; {unknown_hint}"
    return _fail(text, ExitCode.REQUEST_FAILED)


def _read_file(file: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as error:
        return _fail(f"{file}: {error.strerror}", ExitCode.SETTINGS_INVALID)


def _fail(text: str, code: ExitCode) -> Any:
    typer.echo(f"error: {text}", err=True)
    raise typer.Exit(code)


def _audit_line(record: dict[str, Any]) -> str:
    when = datetime.fromtimestamp(record["wall_unix_ms"] / 1000, UTC)
    to_version = "-" if record["to_version"] is None else record["to_version"]
    line = (
        f"{record['number']} {when:%Y-%m-%dT%H:%M:%SZ} operator={record['operator']}"
        f" from={record['from_version']} to={to_version}"
        f" result={record['refused'] or 'accepted'} request_id={record['request_id']}"
        f" patch={json.dumps(record['patch'], separators=(',', ':'))}"
    )
    if record["reasons"]:
        line += f" reasons={json.dumps(record['reasons'])}"
    return line
