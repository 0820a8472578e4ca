"""Remember when prompts with a part last got a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms

if TYPE_CHECKING:
    from collections.abc import Iterable

# About 100 bytes each; the parts and requests of the last minutes on one entry instance.
_MAX_PARTS = 16_384


class PartHistory:
    """Last response to a prompt with each part, on this entry instance."""

    def __init__(self) -> None:
        self._sound_ms: dict[str, float] = {}
        self.last_sound_ms: float | None = None

    def record_response(self, parts: Iterable[str]) -> None:
        """Record the first event, or the whole response, to a prompt with some parts."""
        self.last_sound_ms = now_ms()
        for part in parts:
            self._sound_ms.pop(part, None)
            self._sound_ms[part] = now_ms()
        while len(self._sound_ms) > _MAX_PARTS:
            del self._sound_ms[next(iter(self._sound_ms))]

    def sound_ms(self, part: str) -> float | None:
        """Return the time of the last response, ``None`` when none is known."""
        return self._sound_ms.get(part)
