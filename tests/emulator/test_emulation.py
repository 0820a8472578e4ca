"""Tests for the emulator: the decision code on emulated engines, in virtual time."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest
from typer.testing import CliRunner

from briardyke.emulator.experiment import Event, Experiment, RequestModel, Sizes, read_experiment
from briardyke.emulator.run import report_lines, run_seed
from briardyke.emulator.switches import SWITCHES, switch_off
from briardyke.exit_codes import ExitCode
from briardyke.operator.main import app

CHAT = RequestModel("chat", 8.0, 500.0, 6000.0, 0, 4, 2, events=10.0)
BATCH = RequestModel("batch", 1.0, 3000.0, 12_000.0, 4, 4, 4, events=10.0)
SMALL = Experiment([CHAT, BATCH], Sizes(entries=2, engines=3, models=8, duration_s=6.0))
TEXT = """
[sizes]
entries = 2
engines = 3
models = 8
duration_s = 2.0

[[request]]
name = "chat"
per_s = 5.0
objective_ms = 500.0
timeout_ms = 6000.0
first_model = 0
models = 4
active = 2
events = 5.0

[[event]]
kind = "shift"
at_s = 0.5
count = 1
"""


class TestSteadyLoad:
    """Covers a load far below the capacity of the engines."""

    def test_nearly_every_request_is_served_in_time(self) -> None:
        result = run_seed(SMALL, 1)
        assert result.tally.share() > 0.95
        assert result.tally.outcomes["chat", "in_time"] > 30

    def test_same_seed_asks_for_the_same(self) -> None:
        first, second = run_seed(SMALL, 2), run_seed(SMALL, 2)
        assert first.tally.owed == second.tally.owed


class TestTroubles:
    """Covers the events of an experiment."""

    @pytest.mark.parametrize(
        "event",
        [
            Event("shift", 1.0, 2.0, 2),
            Event("burst", 1.0, 2.0, request="batch", factor=3.0),
            Event("engine_lost", 2.0),
            Event("engine_added", 1.0, count=2),
            Event("leader_lost", 1.0, 1.5),
        ],
        ids=lambda event: event.kind,
    )
    def test_most_requests_are_still_served(self, event: Event) -> None:
        result = run_seed(attrs.evolve(SMALL, event=[event]), 3)
        assert result.tally.share() > 0.6

    def test_lost_engine_breaks_its_streams(self) -> None:
        lost = attrs.evolve(SMALL, event=[Event("engine_lost", 3.0, count=3)])
        assert run_seed(lost, 1).tally.share() < 0.7


class TestSwitches:
    """Covers mechanisms that are switched off.

    A mechanism that was renamed would be measured as worth nothing.
    """

    @pytest.mark.parametrize("name", sorted(SWITCHES))
    def test_mechanism_exists_and_comes_back(self, name: str) -> None:
        target, attribute, value = SWITCHES[name]
        before = getattr(target, attribute)
        with switch_off([name]):
            assert getattr(target, attribute) is value
        assert getattr(target, attribute) is before
        assert before != value


class TestCommand:
    """Covers ``briardyke-operator emulate``."""

    def test_report_and_plot_are_written(self, tmp_path: Path) -> None:
        file, plot = tmp_path / "e.toml", tmp_path / "plot.svg"
        file.write_text(TEXT)
        result = CliRunner().invoke(
            app, ["emulate", str(file), "--seeds", "2", "--plot", str(plot)]
        )
        assert result.exit_code == 0, result.output
        assert "chat" in result.output and "store loads" in result.output
        assert plot.read_text().startswith("<svg")

    @pytest.mark.parametrize(
        "arguments",
        [["--off", "nothing"], []],
        ids=["unknown mechanism", "unreadable file"],
    )
    def test_wrong_arguments_are_refused(self, tmp_path: Path, arguments: list[str]) -> None:
        file = tmp_path / "e.toml"
        file.write_text(TEXT if arguments else "sizes = 3")
        result = CliRunner().invoke(app, ["emulate", str(file), *arguments])
        assert result.exit_code == ExitCode.SETTINGS_INVALID

    def test_example_can_be_read(self) -> None:
        example = Path(__file__).parents[2] / "examples" / "emulator" / "shift.toml"
        assert [kind.name for kind in read_experiment(example).request] == [
            "draft",
            "summary",
            "batch",
        ]

    def test_report_has_a_line_for_each_kind(self) -> None:
        lines = list(report_lines(SMALL, [run_seed(SMALL, 1)]))
        assert [line.split()[0] for line in lines[:3]] == ["all", "chat", "batch"]
