"""Keep sets of ids that can be sampled in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator


class IndexedSet:
    """Set of strings with constant-time add, discard and random sampling."""

    def __init__(self) -> None:
        self._items: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: object) -> bool:
        return item in self._positions

    def __iter__(self) -> Iterator[str]:
        return iter(self._items)

    def __getitem__(self, index: int) -> str:
        return self._items[index]

    def add(self, item: str) -> None:
        """Add an item; an item that is present stays once."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: str) -> None:
        """Remove an item if it is present."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._positions[last] = position

    def sample(self, count: int, source: random.Random) -> list[str]:
        """Return up to ``count`` distinct items, all of them when there are no more.

        :param count: largest number of items.
        :param source: source of randomness.
        """
        size = len(self._items)
        if size <= count:
            return list(self._items)
        # Repeated draws cost less than random.sample for a few items of many; duplicates drop out.
        return list({self._items[int(source.random() * size)]: None for _ in range(count)})
