"""Remember the models that requests ask for and that nothing holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable

# A load is ordered within a fraction of this; afterwards the model counts as being on its way.
WANTED_MS = 1500.0


class WantedModels:
    """Tell control at once of a model that is missing.

    Load: a rare model is asked for a few times in a minute, and its callers wait for the load.
    Every report that the first of them waits for adds to the longest wait of the service.
    """

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}
        self.report_now: Callable[[], None] | None = None

    def ask(self, model: str) -> None:
        """Take note of a request for a model that nothing holds or loads."""
        is_new = model not in self.names()
        self._since_ms[model] = now_ms()
        if is_new and self.report_now is not None:
            self.report_now()

    def names(self) -> list[str]:
        """Return the models that were asked for lately."""
        limit_ms = now_ms() - WANTED_MS
        self._since_ms = {m: at_ms for m, at_ms in self._since_ms.items() if at_ms >= limit_ms}
        return list(self._since_ms)
