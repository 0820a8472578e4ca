"""Create identifiers for requests, attempts and storage."""

from __future__ import annotations

import secrets

_ID_BYTES = 12


def new_id(prefix: str) -> str:
    """Return a random identifier.

    :param prefix: short name of the kind of thing identified, such as ``att``.
    :return: the prefix, a hyphen and 96 random bits in hexadecimal.
    """
    return f"{prefix}-{secrets.token_hex(_ID_BYTES)}"
