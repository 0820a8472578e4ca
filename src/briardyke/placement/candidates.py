"""Index engines by their assigned demand and by the patterns that match their ids."""

from __future__ import annotations

from bisect import bisect_left
from fnmatch import translate
from functools import lru_cache
from heapq import heapify, heappop, heappush
from re import Pattern, compile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_WILDCARDS = "*?["


class Candidates:
    """Find the least busy engine with enough free memory without looking at every engine.

    Each distinct tuple of patterns has one heap of (assigned demand, upstream id). An outdated
    entry is dropped when it reaches the top of the heap.
    """

    def __init__(self, upstream_ids: Iterable[str], assigned_demand: dict[str, float]) -> None:
        """Index the ids; heaps are built when they are first needed.

        :param upstream_ids: ids of the engines that may take loads.
        :param assigned_demand: current demand by upstream id, kept up to date by the caller.
        """
        self._ids = sorted(upstream_ids)
        self._assigned_demand = assigned_demand
        self._heaps: dict[tuple[str, ...], list[tuple[float, str]]] = {}
        self._heaps_by_engine: dict[str, list[list[tuple[float, str]]]] = {}
        self._matches: dict[tuple[str, ...], tuple[str, ...]] = {}
        self._match_sets: dict[tuple[str, ...], frozenset[str]] = {}

    def allowed(self, patterns: tuple[str, ...]) -> tuple[str, ...]:
        """Return the ids that match any pattern, sorted."""
        found = self._matches.get(patterns)
        if found is None:
            found = tuple(sorted({i for p in patterns for i in self._match(p)}))
            self._matches[patterns] = found
        return found

    def is_allowed(self, patterns: tuple[str, ...], upstream_id: str) -> bool:
        """Return whether the id matches any pattern."""
        found = self._match_sets.get(patterns)
        if found is None:
            found = self._match_sets[patterns] = frozenset(self.allowed(patterns))
        return upstream_id in found

    def changed(self, upstream_id: str) -> None:
        """Update the index after the assigned demand of an engine has changed."""
        for heap in self._heaps_by_engine.get(upstream_id, ()):
            heappush(heap, (self._assigned_demand[upstream_id], upstream_id))

    def least_busy(
        self, patterns: tuple[str, ...], fits: Callable[[str], bool], limit: int
    ) -> str | None:
        """Return the engine with the least assigned demand that fits.

        :param patterns: glob patterns over upstream ids.
        :param fits: tells whether an engine can take the item.
        :param limit: largest number of engines to test.
        :return: upstream id, or ``None`` when none of the tested engines fits.
        """
        heap = self._heap(patterns)
        tested: list[tuple[float, str]] = []
        seen: set[str] = set()
        found = None
        while heap and len(tested) < limit:
            entry = heappop(heap)
            demand, upstream_id = entry
            if demand != self._assigned_demand[upstream_id] or upstream_id in seen:
                continue
            tested.append(entry)
            seen.add(upstream_id)
            if fits(upstream_id):
                found = upstream_id
                break
        for entry in tested:
            heappush(heap, entry)
        return found

    def _heap(self, patterns: tuple[str, ...]) -> list[tuple[float, str]]:
        heap = self._heaps.get(patterns)
        if heap is None:
            heap = [(self._assigned_demand[i], i) for i in self.allowed(patterns)]
            heapify(heap)
            self._heaps[patterns] = heap
            for _, upstream_id in heap:
                self._heaps_by_engine.setdefault(upstream_id, []).append(heap)
        return heap

    def _match(self, pattern: str) -> list[str]:
        prefix_length = next((i for i, c in enumerate(pattern) if c in _WILDCARDS), len(pattern))
        prefix = pattern[:prefix_length]
        first = bisect_left(self._ids, prefix)
        last = bisect_left(self._ids, prefix + "\U0010ffff") if prefix else len(self._ids)
        if pattern == prefix:
            return self._ids[first : first + 1] if self._ids[first : first + 1] == [pattern] else []
        found = self._ids[first:last]
        if pattern == prefix + "*":
            return found
        matches = _compiled(pattern).match
        return [i for i in found if matches(i)]


@lru_cache(maxsize=4096)
def _compiled(pattern: str) -> Pattern[str]:
    return compile(translate(pattern))
