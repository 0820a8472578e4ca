"""Order the control instances that may coordinate the engines of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.policy.rendezvous import rendezvous_hash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.addresses import Address

# Time for which a control instance that did not answer is not asked. It is long enough that a
# silent one costs one request in a second a quarter of a second, and short enough that the first
# one in order soon coordinates again.
SKIP_MS = 1000.0


class Coordinators:
    """Control instances that have not answered in time, and the order of the others.

    All entry instances use the same order, so they agree on the coordinator of a service as long
    as it answers all of them.
    """

    def __init__(self) -> None:
        """Start with all control instances able to answer."""
        self._skipped_until_ms: dict[tuple[Address, str], float] = {}

    def order(self, service: str, controls: Sequence[Address], now_ms: float) -> list[Address]:
        """Return the control instances to ask about a service, first choice first."""
        skipped = self._skipped_until_ms
        usable = [a for a in controls if skipped.get((a, service), 0.0) <= now_ms]
        return sorted(usable, key=lambda a: rendezvous_hash(service, str(a)), reverse=True)

    def begin(self, address: Address, service: str, now_ms: float) -> None:
        """Record that an instance is asked that was silent before.

        Until it answers, only this one request waits for it.
        """
        if (address, service) in self._skipped_until_ms:
            self._skipped_until_ms[address, service] = now_ms + SKIP_MS

    def record_answer(self, address: Address, service: str) -> None:
        """Record that an instance has answered."""
        self._skipped_until_ms.pop((address, service), None)

    def record_silence(self, address: Address, service: str, now_ms: float) -> None:
        """Record that an instance has not answered in time."""
        self._skipped_until_ms[address, service] = now_ms + SKIP_MS
