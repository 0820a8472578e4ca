"""Read what an upstream says of itself to the platform's registration calls."""

from __future__ import annotations

from typing import Any

from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.fleet.records import DRAINING, READY, LoadedModel, Upstream, is_valid_upstream
from briardyke.platform.fields import MAX_WHOLE, read_text
from briardyke.strict_json import parse_json

# The platform's words for the two states; any other names no upstream to use.
_STATES = {"ready": READY, "draining": DRAINING}
_MAX_SLOTS = 1_000_000
# Reading one takes the event loop for milliseconds; a thousand names take 16 KB.
_MAX_BYTES = 256 * 1024


def decode_announcement(upstream_id: str, body: bytes) -> Result[Upstream, Failure]:
    """Read one announcement.

    :param upstream_id: id in the path of the call.
    :return: ``field_invalid`` when it names no upstream that can be used.
    """
    if len(body) > _MAX_BYTES:
        text = f"the announcement has {len(body)} bytes"
        return Err(Failure(ErrorKind.FIELD_INVALID, text))
    try:
        row = _upstream(upstream_id, parse_json(body))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        text = f"cannot read the announcement: {type(error).__name__}: {error}"
        return Err(Failure(ErrorKind.FIELD_INVALID, text))
    if not is_valid_upstream(row):
        return Err(Failure(ErrorKind.FIELD_INVALID, "no usable address or service"))
    return Ok(row)


def _upstream(upstream_id: str, value: dict[str, Any]) -> Upstream:
    copies = value.get("at_hand") or {}
    return Upstream(
        upstream_id=upstream_id,
        # The page's "born" is the start of the process, the same in every announcement of it.
        incarnation=_whole(value["born"]),
        sequence=_whole(value["sequence"]),
        service=read_text(value["service"]),
        address=read_text(value["address"]),
        data_centre=read_text(value["zone"]),
        lifecycle=_STATES[value["state"]],
        slots=max(1, _whole(value.get("slots", 1), _MAX_SLOTS)),
        models=[_held(row) for row in value.get("models") or ()],
        at_hand=sorted(
            {_name(row) for key in ("in_memory", "on_disk") for row in copies.get(key) or ()}
        ),
        leaves_in_ms=_duration_ms(value.get("remaining_ms") or 0.0),
        software_version=read_text(value["version"]),
    )


def _held(row: dict[str, Any]) -> LoadedModel:
    return LoadedModel(
        read_text(row["name"]), [_name(adapter) for adapter in row.get("adapters") or ()]
    )


def _name(value: Any) -> str:
    """Return the name in an entry that is a name or an object with one."""
    return read_text(value["name"] if isinstance(value, dict) else value)


def _whole(value: Any, maximum: int = MAX_WHOLE) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise ValueError(f"expected a whole number up to {maximum}, got {value!r}")
    return value


def _duration_ms(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_WHOLE:
        raise ValueError(f"expected a duration, got {value!r}")
    return float(value)
