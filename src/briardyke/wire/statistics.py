"""Count what goes wrong on the connections between processes."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class PeerStatistics:
    """Counts since the start of the process.

    :param failed_messages: messages whose handling met a defect, by type.
    :param ended_connections: connections that ended, by reason: ``gone`` (closed or reset by the
        peer), ``silent``, ``idle``, ``handshake`` (accepted, but not answered), ``caller_silent``.
    :param slow_answers: answers to probes that were late, on connections that were kept.
    """

    failed_messages: Counter[str] = attrs.field(factory=Counter)
    ended_connections: Counter[str] = attrs.field(factory=Counter)
    slow_answers: int = 0

    def figures(self) -> dict[str, list[tuple[float, dict[str, str]]]]:
        """Return the counts with their attributes, by name of the metric."""
        return {
            "peer_messages_failed": [
                (count, {"type": name}) for name, count in self.failed_messages.items()
            ],
            "peer_connections_ended": [
                (count, {"reason": reason}) for reason, count in self.ended_connections.items()
            ],
            "peer_slow_answers": [(self.slow_answers, {})],
        }


STATISTICS = PeerStatistics()
