"""Hold the credits and waiting requests of one account at an entry instance."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs
from result import Result

from briardyke.errors import Failure
from briardyke.quotas.bounds import Allowance
from briardyke.quotas.bucket import RETURN_LIMIT_MS
from briardyke.quotas.messages import ReturnedTokens

# Stands for the term of a leader in charges that no leader has granted.
_EMERGENCY_TERM = -1
# Requests within the lifetime of a credit from which on tokens are wanted in advance. With fewer,
# most of them would expire.
_MIN_REQUESTS = 2
# Amounts below this are differences of rounding.
_NO_TOKENS = 1e-6


@attrs.define
class _Credit:
    tokens: float
    expires_ms: float
    term: int
    granted_at_ms: float


@attrs.frozen
class Charge:
    """Tokens that a request has been charged.

    :param account: name of the account.
    :param credits: the tokens, with the grants that they were taken from.
    """

    account: str
    credits: tuple[_Credit, ...] = ()

    @property
    def tokens(self) -> float:
        """Return their number."""
        return sum(credit.tokens for credit in self.credits)


@attrs.define(eq=False)
class Waiter:
    """A request that has been charged, refused, or waits for one of both.

    :param account: name of its account.
    :param tokens: what it counts.
    :param token_limit_ms: time until which it waits for tokens that the leader has named.
    :param leader_limit_ms: time until which it waits while no leader can be asked, or its buckets
        have not had time to fill.
    :param outcome: its charge or refusal, ``None`` while it waits.
    :param on_decided: called with the outcome.
    """

    account: str
    tokens: float
    token_limit_ms: float
    leader_limit_ms: float
    outcome: Result[Charge, Failure] | None = None
    on_decided: Callable[[], None] | None = None

    def decide(self, outcome: Result[Charge, Failure]) -> None:
        """Set the outcome."""
        self.outcome = outcome
        if self.on_decided is not None:
            self.on_decided()


@attrs.define
class AccountLedger:
    """Credits and waiting requests of one account.

    :param account: name of the account.
    :param allowance: what may be used of its quota.
    :param waiters: waiting requests in the order of their arrival.
    :param blocked_until_ms: time until which the leader has no tokens for this instance.
    :param used_ms: time of the last request.
    :param is_starting: whether the leader's bucket had not had time to fill then.
    """

    account: str
    allowance: Allowance = Allowance(0.0, 0.0, 0.0, 0.0)
    waiters: deque[Waiter] = attrs.field(factory=deque)
    blocked_until_ms: float = float("-inf")
    used_ms: float = float("-inf")
    is_starting: bool = False
    _credits: list[_Credit] = attrs.field(factory=list)
    _returned: list[ReturnedTokens] = attrs.field(factory=list)
    _recent: deque[tuple[float, float]] = attrs.field(factory=deque)
    _emergency: list[_Credit] = attrs.field(factory=list)

    def is_refused(self, waiter: Waiter) -> bool:
        """Return whether the tokens that the leader has named come too late for a request."""
        limit_ms = waiter.leader_limit_ms if self.is_starting else waiter.token_limit_ms
        return self.blocked_until_ms > limit_ms

    def available(self, now_ms: float) -> float:
        """Return the tokens that can be spent now."""
        self._expire(now_ms)
        return sum(credit.tokens for credit in self._credits)

    def add(self, tokens: float, expires_ms: float, term: int, granted_at_ms: float) -> None:
        """Add tokens that a leader has granted."""
        if tokens > 0.0:
            self._credits.append(_Credit(tokens, expires_ms, term, granted_at_ms))

    def spend(self, tokens: float, now_ms: float) -> Charge | None:
        """Charge a request, first to the credits that were granted first; ``None`` if too few."""
        if self.available(now_ms) < tokens - _NO_TOKENS:
            return None
        self._forget_old_use(now_ms)
        if tokens > 0.0:
            self._recent.append((now_ms, tokens))
        spent = []
        for credit in self._credits:
            part = min(tokens, credit.tokens)
            if part > 0.0:
                credit.tokens -= part
                tokens -= part
                spent.append(attrs.evolve(credit, tokens=part))
        self._credits = [credit for credit in self._credits if credit.tokens > 0.0]
        return Charge(self.account, tuple(spent))

    def spend_emergency(
        self, tokens: float, share: float, window_ms: float, now_ms: float
    ) -> Charge | None:
        """Charge a request to what may be used without a leader.

        :param share: largest use in a window.
        :param window_ms: length of the window.
        """
        self._emergency = [c for c in self._emergency if c.granted_at_ms >= now_ms - window_ms]
        if sum(credit.tokens for credit in self._emergency) + tokens > share:
            return None
        credit = _Credit(tokens, now_ms, _EMERGENCY_TERM, now_ms)
        self._emergency.append(credit)
        return Charge(self.account, (credit,))

    def refund(self, charge: Charge, now_ms: float) -> None:
        """Return a charge: to the credits while they have not expired, else to the leader."""
        for credit in charge.credits:
            if credit.term == _EMERGENCY_TERM:
                self._emergency = [c for c in self._emergency if c is not credit]
            elif credit.expires_ms > now_ms:
                self._credits.append(attrs.evolve(credit))
            else:
                self._give_back(credit)

    def needed(self, now_ms: float) -> list[float]:
        """Return what each waiting request lacks beyond the credits."""
        available = self.available(now_ms)
        needed = []
        for waiter in self.waiters:
            lacking = max(0.0, waiter.tokens - available)
            available = max(0.0, available - waiter.tokens)
            if lacking > 0.0:
                needed.append(lacking)
        return needed

    def wanted(self, now_ms: float) -> float:
        """Return the tokens to ask for in advance: as many as were spent in their lifetime."""
        self._forget_old_use(now_ms)
        if len(self._recent) < _MIN_REQUESTS:
            return 0.0
        return max(0.0, sum(tokens for _, tokens in self._recent) - self.available(now_ms))

    def _forget_old_use(self, now_ms: float) -> None:
        since_ms = now_ms - self.allowance.lifetime_ms
        while self._recent and self._recent[0][0] < since_ms:
            self._recent.popleft()

    def take_returned(self) -> list[ReturnedTokens]:
        """Return the tokens to give back to the leader, each once."""
        returned, self._returned = self._returned, []
        return returned

    def _expire(self, now_ms: float) -> None:
        for credit in self._credits:
            if credit.expires_ms <= now_ms:
                self._give_back(credit)
        self._credits = [credit for credit in self._credits if credit.expires_ms > now_ms]

    def _give_back(self, credit: _Credit) -> None:
        """Note tokens for the leader, without those older than its record."""
        limit_ms = credit.granted_at_ms - RETURN_LIMIT_MS
        self._returned = [
            row
            for row in self._returned
            if row.term == credit.term and row.granted_at_ms >= limit_ms
        ]
        self._returned.append(ReturnedTokens(credit.term, credit.granted_at_ms, credit.tokens))
