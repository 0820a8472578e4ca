"""Aggregate the demand reported by several senders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.wire.messages import ModelDemand

if TYPE_CHECKING:
    from collections.abc import Mapping

_REPORT_TTL_MS = 5000.0


class DemandTable:
    """Latest demand report of each sender."""

    def __init__(self) -> None:
        """Start empty."""
        self._reports: dict[str, tuple[float, Mapping[str, ModelDemand]]] = {}

    def observe(self, sender_id: str, demand: Mapping[str, ModelDemand], now_ms: float) -> None:
        """Store a sender's report in place of its previous one."""
        self._reports[sender_id] = (now_ms, demand)

    def total(self, now_ms: float) -> dict[str, ModelDemand]:
        """Return the sum over all senders that reported recently."""
        total: dict[str, ModelDemand] = {}
        for sender_id, (heard_at_ms, demand) in list(self._reports.items()):
            if now_ms - heard_at_ms > _REPORT_TTL_MS:
                del self._reports[sender_id]
                continue
            for name, report in demand.items():
                total[name] = _add(total[name], report) if name in total else report
        return total


def _add(first: ModelDemand, second: ModelDemand) -> ModelDemand:
    return ModelDemand(
        first.requests_per_second + second.requests_per_second,
        first.tokens_per_second + second.tokens_per_second,
        first.waiting_requests + second.waiting_requests,
    )
