"""Define the command line of the emulator."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003 - typer reads the annotations
from typing import Annotated

import typer

from briardyke.emulator.experiment import read_experiment
from briardyke.emulator.plot import write_plot
from briardyke.emulator.run import report_lines, run_seeds
from briardyke.emulator.switches import SWITCHES
from briardyke.exit_codes import ExitCode

DEFAULT_SEEDS = 10


def emulate(
    file: Annotated[Path, typer.Argument(help="TOML file that describes the experiment.")],
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds, from 1.")] = DEFAULT_SEEDS,
    off: Annotated[
        list[str] | None,
        typer.Option(help=f"Mechanism to switch off; repeatable: {', '.join(sorted(SWITCHES))}."),
    ] = None,
    jobs: Annotated[int, typer.Option(min=1, help="Processes to use.")] = 1,
    plot: Annotated[
        Path | None, typer.Option(help="SVG file for requests and those in time, by second.")
    ] = None,
) -> None:
    """Emulate a fleet in virtual time and print what callers received."""
    unknown = sorted(set(off or ()) - SWITCHES.keys())
    if unknown:
        _fail(f"no such mechanism: {', '.join(unknown)}")
    try:
        experiment = read_experiment(file)
    except OSError as error:
        _fail(f"{file}: {error.strerror}")
    except Exception as error:  # tomllib and cattrs raise many types
        _fail(f"{file}: {type(error).__name__}: {error}")
    results = run_seeds(experiment, list(range(1, seeds + 1)), off or [], jobs)
    for line in report_lines(experiment, results):
        typer.echo(line)
    if plot is not None:
        write_plot(plot, results)


def _fail(text: str) -> None:
    typer.echo(f"error: {text}", err=True)
    raise typer.Exit(ExitCode.SETTINGS_INVALID)
