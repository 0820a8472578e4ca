"""Keep the newest limit that each process of an upstream has stated."""

from __future__ import annotations

import attrs

from briardyke.clock import now_ms

# Error of the times of statements that other instances observed: their way through two processes.
TIME_ERROR_MS = 100.0
# Time after which the end of a limit is forgotten. Older statements of the limit arrive within it.
ENDED_TTL_MS = 10_000.0
# Time after which a limit that no response has confirmed is forgotten: the process has gone, or
# nobody needs it.
UNCONFIRMED_TTL_MS = 600_000.0


@attrs.frozen
class LimitStatement:
    """What a response of an upstream said about the requests that it accepts.

    The response was made between the two times. So of two responses, one is surely the newer one
    only if its request was sent after the other one had been received.

    :param upstream_id: the upstream.
    :param incarnation: start of its process, in Unix milliseconds.
    :param limit_per_s: requests per second that it accepts from all instances together, or ``None``
        for no limit.
    :param sent_age_ms: time since the request was sent.
    :param received_age_ms: time since the response was received.
    """

    upstream_id: str
    incarnation: int
    limit_per_s: float | None
    sent_age_ms: float
    received_age_ms: float


@attrs.frozen
class _Held:
    incarnation: int
    limit_per_s: float | None
    sent_ms: float
    received_ms: float


class KnownLimits:
    """Newest limit of each upstream; a process that never stated one is not stored."""

    def __init__(self, *, keeps_unknown_ends: bool = False) -> None:
        """Start empty.

        :param keeps_unknown_ends: whether to store the end of a limit that is not held, because
            others hold it.
        """
        self._keeps_unknown_ends = keeps_unknown_ends
        self._held: dict[str, _Held] = {}
        self.sequence = 0

    def limit_per_s(self, upstream_id: str, incarnation: int) -> float | None:
        """Return the limit of a process, or ``None`` if none is known."""
        held = self._held.get(upstream_id)
        return held.limit_per_s if held and held.incarnation == incarnation else None

    def merge(self, statement: LimitStatement) -> bool:
        """Adopt a statement unless a newer one is held; return whether the limit changed.

        Of two statements whose order is uncertain, the stricter one holds: with many requests under
        way a response may arrive seconds after a newer one.
        """
        held = self._held.get(statement.upstream_id)
        if held is not None and held.incarnation < statement.incarnation:
            held = None
        if held is None and statement.limit_per_s is None and not self._keeps_unknown_ends:
            return False
        new = _Held(
            statement.incarnation,
            statement.limit_per_s,
            now_ms() - statement.sent_age_ms,
            now_ms() - statement.received_age_ms,
        )
        if held is not None:
            if held.incarnation > new.incarnation or not _replaces(new, held):
                return False
            if new.limit_per_s == held.limit_per_s:
                new = attrs.evolve(
                    new,
                    sent_ms=max(new.sent_ms, held.sent_ms),
                    received_ms=max(new.received_ms, held.received_ms),
                )
        self._held[statement.upstream_id] = new
        if held is not None and new.limit_per_s == held.limit_per_s:
            return False
        self.sequence += 1
        return True

    def statements(self, max_age_ms: float = UNCONFIRMED_TTL_MS) -> list[LimitStatement]:
        """Return the statements held whose responses were received within a time."""
        self.forget_old()
        now = now_ms()
        return [
            LimitStatement(
                upstream_id,
                held.incarnation,
                held.limit_per_s,
                now - held.sent_ms,
                now - held.received_ms,
            )
            for upstream_id, held in self._held.items()
            if now - held.received_ms < max_age_ms
        ]

    def forget_old(self) -> None:
        """Drop limits that ended, and those that no response has confirmed for long."""
        now = now_ms()
        self._held = {i: h for i, h in self._held.items() if now - h.received_ms < _ttl_ms(h)}


def _ttl_ms(held: _Held) -> float:
    return ENDED_TTL_MS if held.limit_per_s is None else UNCONFIRMED_TTL_MS


def _replaces(new: _Held, held: _Held) -> bool:
    if new.sent_ms >= held.received_ms + TIME_ERROR_MS:
        return True
    if new.received_ms + TIME_ERROR_MS <= held.sent_ms or new.limit_per_s is None:
        return False
    return held.limit_per_s is None or new.limit_per_s <= held.limit_per_s
