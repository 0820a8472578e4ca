"""Define log entries and snapshots, and keep the uncompacted part of the log in memory."""

from __future__ import annotations

from bisect import bisect_left
from enum import Enum

import attrs


class EntryKind(Enum):
    """List the kinds of log entries."""

    NO_OP = "no_op"
    COMMAND = "command"
    MEMBERS = "members"


@attrs.frozen
class Entry:
    """Describe one log entry.

    :param index: position in the log, from 1.
    :param term: term of the leader that created it.
    :param kind: kind of ``data``.
    :param data: a command, an encoded membership, or empty.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@attrs.frozen
class Snapshot:
    """Hold the state after all entries up to an index have been applied.

    :param index: last entry included.
    :param term: term of that entry.
    :param members: encoded membership at that entry.
    :param data: output of the state machine's ``snapshot``.
    """

    index: int
    term: int
    members: bytes
    data: bytes


@attrs.frozen
class HardState:
    """Hold the election state that must survive restarts.

    :param term: highest term seen.
    :param vote: member id that received the vote in that term, or empty.
    """

    term: int = 0
    vote: str = ""


@attrs.frozen
class Recovered:
    """Hold the state that was read from disk at the start.

    :param hard_state: term and vote.
    :param snapshot: latest snapshot, if any.
    :param entries: entries after the snapshot, without gaps.
    """

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


class MemoryLog:
    """Hold the consecutive entries after a base index."""

    def __init__(self, base_index: int, base_term: int, entries: tuple[Entry, ...] = ()) -> None:
        """Create a log that continues after the base.

        :param base_index: index of the last entry that is not held.
        :param base_term: term of that entry.
        :param entries: entries that follow the base.
        """
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        # Total size of the data up to each entry, from the first entry after the original base.
        self._base_end_bytes = 0
        self._ends_bytes: list[int] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or the base index."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or the base term."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        return self._entries[first - self.base_index - 1 : last - self.base_index]

    def size_bytes(self, first: int, last: int) -> int:
        """Return the total size of the data of the held entries from ``first`` to ``last``."""
        return max(0, self._end_bytes(last) - self._end_bytes(first - 1))

    def _end_bytes(self, index: int) -> int:
        position = min(index, self.last_index) - self.base_index
        return self._ends_bytes[position - 1] if position > 0 else self._base_end_bytes

    def first_within(self, last: int, max_bytes: int) -> int:
        """Return the first held entry from which the entries up to ``last`` fit into a size.

        :param last: index of a held entry.
        :param max_bytes: maximum total size of the data.
        :return: its index; ``last + 1`` when not even the last entry fits.
        """
        least_end_bytes = self._end_bytes(last) - max_bytes
        if self._base_end_bytes >= least_end_bytes:
            return self.base_index + 1
        return self.base_index + bisect_left(self._ends_bytes, least_end_bytes) + 2

    def batch(self, first: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Return entries for one message.

        :param first: index of the first entry.
        :param max_entries: maximum number of entries.
        :param max_bytes: maximum total size of their data; a single larger entry is still returned.
        """
        chosen: list[Entry] = []
        size_bytes = 0
        for entry in self.between(first, min(self.last_index, first + max_entries - 1)):
            size_bytes += len(entry.data)
            if chosen and size_bytes > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        assert entry.index == self.last_index + 1
        self._ends_bytes.append(self._end_bytes(self.last_index) + len(entry.data))
        self._entries.append(entry)

    def truncate_after(self, index: int) -> None:
        """Remove all entries after an index."""
        position = max(0, index - self.base_index)
        del self._entries[position:], self._ends_bytes[position:]

    def first_index_of_term(self, index: int) -> int:
        """Return the first held index with the same term as the entry at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, index: int) -> None:
        """Remove all entries up to an index, whose entry must be held."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        self._base_end_bytes = self._end_bytes(index)
        position = index - self.base_index
        del self._entries[:position], self._ends_bytes[:position]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and continue after an installed snapshot."""
        self.truncate_after(self.base_index)
        self.base_index, self.base_term = index, term
