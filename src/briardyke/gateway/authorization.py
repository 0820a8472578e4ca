"""Decide whether a request may run, from its API key and the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.accounts.types import AccountQuota
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from briardyke.accounts.types import ClientAccount
    from briardyke.routes.configuration import Route
    from briardyke.routes.matching import RouteTable


@attrs.frozen
class Identity:
    """Who sends a request.

    :param account: name of the account, empty for an anonymous caller; ``None`` without client
        accounts, when what the caller says of itself is passed on.
    :param priority: class of the request from the priorities of its account and its route,
        ``None`` for that of the route.
    :param quota: limit on what the account may run.
    """

    account: str | None = None
    priority: int | None = None
    quota: AccountQuota = AccountQuota()


_UNRESTRICTED = Identity()
_ANONYMOUS = Identity("")


def refusal_event(failure: Failure, key_digest: bytes | None) -> str:
    """Return the name under which a rejection is counted."""
    if failure.kind is ErrorKind.VERSION_UNCONFIRMED:
        return "authorization_unproven"
    return "authorization_no_key" if key_digest is None else "authorization_unknown_key"


def authorize(
    routes: RouteTable, route: Route, key_digest: bytes | None, *, is_proven: bool
) -> Result[Identity, Failure]:
    """Return who sends a request, or the reason to reject it.

    Load: clients that nobody controls send keys of any form to any route, and go on to send a key
    after it has leaked and was revoked, to instances that are cut off from the control instances.

    :param routes: the configuration in force.
    :param route: route of the request.
    :param key_digest: digest of its key, or ``None`` without a well-formed key.
    :param is_proven: whether no key of the configuration can have been revoked too long ago.
    :return: ``unauthenticated``, or ``version_unconfirmed`` for a known key without the proof.
    """
    if not routes.configuration.accounts:
        return Ok(_UNRESTRICTED)
    account = routes.keys.find(key_digest) if key_digest is not None else None
    return authorize_account(
        routes, route, account, is_proven=is_proven, has_key=key_digest is not None
    )


def authorize_account(
    routes: RouteTable,
    route: Route,
    account: ClientAccount | None,
    *,
    is_proven: bool,
    has_key: bool,
) -> Result[Identity, Failure]:
    """Return who sends a request whose account is known, or the reason to reject it.

    :param account: owner of its key, ``None`` without one.
    :param has_key: whether it has a well-formed key.
    """
    if not routes.configuration.accounts:
        return Ok(_UNRESTRICTED)
    if account is not None and is_proven:
        priority = routes.ranks.priority_class(account.priority, route.priority)
        return Ok(Identity(account.name, priority, account.quota))
    if route.is_public:
        return Ok(_ANONYMOUS)
    if account is not None:
        text = "it is not proven that no key has been revoked"
        return Err(Failure(ErrorKind.VERSION_UNCONFIRMED, text))
    text = "no client account has this API key" if has_key else "no well-formed API key"
    return Err(Failure(ErrorKind.UNAUTHENTICATED, text, "authorization"))
