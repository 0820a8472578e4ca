"""Provide the command line of a control process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import typer

from briardyke.consensus.identity import initialise
from briardyke.control.process import run_control
from briardyke.control.settings import ControlSettings, InitSettings
from briardyke.errors import ErrorKind, Failure
from briardyke.exit_codes import ExitCode
from briardyke.logs import configure_logs, log_error
from briardyke.runtime import run_until_signal
from briardyke.settings import as_command

if TYPE_CHECKING:
    import trio
    from result import Result

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="Run or initialise a control process of briardyke.",
)


def _run(settings: ControlSettings) -> int:
    configure_logs(settings.log_level)
    outcome: list[Result[None, Failure]] = []

    async def main(stop: trio.Event) -> None:
        outcome.append(await run_control(settings, stop))

    code = run_until_signal(main)
    if outcome and outcome[0].is_err():
        return _report(outcome[0].unwrap_err())
    return code


def _init(settings: InitSettings) -> int:
    created = initialise(
        settings.data_dir, settings.cluster_id, settings.instance_id, settings.voters
    )
    if created.is_err():
        typer.echo(f"error: {created.unwrap_err().message}", err=True)
        return ExitCode.SETTINGS_INVALID
    typer.echo(f"initialised member={created.unwrap().member_id}")
    return ExitCode.OK


def _report(failure: Failure) -> int:
    log_error("start_failed", kind=failure.kind.value, message=failure.message, field=failure.field)
    if failure.kind is ErrorKind.SETTINGS_INVALID:
        return ExitCode.SETTINGS_INVALID
    return ExitCode.STORAGE_FAILED


app.command("run")(as_command(ControlSettings, _run))
app.command("init")(as_command(InitSettings, _init))
run = partial(app)
