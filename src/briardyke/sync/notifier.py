"""Wake tasks that wait for a change."""

from __future__ import annotations

import trio


class Notifier:
    """Notification of a change to any number of waiting tasks."""

    def __init__(self) -> None:
        """Start with no change pending."""
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake every waiting task."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self, timeout_ms: float) -> None:
        """Wait for the next change, at most ``timeout_ms`` milliseconds."""
        with trio.move_on_after(timeout_ms / 1000.0):
            await self._event.wait()
