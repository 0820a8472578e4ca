"""Count what goes wrong on the connections between processes."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class PeerStatistics:
    """Counts since the start of the process.

    :param failed_messages: messages whose handling met a defect, by type.
    """

    failed_messages: Counter[str] = attrs.field(factory=Counter)

    def figures(self) -> dict[str, list[tuple[float, dict[str, str]]]]:
        """Return the counts with their attributes, by name of the metric."""
        return {
            "peer_messages_failed": [
                (count, {"type": name}) for name, count in self.failed_messages.items()
            ]
        }


STATISTICS = PeerStatistics()
