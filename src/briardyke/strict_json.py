"""Read JSON that another program wrote."""

from __future__ import annotations

import json
from typing import Any, NoReturn

import msgpack


def parse_json(body: bytes) -> Any:
    """Return the value of a JSON document that can be passed on in messages.

    Valid JSON may hold what has no msgpack form: numbers beyond 64 bits, lone surrogates, deep
    nesting. A process that stored it could send none of its messages afterwards. Of a name that
    comes twice in an object, readers keep different values.

    :raises ValueError: when the document cannot be read as UTF-8, holds a number that is not finite
        or a name twice in an object, or cannot be passed on.
    """
    try:
        value = json.loads(
            body.decode("utf-8"),
            object_pairs_hook=reject_duplicate_names,
            parse_constant=_reject_constant,
            parse_float=_finite,
        )
        msgpack.packb(value)
    except (RecursionError, OverflowError) as error:
        raise ValueError(f"the document cannot be passed on: {error}") from None
    return value


def reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object of a JSON document.

    :raises ValueError: when a name comes twice.
    """
    value = dict(pairs)
    if len(value) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"duplicate name {duplicate!r} in an object")
    return value


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a number")


def _finite(text: str) -> float:
    value = float(text)
    if value in (float("inf"), float("-inf")):
        raise ValueError(f"{text} is out of range")
    return value
