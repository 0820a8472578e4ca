"""Know whether the configuration in force is young enough for requests with keys."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from briardyke.clock import boot_ms
from briardyke.logs import log_event
from briardyke.sync.notifier import Notifier

# Fraction of the bound up to which a configuration may be used; the rest covers the difference
# between the clocks of two machines and the time between the check and the use of its result.
_USABLE_FRACTION = 0.95
# Fraction of the bound from which a control instance is left whose proof is older. The proof of one
# that is in touch with the majority is below a second old; the rest is the time to find it.
_LEAVE_FRACTION = 0.4


def max_control_proof_age_ms(revocation_ms: float | None) -> float | None:
    """Return the age of its proof from which a control instance is left, ``None`` for any."""
    return None if revocation_ms is None else _LEAVE_FRACTION * revocation_ms


@attrs.define
class ConfigurationProof:
    """Proof that the configuration in force includes every change confirmed some time ago.

    :param revocation_ms: time after which a revoked key must be refused, ``None`` when a
        configuration of any age may be used.
    :param as_of_ms: returns the time up to which the changes are included.
    :param request_renewal: asks for a new proof without waiting for the next regular one.
    :param renewed: notified of each newer proof.
    """

    revocation_ms: float | None = None
    as_of_ms: Callable[[], float] = lambda: float("-inf")
    request_renewal: Callable[[], None] = lambda: None
    renewed: Notifier = attrs.field(factory=Notifier)
    _waiting: int = 0
    _was_valid: bool = False

    @property
    def age_ms(self) -> float:
        """Return the age of the proof, infinite without one."""
        return boot_ms() - self.as_of_ms()

    @property
    def is_valid(self) -> bool:
        """Return whether no key that the configuration knows can have been revoked too long ago."""
        if self.revocation_ms is None:
            return True
        return self.age_ms < _USABLE_FRACTION * self.revocation_ms

    def observe(self) -> None:
        """Log when the proof has become too old, and when it has returned."""
        if self.revocation_ms is None or self.is_valid == self._was_valid:
            return
        self._was_valid = self.is_valid
        age_ms = f"{self.age_ms:.0f}"
        if self._was_valid:
            log_event("configuration_proven", age_ms=age_ms, revocation_ms=self.revocation_ms)
        else:
            log_event("configuration_unproven", age_ms=age_ms, revocation_ms=self.revocation_ms)

    def record_renewal(self) -> None:
        """Wake the requests that wait for a newer proof."""
        self.observe()
        self.renewed.notify()

    async def wait(self, timeout_ms: float) -> None:
        """Wait for a newer proof; the first request that waits asks for it."""
        if not self._waiting:
            self.request_renewal()
        self._waiting += 1
        try:
            await self.renewed.wait(timeout_ms)
        finally:
            self._waiting -= 1
