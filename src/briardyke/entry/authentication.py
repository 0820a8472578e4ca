"""Authenticate the caller of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.accounts.key_table import KeyTable
from briardyke.accounts.types import ClientAccount, key_digest
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.agreed.configuration import Caller

ANONYMOUS = "anonymous"
_SCHEME = "Bearer "


def caller_keys(callers: Mapping[str, Caller]) -> KeyTable:
    """Return the table that finds the callers of a configuration by their keys."""
    return KeyTable(
        ClientAccount(name, (bytes.fromhex(caller.api_key_sha256),))
        for name, caller in callers.items()
    )


def authenticate(headers: Mapping[str, str], keys: KeyTable) -> Result[str, Failure]:
    """Return the name of the caller that owns the request's API key.

    :param headers: request headers by lower-case name.
    :param keys: keys of the configuration's callers; without any, everyone is anonymous.
    :return: the caller's name, or a failure of kind ``unauthenticated``.
    """
    if not keys:
        return Ok(ANONYMOUS)
    value = headers.get("authorization", "")
    account = keys.find(key_digest(value.removeprefix(_SCHEME).encode()))
    if account is not None and value.startswith(_SCHEME):
        return Ok(account.name)
    text = "no caller has this API key"
    return Err(Failure(ErrorKind.UNAUTHENTICATED, text, "authorization"))
