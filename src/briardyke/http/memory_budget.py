"""Account for the bytes that a process holds for requests and responses.

Load: crowds of clients that nobody controls send many large bodies at once, most of which stop
just short of their end, while ordinary requests need a few KB each.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

import attrs

MIB = 1024 * 1024
# Part of each request and each response that need not wait for large ones.
GUARANTEED_BYTES = 64 * 1024
# Budget of a process whose machine's memory is unknown: 64 bodies of the largest size at once.
DEFAULT_LIMIT_BYTES = 512 * MIB
# All responses together, beyond which only the guaranteed part is buffered.
MAX_RESPONSE_BYTES = 16 * MIB
# Memory of a process beside the budget: an entry process without requests takes 33 MB, and more
# with the tables of a large deployment and once its metrics have been read.
REST_BYTES = 64 * MIB
# Part of the memory above that which the budget may take. The rest is for the allocator, for
# copies that exist for a moment, and for bytes in the kernel.
_USABLE_FRACTION = 0.75
_LEAST_LIMIT_BYTES = 16 * MIB
# A body is slow that arrives at a lower rate than this; the link of the smallest machine carries
# 469 KB/s.
LEAST_BYTES_PER_S = 256 * 1024
# Time without progress, or at a low rate, after which a body gives way while memory is short.
STALL_MS = 1000.0
# Descriptors that the platform keeps for itself, and the part of the others that connections of
# callers may take; upstreams and own processes need the rest.
RESERVED_DESCRIPTORS = 200
_CALLERS_FRACTION = 0.75
# Bounds of the groups in which open connections are counted by their age, in seconds.
AGE_BOUNDS_S = (1, 10, 60)


class Kind(Enum):
    """What bytes are held for."""

    CONNECTIONS = "connections"
    REQUESTS = "requests"
    RESPONSES = "responses"


def limit_for_memory(memory_mb: float) -> int:
    """Return the size of the budget on a machine.

    :param memory_mb: memory of the machine, 0 when unknown.
    """
    if memory_mb <= 0:
        return DEFAULT_LIMIT_BYTES
    usable = (memory_mb * MIB - REST_BYTES) * _USABLE_FRACTION
    return max(_LEAST_LIMIT_BYTES, int(usable))


@attrs.define(eq=False)
class Share:
    """Part of the budget that one connection, request or response holds.

    :param budget: the budget.
    :param kind: what it is for.
    :param on_displaced: called once when it must be released for others.
    :param held_bytes: bytes that it holds.
    :param is_reading: whether its body is being read; only then it may be displaced.
    :param is_displaced: whether it must be released.
    :param started_ms: time at which its body was granted, or its connection was accepted.
    :param progress_ms: time of the last progress.
    :param received_bytes: bytes received since it was granted.
    """

    budget: MemoryBudget
    kind: Kind
    on_displaced: Callable[[], None] | None = None
    held_bytes: int = 0
    is_reading: bool = False
    is_displaced: bool = False
    started_ms: float = 0.0
    progress_ms: float = 0.0
    received_bytes: int = 0

    def grow(self, size_bytes: int) -> bool:
        """Return whether this many more bytes may be held, and count them."""
        return self.budget.grow(self, size_bytes)

    def shrink(self, size_bytes: int) -> None:
        """Return some bytes."""
        self.budget.shrink(self, min(size_bytes, self.held_bytes))

    def release(self) -> None:
        """Return all bytes and leave the budget."""
        self.budget.close(self)

    def begin_reading(self, now_ms: float) -> None:
        """Start to measure the progress of a body."""
        self.is_reading = True
        self.started_ms = self.progress_ms = now_ms
        self.received_bytes = 0

    def record_progress(self, size_bytes: int, now_ms: float) -> None:
        """Record bytes of the body that have arrived."""
        self.received_bytes += size_bytes
        self.progress_ms = now_ms

    def is_slow(self, now_ms: float) -> bool:
        """Return whether the body has stopped, or arrives at less than the least rate."""
        if now_ms - self.progress_ms > STALL_MS:
            return True
        elapsed_ms = now_ms - self.started_ms
        expected = (elapsed_ms - STALL_MS) / 1000.0 * LEAST_BYTES_PER_S
        return self.received_bytes < expected

    @property
    def large_bytes(self) -> int:
        """Return what it holds beyond the guaranteed part."""
        return max(0, self.held_bytes - GUARANTEED_BYTES)


class MemoryBudget:
    """Bytes that a process holds for connections, requests and responses, within one limit.

    Bodies beyond their guaranteed parts take at most half of it and responses at most a quarter.
    So small requests find room whatever large ones hold.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        *,
        bounds_kernel_buffers: bool = False,
        usual_connections: int | None = None,
    ) -> None:
        """Start with nothing held.

        :param limit_bytes: limit for all together.
        :param bounds_kernel_buffers: whether the kernel may hold only little for a connection,
            because that counts toward the memory of the machine.
        :param usual_connections: number of connections beyond which those that rest are closed, or
            ``None``.
        """
        self.usual_connections = usual_connections
        self.bounds_kernel_buffers = bounds_kernel_buffers
        self.limit_bytes = limit_bytes
        self.held = dict.fromkeys(Kind, 0)
        self.peak_bytes = 0
        self.refusals: dict[str, int] = {}
        self.on_release: Callable[[], None] = lambda: None
        self._large = dict.fromkeys(Kind, 0)
        self._shares: set[Share] = set()
        self._connections = 0
        self._large_limits = {
            Kind.CONNECTIONS: 0,
            Kind.REQUESTS: limit_bytes // 2,
            Kind.RESPONSES: min(MAX_RESPONSE_BYTES, limit_bytes // 4),
        }

    @classmethod
    def of_machine(cls, memory_mb: float, max_descriptors: int = 0) -> MemoryBudget:
        """Return the budget of a process on a machine.

        :param memory_mb: memory of the machine, 0 when unknown.
        :param max_descriptors: descriptors that the process may open, 0 when unknown.
        """
        usual = int((max_descriptors - RESERVED_DESCRIPTORS) * _CALLERS_FRACTION)
        return cls(
            limit_for_memory(memory_mb),
            bounds_kernel_buffers=memory_mb > 0,
            usual_connections=max(1, usual) if max_descriptors else None,
        )

    @property
    def has_many_connections(self) -> bool:
        """Return whether there are more connections than usual, so that resting ones must go."""
        if self.usual_connections is None:
            return False
        return self._connections > self.usual_connections

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all shares hold."""
        return sum(self.held.values())

    def open(self, kind: Kind, on_displaced: Callable[[], None] | None = None) -> Share:
        """Return a share that holds nothing yet."""
        share = Share(self, kind, on_displaced)
        self._shares.add(share)
        self._connections += kind is Kind.CONNECTIONS
        return share

    def close(self, share: Share) -> None:
        """Return all bytes of a share and forget it."""
        self.shrink(share, share.held_bytes)
        if share in self._shares:
            self._shares.remove(share)
            self._connections -= share.kind is Kind.CONNECTIONS

    def grow(self, share: Share, size_bytes: int) -> bool:
        """Return whether a share may hold more bytes, and count them."""
        if not self._has_room(share, size_bytes):
            return False
        before = share.large_bytes
        share.held_bytes += size_bytes
        self.held[share.kind] += size_bytes
        self._large[share.kind] += share.large_bytes - before
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        return True

    def shrink(self, share: Share, size_bytes: int) -> None:
        """Return bytes of a share."""
        before = share.large_bytes
        share.held_bytes -= size_bytes
        self.held[share.kind] -= size_bytes
        self._large[share.kind] += share.large_bytes - before
        if size_bytes:
            self.on_release()

    def _has_room(self, share: Share, size_bytes: int) -> bool:
        limit = self.limit_bytes
        if share.kind is not Kind.RESPONSES:
            # Refusing a response fails a request that has run, so a part is kept for responses.
            limit -= limit // 16
        if self.held_bytes + size_bytes > limit:
            return False
        large = max(0, share.held_bytes + size_bytes - GUARANTEED_BYTES) - share.large_bytes
        if not large or self._large[share.kind] + large <= self._large_limits[share.kind]:
            return True
        # A body larger than that part is read while no other large one is held.
        return share.kind is Kind.REQUESTS and self._large[share.kind] == share.large_bytes

    def can_ever_hold(self, share: Share, size_bytes: int) -> bool:
        """Return whether a share could hold more bytes if nothing else was held."""
        return share.held_bytes + size_bytes <= self.limit_bytes - self.limit_bytes // 16

    def displace(self, share: Share, size_bytes: int, now_ms: float) -> Share | None:
        """Make the largest body with the least progress give way to a share.

        A large body displaces only bodies that have stopped or are slow. A request that is being
        answered is never displaced.

        :param share: share that needs room.
        :param size_bytes: what it needs.
        :return: the share that gives way, or ``None``.
        """
        reading = [s for s in self._shares if s.is_reading and s is not share and s.large_bytes]
        if sum(s.held_bytes for s in reading if s.is_displaced) >= size_bytes:
            return None  # it has been found already and is about to be released
        is_large = share.held_bytes + size_bytes > GUARANTEED_BYTES
        candidates = [
            s for s in reading if not s.is_displaced and (s.is_slow(now_ms) or not is_large)
        ]
        if not candidates:
            return None
        found = max(candidates, key=lambda s: (s.is_slow(now_ms), s.held_bytes, -s.received_bytes))
        found.is_displaced = True
        if found.on_displaced is not None:
            found.on_displaced()
        return found

    def figures(self, now_ms: float) -> dict[str, list[tuple[float, dict[str, Any]]]]:
        """Return the account for the metrics page: values with their labels, by name."""
        ages = dict.fromkeys((*map(str, AGE_BOUNDS_S), "+Inf"), 0)
        for share in self._shares:
            if share.kind is Kind.CONNECTIONS:
                age_s = (now_ms - share.started_ms) / 1000.0
                bound = next((str(b) for b in AGE_BOUNDS_S if age_s <= b), "+Inf")
                ages[bound] += 1
        return {
            "memory_held_bytes": [(float(v), {"kind": k.value}) for k, v in self.held.items()],
            "memory_held_peak_bytes": [(float(self.peak_bytes), {})],
            "memory_limit_bytes": [(float(self.limit_bytes), {})],
            "memory_refusals_total": [
                (float(count), {"reason": reason}) for reason, count in self.refusals.items()
            ],
            "caller_connections": [(float(v), {"age_s_up_to": k}) for k, v in ages.items()],
        }

    def count_refusal(self, reason: str) -> None:
        """Count a request or connection that was refused."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
