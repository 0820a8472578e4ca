"""Declare the interfaces of routing, the retry budget and claims that the relay uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from briardyke.addresses import Address
    from briardyke.errors import Failure
    from briardyke.policy.types import AttemptOutcome, RouteRequest
    from briardyke.wire.messages import ClaimEnd, ClaimReply, ClaimRequest


class RelayRoutingTable(Protocol):
    """Select upstreams and record the results of attempts; see policy/routing.py."""

    def choose(self, request: RouteRequest, now_ms: float) -> Result[str, Failure]:
        """Return the upstream for an attempt, or ``model_loading`` or ``no_upstream``."""

    def begin(
        self, attempt_id: str, upstream_id: str, request: RouteRequest, now_ms: float
    ) -> None:
        """Record that an attempt starts."""

    def first_token(self, attempt_id: str, now_ms: float) -> None:
        """Record that an attempt's first token arrived."""

    def finish(self, attempt_id: str, outcome: AttemptOutcome, tokens: int, now_ms: float) -> None:
        """Record how an attempt ended and how many tokens it delivered."""

    def address(self, upstream_id: str) -> Address:
        """Return where an upstream listens."""


class RelayRetryBudget(Protocol):
    """Limit retries; see policy/retries.py."""

    def record_request(self, now_ms: float) -> None:
        """Count a request, which adds a fraction of a retry to the budget."""

    def try_spend(self, now_ms: float) -> bool:
        """Take one retry from the budget; return whether one was available."""


class RelayClaimClient(Protocol):
    """Claim the right to run non-idempotent requests; see claims/."""

    async def claim(self, request: ClaimRequest, timeout_ms: float) -> Result[ClaimReply, Failure]:
        """Claim a key.

        :param request: the claim.
        :param timeout_ms: longest wait, in milliseconds.
        :return: the state of the claim, or a failure when it was not confirmed.
        """

    async def end(self, request: ClaimEnd, timeout_ms: float) -> Result[ClaimReply, Failure]:
        """Record how a claimed request ended; parameters as for :meth:`claim`."""
