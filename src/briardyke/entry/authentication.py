"""Authenticate the caller of a request."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.agreed.configuration import Caller

ANONYMOUS = "anonymous"
_SCHEME = "Bearer "


def authenticate(headers: Mapping[str, str], callers: Mapping[str, Caller]) -> Result[str, Failure]:
    """Return the name of the caller that owns the request's API key.

    :param headers: request headers by lower-case name.
    :param callers: callers of the configuration; without any, everyone is anonymous.
    :return: the caller's name, or a failure of kind ``unauthenticated``.
    """
    if not callers:
        return Ok(ANONYMOUS)
    value = headers.get("authorization", "")
    digest = hashlib.sha256(value.removeprefix(_SCHEME).encode()).hexdigest()
    if value.startswith(_SCHEME):
        for name, caller in callers.items():
            if hmac.compare_digest(digest, caller.api_key_sha256.lower()):
                return Ok(name)
    text = "no caller has this API key"
    return Err(Failure(ErrorKind.UNAUTHENTICATED, text, "authorization"))
