"""Parse configuration documents strictly and collect all errors."""

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
# Published model names contain slashes; `*` and white space would be ambiguous in limits.
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
# Zero would make the item unusable: nothing to load, no share of capacity, or no load started.
_POSITIVE_FIELDS = frozenset(
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
    """Hold the result of parsing.

    :param configuration: all items without errors.
    :param reasons: errors, each starting with the path of its field.
    :param invalid_paths: paths of items with errors, such as ``models.m1``.
    """

    configuration: Configuration
    reasons: tuple[str, ...]
    invalid_paths: frozenset[str]


def parse_configuration(document: Any) -> Parsed:
    """Parse a configuration document.

    :param document: JSON value.
    :return: the valid items and all errors.
    """
    reasons: list[str] = []
    invalid_paths: set[str] = set()
    if not isinstance(document, dict):
        return Parsed(Configuration(), ("document: expected an object",), frozenset())
    values: dict[str, Any] = {}
    for key in sorted(document):
        if key in _TABLES:
            values[key] = _parse_table(key, document[key], reasons, invalid_paths)
        elif key in _SECTIONS:
            section = _parse_item(_SECTIONS[key], key, document[key], reasons)
            if section is not None:
                values[key] = section
        else:
            reasons.append(f"{_shorten(key)}: unknown key")
    return Parsed(Configuration(**values), tuple(reasons), frozenset(invalid_paths))


def _parse_table(
    key: str, table: Any, reasons: list[str], invalid_paths: set[str]
) -> dict[str, Any]:
    if not isinstance(table, dict):
        reasons.append(f"{key}: expected an object")
        return {}
    items: dict[str, Any] = {}
    for name in sorted(table):
        path = f"{key}.{_shorten(name)}"
        if _NAME.fullmatch(name) is None or (key == "services" and "/" in name):
            reasons.append(f"{path}: not a valid name")
            invalid_paths.add(path)
            continue
        item = _parse_item(_TABLES[key], path, table[name], reasons)
        if item is None:
            invalid_paths.add(path)
        else:
            items[name] = item
    return items


def _parse_item(item_class: type[T], path: str, value: Any, reasons: list[str]) -> T | None:
    if not isinstance(value, dict):
        reasons.append(f"{path}: expected an object")
        return None
    reasons_before = len(reasons)
    fields = {field.name: field for field in attrs.fields(item_class)}  # type: ignore[arg-type]
    reasons += [f"{path}.{_shorten(k)}: unknown key" for k in sorted(set(value) - set(fields))]
    values: dict[str, Any] = {}
    for name, field in fields.items():
        if name in value:
            parsed = _parse_value(str(field.type), name, value[name])
            if isinstance(parsed, _InvalidValue):
                reasons.append(f"{path}.{name}: {parsed.message}")
            else:
                values[name] = parsed
        elif field.default is attrs.NOTHING:
            reasons.append(f"{path}.{name}: is required")
    return item_class(**values) if len(reasons) == reasons_before else None


@attrs.frozen
class _InvalidValue:
    message: str


def _parse_value(annotation: str, name: str, value: Any) -> Any:
    type_name = annotation.removesuffix(" | None")
    if type_name == "str":
        return _parse_string(name, value)
    if type_name == "int":
        return _parse_integer(name, value)
    if type_name == "float":
        return _parse_number(name, value)
    return _parse_strings(name, value)


def _parse_string(name: str, value: Any) -> Any:
    if not isinstance(value, str) or not value:
        return _InvalidValue("expected a non-empty string")
    if name == "api_key_sha256" and _SHA256.fullmatch(value) is None:
        return _InvalidValue("expected 64 lower-case hexadecimal digits")
    return value


def _parse_integer(name: str, value: Any) -> Any:
    if not isinstance(value, int) or isinstance(value, bool):
        return _InvalidValue("expected an integer")
    return _check_range(name, value)


def _parse_number(name: str, value: Any) -> Any:
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        return _InvalidValue("expected a number")
    if not math.isfinite(value):
        return _InvalidValue("must be finite")
    checked = _check_range(name, value)
    return checked if isinstance(checked, _InvalidValue) else float(checked)


def _check_range(name: str, value: float) -> Any:
    if value < 0:
        return _InvalidValue("must not be negative")
    if value == 0 and name in _POSITIVE_FIELDS:
        return _InvalidValue("must be greater than 0")
    return _InvalidValue("is too large") if value > MAX_INTEGER else value


def _parse_strings(name: str, value: Any) -> Any:
    if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
        return _InvalidValue("expected a list of non-empty strings")
    if name == "instances" and not value:
        return _InvalidValue("expected at least one pattern")
    if name == "non_idempotent_paths" and not all(v.startswith("/") for v in value):
        return _InvalidValue("expected paths that begin with /")
    return tuple(value)


def _shorten(name: str) -> str:
    return name if len(name) <= 128 else name[:125] + "..."
