"""Read the announcements that upstreams send over HTTP."""

from __future__ import annotations

from typing import Any

import attrs
from result import Err, Ok, Result

from briardyke.addresses import parse_address
from briardyke.errors import ErrorKind, Failure
from briardyke.strict_json import parse_json
from briardyke.wire.codec import structure
from briardyke.wire.messages import UpstreamRow

_KINDS = frozenset({"engine", "service"})
_LIFECYCLES = frozenset({"ready", "leaving"})


def parse_announcement(body: bytes, age_ms: float) -> Result[UpstreamRow, Failure]:
    """Read an announcement.

    :param body: JSON object with the fields of an upstream row.
    :param age_ms: largest possible age of the announcement, in milliseconds.
    :return: the row, or a failure that names the field.
    """
    try:
        value = parse_json(body)
    except ValueError:
        return _invalid("announcement is not valid JSON", "body", ErrorKind.MALFORMED_REQUEST)
    if not isinstance(value, dict):
        return _invalid("announcement is not a JSON object", "body", ErrorKind.MALFORMED_REQUEST)
    missing = [f.name for f in _required() if f.name not in value]
    if missing:
        return _invalid(f"announcement has no field {missing[0]}", missing[0])
    try:
        row = structure({**value, "age_ms": age_ms}, UpstreamRow)
    except Exception as error:  # cattrs raises exception groups of many types
        return _invalid(f"announcement has an invalid field: {type(error).__name__}", "body")
    return _check(row)


def _required() -> list[attrs.Attribute[Any]]:
    return [f for f in attrs.fields(UpstreamRow) if f.default is attrs.NOTHING]


def _check(row: UpstreamRow) -> Result[UpstreamRow, Failure]:
    if not row.upstream_id or not row.incarnation:
        return _invalid("upstream_id and incarnation must not be empty", "upstream_id")
    if row.kind not in _KINDS:
        return _invalid("kind is neither engine nor service", "kind")
    if row.lifecycle not in _LIFECYCLES:
        return _invalid("lifecycle is neither ready nor leaving", "lifecycle")
    if row.capacity_bytes < 0 or row.sequence < 0:
        return _invalid("numbers must not be negative", "capacity_bytes")
    try:
        parse_address(row.address)
    except ValueError as error:
        return _invalid(f"address: {error}", "address")
    return Ok(row)


def _invalid(
    text: str, field: str, kind: ErrorKind = ErrorKind.FIELD_INVALID
) -> Result[UpstreamRow, Failure]:
    return Err(Failure(kind, text, field))
