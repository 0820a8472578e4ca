"""Track how long the local configuration version may be treated as current."""

from __future__ import annotations

import attrs

VERSION_LEASE_MS = 6000.0


@attrs.define
class VersionLease:
    """Lease during which new requests may be admitted under the held version.

    The leader may commit another version at any time after the confirmed moment. The bound on the
    time until a version is in force everywhere relies on the expiry of this lease.

    :param lease_ms: time from the confirmed moment to the end of the lease.
    :param confirmed_at_ms: latest moment at which the held version was known to be current.
    """

    lease_ms: float = VERSION_LEASE_MS
    confirmed_at_ms: float | None = None

    def confirm(self, as_of_ms: float) -> None:
        """Extend the lease; an earlier confirmation than the last is ignored."""
        if self.confirmed_at_ms is None or as_of_ms > self.confirmed_at_ms:
            self.confirmed_at_ms = as_of_ms

    def expires_at_ms(self) -> float:
        """Return the end of the lease on the runtime's clock; negative when never confirmed."""
        return -1.0 if self.confirmed_at_ms is None else self.confirmed_at_ms + self.lease_ms

    def valid(self, now_ms: float) -> bool:
        """Return whether new requests may be admitted now."""
        return now_ms < self.expires_at_ms()

    def age_ms(self, now_ms: float) -> float | None:
        """Return the time since the last confirmation, or ``None`` when never confirmed."""
        return None if self.confirmed_at_ms is None else max(0.0, now_ms - self.confirmed_at_ms)
