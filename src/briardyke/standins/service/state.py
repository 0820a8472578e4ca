"""Count the runs of a plain service's calls."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from briardyke.ids import new_id
from briardyke.wire.messages import UpstreamRow

if TYPE_CHECKING:
    from briardyke.standins.service.settings import ServiceSettings


@attrs.define
class ServiceFaults:
    """Describe the faults in force; counts go down by one with each use.

    :param break_before: calls whose connection breaks before they run.
    :param break_after: calls whose connection breaks after they ran.
    :param refused: calls to refuse without running them.
    :param slow: calls to delay by ``slow_ms`` after they ran.
    :param slow_ms: that delay, in milliseconds.
    :param silent: accept connections but answer nothing.
    """

    break_before: int = 0
    break_after: int = 0
    refused: int = 0
    slow: int = 0
    slow_ms: float = 1000.0
    silent: bool = False

    def use(self, name: str) -> bool:
        """Take one use of a counted switch; return whether one was left."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class ServiceState:
    """Hold lifecycle, faults and counters of one service."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Start with empty counters."""
        self.settings = settings
        self.incarnation = settings.incarnation or new_id("inc")
        self.lifecycle = "ready"
        self.address = str(settings.listen)
        self.faults = ServiceFaults()
        self.in_flight = 0
        self.refused = 0
        self.runs_by_request: Counter[str] = Counter()
        self.runs_by_key: Counter[str] = Counter()
        self._runs = 0
        self._sequence = 0

    def run(self, request_id: str, key: str) -> int:
        """Count one run and return its number."""
        self._runs += 1
        if request_id:
            self.runs_by_request[request_id] += 1
        if key:
            self.runs_by_key[key] += 1
        return self._runs

    def counters(self) -> dict[str, Any]:
        """Return the counters as a JSON object."""
        return {
            "runs": self._runs,
            "runs_by_request": dict(self.runs_by_request),
            "runs_by_key": dict(self.runs_by_key),
            "refused": self.refused,
        }

    def row(self) -> UpstreamRow:
        """Return the announcement."""
        self._sequence += 1
        return UpstreamRow(
            upstream_id=self.settings.upstream_id,
            incarnation=self.incarnation,
            kind="service",
            address=self.address,
            data_centre=self.settings.data_centre,
            lifecycle=self.lifecycle,
            in_flight=self.in_flight,
            checks_fencing=False,
            sequence=self._sequence,
        )
