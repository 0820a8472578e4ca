"""Hold the evidence that the local configuration version is still the current one."""

from __future__ import annotations

import attrs

VERSION_LEASE_MS = 6000.0


@attrs.define
class VersionLease:
    """Track until when new requests may be admitted under the held version.

    The leader may commit another version at any time after the confirmed moment, so the promise
    that a version is in force everywhere within a bound rests on this lease running out.

    :param lease_ms: time from the confirmed moment to the end of the lease.
    :param confirmed_at_ms: latest moment at which the held version was known to be current.
    """

    lease_ms: float = VERSION_LEASE_MS
    confirmed_at_ms: float | None = None

    def confirm(self, as_of_ms: float) -> None:
        """Extend the lease; evidence that is older than what is held changes nothing."""
        if self.confirmed_at_ms is None or as_of_ms > self.confirmed_at_ms:
            self.confirmed_at_ms = as_of_ms

    def expires_at_ms(self) -> float:
        """Return the end of the lease on the runtime's clock; negative when never confirmed."""
        return -1.0 if self.confirmed_at_ms is None else self.confirmed_at_ms + self.lease_ms

    def valid(self, now_ms: float) -> bool:
        """Return whether new requests may be admitted now."""
        return now_ms < self.expires_at_ms()

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the evidence, or ``None`` when there is none."""
        return None if self.confirmed_at_ms is None else max(0.0, now_ms - self.confirmed_at_ms)
