"""Read fields that the platform's documents have in common."""

from __future__ import annotations

from typing import Any

# The largest whole number that every writer of JSON represents exactly.
MAX_WHOLE = 2**53


def read_text(value: Any) -> str:
    """Return a text that is not empty.

    :raises ValueError: when the value is anything else.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected text, got {value!r}")
    return value
