"""Decide when a request may make its next attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms, sleep_ms

if TYPE_CHECKING:
    from briardyke.entry.interfaces import RelayBudget
    from briardyke.entry.relay_jobs import RelayPolicy


class AttemptPacer:
    """Pace the attempts of one request.

    Attempts that may have run are limited in number. Attempts that cannot have run, such as refused
    connections to an engine that died, are repeated with growing waits until the deadline, because
    placement brings the model back on another engine meanwhile.
    """

    def __init__(self, budget: RelayBudget, policy: RelayPolicy) -> None:
        """Start before the first attempt.

        :param budget: bounds the retries of all requests together.
        :param policy: limits and waits.
        """
        self._budget = budget
        self._policy = policy
        self._started = False
        self._ran = 0
        self._resumed = False
        self._last_may_have_run = False
        self._delay_ms = 0.0

    def ended(self, *, may_have_run: bool) -> None:
        """Count an attempt that failed."""
        self._last_may_have_run = may_have_run
        if may_have_run:
            self._ran += 1
            self._delay_ms = 0.0
        else:
            doubled = max(self._policy.retry_delay_ms, self._delay_ms * 2.0)
            self._delay_ms = min(self._policy.longest_retry_delay_ms, doubled)

    async def may_start(self, *, resumes: bool, deadline_ms: float) -> bool:
        """Wait until the next attempt may start.

        The first resumption of a stream needs no budget: it continues admitted work, and one per
        request cannot multiply traffic. Without it, the death of an engine with more streams than
        the budget holds would truncate the rest.

        :param resumes: whether tokens have been delivered already.
        :param deadline_ms: latest time to start, on the runtime's clock.
        :return: whether it may start; otherwise the request has to end with its last failure.
        """
        if not self._started:
            self._started = True
            return True
        if self._ran >= self._policy.attempt_limit:
            return False
        await sleep_ms(min(self._delay_ms, deadline_ms - now_ms()))
        if resumes and not self._resumed:
            self._resumed = True
            return True
        # The budget bounds the rate of retries; waiting for it costs no upstream anything.
        give_up_at_ms = deadline_ms
        if self._last_may_have_run:
            give_up_at_ms = min(deadline_ms, now_ms() + self._policy.budget_wait_ms)
        while not self._budget.try_spend(now_ms()):
            if now_ms() + self._policy.retry_delay_ms >= give_up_at_ms:
                return False
            await sleep_ms(self._policy.retry_delay_ms)
        return now_ms() < deadline_ms
