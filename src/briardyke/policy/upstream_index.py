"""Index upstreams by what they serve, so that a decision does not scan all of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from briardyke.agreed.configuration import matches_any_pattern
from briardyke.policy.indexed_set import IndexedSet

if TYPE_CHECKING:
    from collections.abc import Callable

    from briardyke.wire.messages import UpstreamRow

# Largest number of cached pattern groups; every configured service needs one.
PATTERN_GROUP_LIMIT = 256


class CandidateGroup:
    """Upstreams that can serve one model, adapter or service."""

    def __init__(self) -> None:
        self.all_ids = IndexedSet()
        self.local_ids = IndexedSet()
        self.cursor = 0

    def add(self, upstream_id: str, local: bool) -> None:
        """Add an upstream."""
        self.all_ids.add(upstream_id)
        if local:
            self.local_ids.add(upstream_id)

    def discard(self, upstream_id: str) -> None:
        """Remove an upstream."""
        self.all_ids.discard(upstream_id)
        self.local_ids.discard(upstream_id)


class UpstreamIndex:
    """Candidate groups by item name and by service patterns.

    :param own_data_centre: data centre of this process.
    """

    def __init__(self, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        self._by_item: dict[str, CandidateGroup] = {}
        self._by_patterns: OrderedDict[tuple[str, ...], CandidateGroup] = OrderedDict()
        self._services: dict[str, bool] = {}
        self._items: dict[str, frozenset[str]] = {}
        self.engines = IndexedSet()

    def add(self, row: UpstreamRow) -> None:
        """Add or update an upstream that may receive work, from its latest report."""
        upstream_id = row.upstream_id
        local = row.data_centre == self._own_data_centre
        if row.kind == "service":
            if upstream_id not in self._services:
                self._services[upstream_id] = local
                for patterns, group in self._by_patterns.items():
                    if matches_any_pattern(patterns, upstream_id):
                        group.add(upstream_id, local)
            return
        self.engines.add(upstream_id)
        items = frozenset(item.name for item in row.loaded if item.state == "loaded")
        before = self._items.get(upstream_id, frozenset())
        if items == before:
            return
        self._items[upstream_id] = items
        for name in before - items:
            self._remove_from_item(name, upstream_id)
        for name in items - before:
            self._by_item.setdefault(name, CandidateGroup()).add(upstream_id, local)

    def contains(self, upstream_id: str) -> bool:
        """Return whether an upstream is in the index."""
        return upstream_id in self._services or upstream_id in self.engines

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream that must not receive work."""
        if self._services.pop(upstream_id, None) is not None:
            for group in self._by_patterns.values():
                group.discard(upstream_id)
        self.engines.discard(upstream_id)
        for name in self._items.pop(upstream_id, frozenset()):
            self._remove_from_item(name, upstream_id)

    def by_item(self, name: str) -> CandidateGroup | None:
        """Return the engines that have a model or adapter loaded, if any."""
        return self._by_item.get(name)

    def by_patterns(self, patterns: tuple[str, ...]) -> CandidateGroup:
        """Return the plain services whose ids match any of the patterns."""
        group = self._by_patterns.get(patterns)
        if group is None:
            group = self._by_patterns[patterns] = CandidateGroup()
            for upstream_id, local in self._services.items():
                if matches_any_pattern(patterns, upstream_id):
                    group.add(upstream_id, local)
            if len(self._by_patterns) > PATTERN_GROUP_LIMIT:
                self._by_patterns.popitem(last=False)
        else:
            self._by_patterns.move_to_end(patterns)
        return group

    def any_engine(self, patterns: tuple[str, ...], usable: Callable[[str], bool]) -> bool:
        """Return whether any usable engine is allowed to load an item.

        :param patterns: glob patterns over upstream ids; empty allows every engine.
        :param usable: tells whether an upstream may receive work.
        """
        return any(
            usable(upstream_id) and (not patterns or matches_any_pattern(patterns, upstream_id))
            for upstream_id in list(self.engines)
        )

    def _remove_from_item(self, name: str, upstream_id: str) -> None:
        group = self._by_item.get(name)
        if group is not None:
            group.discard(upstream_id)
            if not len(group.all_ids):
                del self._by_item[name]
