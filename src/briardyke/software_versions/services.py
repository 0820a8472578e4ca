"""Know the software versions that have served each service lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.software_versions.records import LIFETIME_MS

if TYPE_CHECKING:
    from collections.abc import Mapping


class ServiceVersions:
    """Software versions of each service, each with the time at which it was last seen.

    A version counts until no stream that it began can go on. Without a second one, the version of
    a stream need not be known.
    """

    def __init__(self) -> None:
        self._seen_ms: dict[str, dict[str, float]] = {}

    def observe(self, service: str, software_version: str, age_ms: float = 0.0) -> None:
        """Record that a version served some time ago."""
        versions = self._seen_ms.setdefault(service, {})
        seen_ms = now_ms() - age_ms
        versions[software_version] = max(seen_ms, versions.get(software_version, seen_ms))

    def forget_old(self) -> None:
        """Drop the versions that have begun no stream which can still go on."""
        limit_ms = now_ms() - LIFETIME_MS
        for versions in self._seen_ms.values():
            for version in [v for v, seen_ms in versions.items() if seen_ms < limit_ms]:
                del versions[version]

    def by_service(self) -> dict[str, list[str]]:
        """Return the versions of each service."""
        return {service: sorted(versions) for service, versions in self._seen_ms.items()}

    def ages_ms(self) -> dict[str, dict[str, float]]:
        """Return the time since each version of each service was last seen."""
        now = now_ms()
        return {
            service: {version: now - seen_ms for version, seen_ms in versions.items()}
            for service, versions in self._seen_ms.items()
        }

    def merge_ages(self, ages_ms: Mapping[str, Mapping[str, float]]) -> None:
        """Add what another control instance has seen."""
        for service, versions in ages_ms.items():
            for version, age_ms in versions.items():
                self.observe(service, version, age_ms)
