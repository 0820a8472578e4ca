"""Limit and delay the attempts of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms, sleep_ms

if TYPE_CHECKING:
    from briardyke.entry.interfaces import RelayRetryBudget
    from briardyke.entry.relay_jobs import RelayPolicy


class RetryController:
    """Decide whether and when a request makes its next attempt.

    Attempts that may have run are limited in number. Attempts that cannot have run, such as refused
    connections to an engine that has failed, are repeated with exponential delays until the
    deadline, because placement loads the model on another engine in the meantime.
    """

    def __init__(self, budget: RelayRetryBudget, policy: RelayPolicy) -> None:
        """Set up the controller before the first attempt.

        :param budget: limits the retries of all requests together.
        :param policy: limits and delays.
        """
        self._budget = budget
        self._policy = policy
        self._started = False
        self._attempts_that_may_have_run = 0
        self._resumed = False
        self._last_may_have_run = False
        self._delay_ms = 0.0
        self._is_reserved = False

    def record_failure(self, *, may_have_run: bool) -> None:
        """Record that an attempt failed."""
        self._last_may_have_run = may_have_run
        if may_have_run:
            self._attempts_that_may_have_run += 1
            self._delay_ms = 0.0
        else:
            doubled = max(self._policy.retry_delay_ms, self._delay_ms * 2.0)
            self._delay_ms = min(self._policy.max_retry_delay_ms, doubled)

    def reserve(self, *, resumes: bool) -> bool:
        """Take what the next attempt needs now; return whether it may start.

        :param resumes: whether tokens have been delivered already.
        """
        if self._is_reserved or self._attempts_that_may_have_run + 1 >= self._policy.attempt_limit:
            return self._is_reserved
        self._is_reserved = self._take_free_resumption(resumes=resumes) or self._budget.try_spend(
            now_ms()
        )
        return self._is_reserved

    def _take_free_resumption(self, *, resumes: bool) -> bool:
        if not resumes or self._resumed:
            return False
        self._resumed = True
        return True

    async def wait_to_start(self, *, resumes: bool, deadline_ms: float) -> bool:
        """Wait until the next attempt may start.

        The first resumption of a stream takes nothing from the budget: it continues admitted work,
        and one per request cannot multiply the load. If it did, the failure of an engine with more
        streams than the budget has retries would truncate the remaining streams.

        :param resumes: whether tokens have been delivered already.
        :param deadline_ms: latest time to start, on the runtime's clock.
        :return: whether it may start; otherwise the request fails with its last failure.
        """
        if not self._started:
            self._started = True
            return True
        if self._attempts_that_may_have_run >= self._policy.attempt_limit:
            return False
        await sleep_ms(min(self._delay_ms, deadline_ms - now_ms()))
        if self._is_reserved:
            self._is_reserved = False
            return now_ms() < deadline_ms
        if self._take_free_resumption(resumes=resumes):
            return True
        # The budget limits the rate of retries; waiting for it adds no load to upstreams.
        give_up_at_ms = deadline_ms
        if self._last_may_have_run:
            give_up_at_ms = min(deadline_ms, now_ms() + self._policy.budget_wait_ms)
        while not self._budget.try_spend(now_ms()):
            if now_ms() + self._policy.retry_delay_ms >= give_up_at_ms:
                return False
            await sleep_ms(self._policy.retry_delay_ms)
        return now_ms() < deadline_ms
