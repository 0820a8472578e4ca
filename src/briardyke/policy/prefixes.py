"""Track which upstreams probably hold which prompt prefixes in their cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.wire.messages import CacheEvent

# About 6 MB at most, well within the 256 MB of a process.
PREFIX_CAPACITY = 20_000
HOLDERS_PER_PREFIX = 4
# Prefixes stored before a gap in the events may have been evicted without an event.
CONFIDENCE_AFTER_GAP = 0.5


class PrefixMap:
    """Map from prefix hashes to upstreams, by own dispatches and by cache events.

    :param capacity: largest number of prefixes; the least recently used one is evicted.
    """

    def __init__(self, capacity: int = PREFIX_CAPACITY) -> None:
        self._capacity = capacity
        self._holders: OrderedDict[int, dict[str, tuple[int, float]]] = OrderedDict()
        self._sequences: dict[str, int] = {}
        # Each time the cache of an upstream is lost, it gets a new epoch, which invalidates its
        # older prefixes.
        self._epochs: dict[str, int] = {}
        self._next_epoch = 0
        self._gap_at_ms: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def record_stored(self, upstream_id: str, hashes: Sequence[int], now_ms: float) -> None:
        """Record that an upstream holds these prefixes."""
        epoch = self._epochs.get(upstream_id)
        if epoch is None:
            epoch = self._epochs[upstream_id] = self._next_epoch
            self._next_epoch += 1
        for prefix_hash in hashes:
            holders = self._holders.get(prefix_hash)
            if holders is None:
                holders = self._holders[prefix_hash] = {}
                if len(self._holders) > self._capacity:
                    self._holders.popitem(last=False)
            else:
                self._holders.move_to_end(prefix_hash)
                holders.pop(upstream_id, None)
            holders[upstream_id] = (epoch, now_ms)
            if len(holders) > HOLDERS_PER_PREFIX:
                del holders[next(iter(holders))]

    def apply(self, upstream_id: str, events: Sequence[CacheEvent], now_ms: float) -> None:
        """Apply cache events, which may be repeated or lost.

        :param upstream_id: upstream that sent them.
        :param events: events in the order of their sequence.
        :param now_ms: time of arrival.
        """
        last = self._sequences.get(upstream_id)
        for event in events:
            if last is not None and event.sequence <= last:
                continue
            if last is not None and event.sequence > last + 1:
                self._gap_at_ms[upstream_id] = now_ms
            last = event.sequence
            if event.kind == "stored":
                self.record_stored(upstream_id, (event.prefix_hash,), now_ms)
            else:
                self._holders.get(event.prefix_hash, {}).pop(upstream_id, None)
        if last is not None:
            self._sequences[upstream_id] = last

    def forget(self, upstream_id: str) -> None:
        """Discard everything about an upstream whose cache is lost."""
        self._epochs.pop(upstream_id, None)
        self._sequences.pop(upstream_id, None)
        self._gap_at_ms.pop(upstream_id, None)

    def cached_fractions(self, hashes: Sequence[int]) -> dict[str, float]:
        """Return the probably cached fraction of a prompt by upstream, 0 to 1.

        :param hashes: hashes of the prompt's prefixes, shortest first.
        """
        found: dict[str, float] = {}
        for position in range(len(hashes) - 1, -1, -1):
            holders = self._holders.get(hashes[position])
            if not holders:
                continue
            fraction = (position + 1) / len(hashes)
            for upstream_id, (epoch, stored_ms) in holders.items():
                if upstream_id in found or epoch != self._epochs.get(upstream_id):
                    continue
                confident = stored_ms > self._gap_at_ms.get(upstream_id, -1.0)
                found[upstream_id] = fraction if confident else fraction * CONFIDENCE_AFTER_GAP
            if len(found) >= HOLDERS_PER_PREFIX:
                break
        return found
