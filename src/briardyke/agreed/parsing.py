"""Parse the configuration document strictly and collect every error."""

from __future__ import annotations

import math
import re
from typing import Any, TypeVar

import attrs

from briardyke.agreed.configuration import (
    Adapter,
    Caller,
    Configuration,
    Limit,
    Model,
    PlacementSettings,
    Service,
    Targets,
)

MAX_INTEGER = 2**63 - 1
# A slash occurs in published model names; `*` and white space would be ambiguous in limits.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,127}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_TABLES: dict[str, type[Any]] = {
    "models": Model,
    "adapters": Adapter,
    "services": Service,
    "callers": Caller,
    "limits": Limit,
}
_SECTIONS: dict[str, type[Any]] = {"placement": PlacementSettings, "targets": Targets}
# Zero would make the item unusable: nothing to load, no share, no load ever started.
_POSITIVE = frozenset(
    {
        "size_bytes",
        "weight",
        "store_loads_per_second",
        "store_concurrent_loads",
        "adapters_in_transit",
        "first_token_ms",
        "between_tokens_ms",
    }
)
T = TypeVar("T")


@attrs.frozen
class Parsed:
    """Carry the result of parsing.

    :param configuration: every item that was read without error.
    :param reasons: errors, each beginning with the path of its field.
    :param broken: paths of items that have errors, such as ``models.m1``.
    """

    configuration: Configuration
    reasons: tuple[str, ...]
    broken: frozenset[str]


def parse_configuration(document: Any) -> Parsed:
    """Parse a configuration document.

    :param document: JSON value.
    :return: the items that could be read and all errors.
    """
    reasons: list[str] = []
    broken: set[str] = set()
    if not isinstance(document, dict):
        return Parsed(Configuration(), ("document: expected an object",), frozenset())
    values: dict[str, Any] = {}
    for key in sorted(document):
        if key in _TABLES:
            values[key] = _parse_table(key, document[key], reasons, broken)
        elif key in _SECTIONS:
            section = _parse_item(_SECTIONS[key], key, document[key], reasons)
            if section is not None:
                values[key] = section
        else:
            reasons.append(f"{_shorten(key)}: unknown key")
    return Parsed(Configuration(**values), tuple(reasons), frozenset(broken))


def _parse_table(key: str, table: Any, reasons: list[str], broken: set[str]) -> dict[str, Any]:
    if not isinstance(table, dict):
        reasons.append(f"{key}: expected an object")
        return {}
    items: dict[str, Any] = {}
    for name in sorted(table):
        path = f"{key}.{_shorten(name)}"
        if _NAME.fullmatch(name) is None or (key == "services" and "/" in name):
            reasons.append(f"{path}: not a valid name")
            broken.add(path)
            continue
        item = _parse_item(_TABLES[key], path, table[name], reasons)
        if item is None:
            broken.add(path)
        else:
            items[name] = item
    return items


def _parse_item(cls: type[T], path: str, value: Any, reasons: list[str]) -> T | None:
    if not isinstance(value, dict):
        reasons.append(f"{path}: expected an object")
        return None
    count = len(reasons)
    fields = {field.name: field for field in attrs.fields(cls)}  # type: ignore[arg-type]
    reasons += [f"{path}.{_shorten(k)}: unknown key" for k in sorted(set(value) - set(fields))]
    values: dict[str, Any] = {}
    for name, field in fields.items():
        if name in value:
            parsed = _parse_value(str(field.type), name, value[name])
            if isinstance(parsed, _Problem):
                reasons.append(f"{path}.{name}: {parsed.text}")
            else:
                values[name] = parsed
        elif field.default is attrs.NOTHING:
            reasons.append(f"{path}.{name}: is required")
    return cls(**values) if len(reasons) == count else None


@attrs.frozen
class _Problem:
    text: str


def _parse_value(annotation: str, name: str, value: Any) -> Any:
    expected = annotation.removesuffix(" | None")
    if expected == "str":
        return _parse_text(name, value)
    if expected == "int":
        return _parse_integer(name, value)
    if expected == "float":
        return _parse_number(name, value)
    return _parse_texts(name, value)


def _parse_text(name: str, value: Any) -> Any:
    if not isinstance(value, str) or not value:
        return _Problem("expected a non-empty string")
    if name == "api_key_sha256" and _SHA256.fullmatch(value) is None:
        return _Problem("expected 64 lower-case hexadecimal digits")
    return value


def _parse_integer(name: str, value: Any) -> Any:
    if not isinstance(value, int) or isinstance(value, bool):
        return _Problem("expected an integer")
    return _check_range(name, value)


def _parse_number(name: str, value: Any) -> Any:
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        return _Problem("expected a number")
    if not math.isfinite(value):
        return _Problem("must be finite")
    checked = _check_range(name, value)
    return checked if isinstance(checked, _Problem) else float(checked)


def _check_range(name: str, value: float) -> Any:
    if value < 0:
        return _Problem("must not be negative")
    if value == 0 and name in _POSITIVE:
        return _Problem("must be greater than 0")
    return _Problem("is too large") if value > MAX_INTEGER else value


def _parse_texts(name: str, value: Any) -> Any:
    if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
        return _Problem("expected a list of non-empty strings")
    if name == "instances" and not value:
        return _Problem("expected at least one pattern")
    if name == "non_idempotent_paths" and not all(v.startswith("/") for v in value):
        return _Problem("expected paths that begin with /")
    return tuple(value)


def _shorten(name: str) -> str:
    return name if len(name) <= 128 else name[:125] + "..."
