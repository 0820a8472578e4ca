"""Grant tokens of the accounts' quotas while this instance leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.clock import boot_ms
from briardyke.fleet.control import MAX_LEADER_EVIDENCE_AGE_MS
from briardyke.logs import log_event, log_limited
from briardyke.quotas.leader import LeaderBuckets
from briardyke.quotas.messages import QuotaReply, QuotaRequest
from briardyke.quotas.use_counters import MAX_SHOWN

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.fleet.control import ControlInstance
    from briardyke.quotas.bounds import QuotaBounds
    from briardyke.routes.configuration import ServingConfiguration

# The buckets of a new leader fill from the time at which it notices its leadership.
_CHECK_INTERVAL_S = 0.1
_CHECKS_PER_REPORT = 100


class QuotaGranter:
    """Grant each token of a quota once, to any entry instance."""

    def __init__(
        self,
        control: ControlInstance,
        configuration: Callable[[], ServingConfiguration | None],
        bounds: QuotaBounds,
    ) -> None:
        """Grant tokens when a control instance leads; :meth:`run` prepares for it.

        :param control: this control instance.
        :param configuration: returns the newest decoded configuration.
        :param bounds: how far the use of quotas may exceed them.
        """
        self._control = control
        self._configuration = configuration
        self._bounds = bounds
        self._term = 0
        self._since_ms = 0.0
        self._version: int | None = None
        self._buckets: LeaderBuckets | None = None

    async def run(self) -> None:
        """Follow the leadership and the configuration until cancelled."""
        while True:
            for _ in range(_CHECKS_PER_REPORT):
                self._current(boot_ms())
                await trio.sleep(_CHECK_INTERVAL_S)
            self._report()

    def _report(self) -> None:
        """Log the accounts that asked for more than their quotas."""
        if self._buckets is None:
            return
        for account, level, use in self._buckets.take_use(MAX_SHOWN):
            log_limited(
                "quota_short",
                is_routine=True,
                account=account,
                granted=f"{use.granted:.0f}",
                refused=f"{use.refused:.0f}",
                returned=f"{use.returned:.0f}",
                level=f"{level:.0f}",
            )

    async def grant(self, request: QuotaRequest) -> QuotaReply:
        """Grant what the buckets hold, nothing without fresh evidence of leadership."""
        now_ms = boot_ms()
        buckets = self._current(now_ms)
        return QuotaReply(0) if buckets is None else buckets.answer(request, now_ms)

    def _current(self, now_ms: float) -> LeaderBuckets | None:
        """Return the buckets of the present term, ``None`` when this instance may not grant."""
        term = self._control.leading_term()
        if term is None:
            return None
        if term != self._term:
            self._term, self._since_ms, self._buckets = term, now_ms, None
        if self._buckets is None:
            # After a transfer of leadership, a former leader that is cut off has fresh evidence for
            # some time, and its grants would add to those of this one.
            is_silent = self._control.is_former_leader_silent()
            if is_silent and now_ms - self._since_ms < MAX_LEADER_EVIDENCE_AGE_MS:
                return None
            self._buckets, self._version = LeaderBuckets(self._bounds, term, now_ms), None
            log_event("quota_buckets_started", term=term)
        configuration = self._configuration()
        if configuration is not None and configuration.version != self._version:
            self._version = configuration.version
            quotas = {account.name: account.quota for account in configuration.accounts}
            self._buckets.update_quotas(quotas, now_ms)
        return self._buckets
