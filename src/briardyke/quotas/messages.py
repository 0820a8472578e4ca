"""Define the messages between entry instances and the leader about quotas."""

from __future__ import annotations

import attrs

from briardyke.wire.codec import message

# Tokens of a later reply would have expired, which live no longer than this when the rate is high.
QUOTA_TIMEOUT_MS = 250.0


@attrs.frozen
class ReturnedTokens:
    """Granted tokens that no request has used, and none will.

    :param term: term of the leader that granted them.
    :param granted_at_ms: time at which it granted them, as it stated.
    :param tokens: their number.
    """

    term: int
    granted_at_ms: float
    tokens: float


@attrs.frozen
class AccountDemand:
    """What the requests of one account need at one entry instance.

    :param account: name of the account.
    :param needed: tokens that each waiting request lacks, in the order of their arrival.
    :param wanted: tokens for requests that are expected soon.
    :param returned: unused tokens.
    """

    account: str
    needed: list[float]
    wanted: float = 0.0
    returned: list[ReturnedTokens] = attrs.field(factory=list)


@message
@attrs.frozen
class QuotaRequest:
    """Request to the leader for tokens; the reply is a :class:`QuotaReply`.

    :param instance_id: the sender.
    :param demands: demand by account.
    """

    instance_id: str
    demands: list[AccountDemand]


@attrs.frozen
class AccountGrant:
    """Tokens for one account at one entry instance.

    :param account: name of the account.
    :param tokens: tokens granted.
    :param lifetime_ms: time from the sending of the request for which they may be used.
    :param wait_ms: time until the tokens of the first request without a grant are available, 0
        when all were granted.
    """

    account: str
    tokens: float
    lifetime_ms: float
    wait_ms: float = 0.0


@message
@attrs.frozen
class QuotaReply:
    """Reply to a :class:`QuotaRequest`.

    :param term: term that the sender leads, 0 when it does not lead.
    :param granted_at_ms: time of the grants on the sender's clock.
    :param grants: grants by account, without the accounts that the sender does not know.
    """

    term: int
    granted_at_ms: float = 0.0
    grants: list[AccountGrant] = attrs.field(factory=list)
