"""Check that settings are read, checked and reported together."""

from __future__ import annotations

import attrs
import pytest
import typer
from typer.testing import CliRunner

from briardyke.addresses import Address, parse_address
from briardyke.exit_codes import ExitCode
from briardyke.settings import as_command, load_settings, parse_members, setting


@attrs.frozen
class _Settings:
    """Run an example."""

    name: str = setting("Name of the example.")
    listen: Address = setting("Where to listen.", parse=parse_address)
    wait_ms: int = setting("Wait.", default="5", parse=int, unit="ms", minimum=1, maximum=10)
    ratio: float = setting("Ratio.", default="1", parse=float, minimum=0)


class TestLoadSettings:
    """Guards against a start that reports only its first error or accepts values out of range."""

    def test_all_errors_are_reported_at_once(self) -> None:
        failures = load_settings(_Settings, {"listen": "localhost:1", "wait_ms": "11"}).unwrap_err()
        assert [failure.field for failure in failures] == ["name", "listen", "wait_ms"]

    @pytest.mark.parametrize(
        ("field", "text"),
        [("name", ""), ("wait_ms", "nan"), ("wait_ms", "0"), ("ratio", "nan"), ("ratio", "inf")],
    )
    def test_empty_and_not_finite_values_are_refused(self, field: str, text: str) -> None:
        given = {"name": "a", "listen": "127.0.0.1:1", field: text}
        assert [f.field for f in load_settings(_Settings, given).unwrap_err()] == [field]

    def test_defaults_apply_to_absent_values(self) -> None:
        settings = load_settings(_Settings, {"name": "a", "listen": "127.0.0.1:80"}).unwrap()
        assert settings == _Settings("a", Address("127.0.0.1", 80), 5, 1.0)

    @pytest.mark.parametrize("text", ["", "1.2.3.4", "host:80", "1.2.3.4:65536", "1.2.3.4:-1"])
    def test_bad_addresses_are_refused(self, text: str) -> None:
        with pytest.raises(ValueError):
            parse_address(text)

    def test_ipv6_address_keeps_its_form(self) -> None:
        assert str(parse_address("[::1]:80")) == "[::1]:80"

    @pytest.mark.parametrize("text", ["a", "=1.2.3.4:5", "a=1.2.3.4:5,a=1.2.3.4:6"])
    def test_bad_members_are_refused(self, text: str) -> None:
        with pytest.raises(ValueError):
            parse_members(text)


class TestCommand:
    """Guards against flags or environment variables that are ignored, and wrong exit codes."""

    def _invoke(self, *flags: str, **environment: str) -> tuple[int, str, list[_Settings]]:
        seen: list[_Settings] = []
        app = typer.Typer(rich_markup_mode=None)
        app.command()(as_command(_Settings, lambda s: seen.append(s) or ExitCode.OK))
        result = CliRunner().invoke(app, list(flags), env=environment)
        return result.exit_code, result.output, seen

    def test_flag_goes_before_environment(self) -> None:
        code, _, seen = self._invoke(
            "--name", "flag", BRIARDYKE_NAME="env", BRIARDYKE_LISTEN="127.0.0.1:1"
        )
        assert (code, seen[0].name, seen[0].listen.port) == (ExitCode.OK, "flag", 1)

    def test_invalid_settings_exit_with_their_code_and_all_errors(self) -> None:
        code, output, seen = self._invoke("--wait-ms", "x")
        assert (code, seen) == (ExitCode.SETTINGS_INVALID, [])
        assert all(flag in output for flag in ("--name", "--listen", "--wait-ms"))

    def test_help_names_unit_range_default_and_variable(self) -> None:
        _, output, _ = self._invoke("--help")
        words = " ".join(output.split())
        for expected in ("Unit: ms.", "Range: 1 to 10.", "[default: 5]", "BRIARDYKE_WAIT_MS"):
            assert expected in words
