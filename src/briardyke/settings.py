"""Declare settings once as attrs fields; read them from flags and environment variables."""

from __future__ import annotations

import inspect
import math
from collections.abc import Callable, Mapping
from typing import Annotated, Any, TypeVar

import attrs
import typer
from result import Err, Ok, Result

from briardyke.addresses import Address, parse_address
from briardyke.errors import ErrorKind, Failure
from briardyke.exit_codes import ExitCode

ENVIRONMENT_PREFIX = "BRIARDYKE_"
_METADATA_KEY = "setting"
T = TypeVar("T")


@attrs.frozen
class _Setting:
    parse: Callable[[str], Any]
    help: str
    unit: str
    minimum: float | None
    maximum: float | None
    default: str | None

    @property
    def required(self) -> bool:
        """Return whether a value must be given."""
        return self.default is None


def setting(
    help: str,
    *,
    default: str | None = None,
    parse: Callable[[str], Any] = str,
    unit: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
) -> Any:
    """Declare a setting as an attrs field.

    :param help: one sentence for ``--help`` and the settings reference.
    :param default: default in its textual form; ``None`` makes the setting required.
    :param parse: turns text into the value; raises :class:`ValueError` on bad input.
    :param unit: unit of the value, such as ``ms``.
    :param minimum: smallest accepted number.
    :param maximum: largest accepted number.
    :return: the attrs field.
    """
    declared = _Setting(parse, help, unit, minimum, maximum, default)
    return attrs.field(metadata={_METADATA_KEY: declared})


def parse_optional_address(text: str) -> Address | None:
    """Parse ``ip:port``; empty text gives ``None``."""
    return parse_address(text) if text else None


def parse_words(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of words."""
    return tuple(part.strip() for part in text.split(",") if part.strip())


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of ``ip:port``."""
    return tuple(parse_address(part.strip()) for part in text.split(",") if part.strip())


def parse_members(text: str) -> dict[str, Address]:
    """Parse ``id=ip:port,...`` into addresses by id.

    :raises ValueError: when an item has no id or an id stands twice.
    """
    members: dict[str, Address] = {}
    for part in filter(None, (p.strip() for p in text.split(","))):
        member_id, separator, address = part.partition("=")
        if not separator or not member_id or member_id in members:
            raise ValueError("expected <id>=<ip>:<port>,... with distinct ids")
        members[member_id] = parse_address(address)
    return members


def parse_boolean(text: str) -> bool:
    """Parse ``true`` or ``false``.

    :raises ValueError: on any other text.
    """
    if text not in ("true", "false"):
        raise ValueError("expected true or false")
    return text == "true"


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"expected one of {', '.join(choices)}")
        return text

    return parse


def load_settings(cls: type[T], given: Mapping[str, str | None]) -> Result[T, list[Failure]]:
    """Build settings from text and report every error at once.

    :param cls: attrs class whose fields were declared with :func:`setting`.
    :param given: textual value by field name; ``None`` or absent selects the default.
    :return: the settings, or one failure for each bad field.
    """
    values: dict[str, Any] = {}
    failures: list[Failure] = []
    for field in attrs.fields(cls):  # type: ignore[arg-type]
        declared: _Setting = field.metadata[_METADATA_KEY]
        text = given.get(field.name)
        text = declared.default if text is None else text
        try:
            values[field.name] = _parse(declared, text)
        except ValueError as error:
            message = f"{_flag(field.name)}: {error} (got {text!r})"
            failures.append(Failure(ErrorKind.SETTINGS_INVALID, message, field.name))
    if failures:
        return Err(failures)
    return Ok(cls(**values))


def settings_command(cls: type[T], name: str, run: Callable[[T], int]) -> Callable[[], None]:
    """Return a console entry point that reads settings and calls ``run``.

    :param cls: settings class.
    :param name: name of the binary, shown in ``--help``.
    :param run: takes the settings and returns the exit code.
    :return: a function without parameters, for ``[project.scripts]``.
    """
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None)
    app.command(name=name, help=(cls.__doc__ or "").strip().splitlines()[0])(as_command(cls, run))
    return app


def as_command(cls: type[T], run: Callable[[T], int]) -> Callable[..., None]:
    """Return a function that typer turns into a command with one option per setting."""

    def command(**given: str | None) -> None:
        match load_settings(cls, given):
            case Err(failures):
                for failure in failures:
                    typer.echo(f"error: {failure.message}", err=True)
                raise typer.Exit(ExitCode.SETTINGS_INVALID)
            case Ok(settings):
                raise typer.Exit(run(settings))

    parameters = [_parameter(field) for field in attrs.fields(cls)]  # type: ignore[arg-type]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {p.name: p.annotation for p in parameters}
    command.__doc__ = cls.__doc__
    return command


def _parameter(field: attrs.Attribute[Any]) -> inspect.Parameter:
    declared: _Setting = field.metadata[_METADATA_KEY]
    option = typer.Option(
        _flag(field.name), envvar=ENVIRONMENT_PREFIX + field.name.upper(), help=_help(declared)
    )
    return inspect.Parameter(
        field.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def _help(declared: _Setting) -> str:
    parts = [declared.help]
    if declared.unit:
        parts.append(f"Unit: {declared.unit}.")
    if declared.minimum is not None or declared.maximum is not None:
        parts.append(f"Range: {declared.minimum} to {declared.maximum}.")
    shown = "required" if declared.default is None else f"default: {declared.default or 'empty'}"
    return " ".join([*parts, f"[{shown}]"])


def _parse(declared: _Setting, text: str | None) -> Any:
    if text is None:
        raise ValueError("is required")
    value = declared.parse(text)
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError("must be a finite number")
    if declared.required and not value:
        raise ValueError("must not be empty")
    if declared.minimum is not None and value < declared.minimum:
        raise ValueError(f"must be at least {declared.minimum}")
    if declared.maximum is not None and value > declared.maximum:
        raise ValueError(f"must be at most {declared.maximum}")
    return value


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")
