"""Track requested models that no upstream holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable

# Time for which a missing model is reported. Its load is ordered within a fraction of this and then
# counts as in progress.
MISSING_MODEL_TTL_MS = 1500.0


class MissingModels:
    """Requested models that no upstream holds, reported to the control instances without delay.

    A rarely used model is requested a few times per minute, and its callers wait for the load.
    Waiting for the next regular report would add to the longest wait of the service.
    """

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}
        self.report_now: Callable[[], None] | None = None

    def record(self, model: str) -> None:
        """Record a request for a model that no upstream holds or loads."""
        is_new = model not in self.names()
        self._since_ms[model] = now_ms()
        if is_new and self.report_now is not None:
            self.report_now()

    def names(self) -> list[str]:
        """Return the missing models that were requested recently."""
        limit_ms = now_ms() - MISSING_MODEL_TTL_MS
        self._since_ms = {m: at_ms for m, at_ms in self._since_ms.items() if at_ms >= limit_ms}
        return list(self._since_ms)
