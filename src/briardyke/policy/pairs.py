"""Hold what the leader knows about one limit and caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.policy.beliefs import Belief
from briardyke.wire.messages import LimitShare, ShareDemand

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

QUANTITIES = ("requests_per_second", "concurrent_requests", "tokens_per_second")
# A demand that differs by less than this part from the one last used moves no shares. It is well
# below the headroom of a grant.
SIMILAR = 0.05


@attrs.define
class Pair:
    """Collect reports and grants of one limit for one caller.

    :param beliefs: what an instance may still hold, by quantity and instance.
    :param demand: demand by instance, of those that have any.
    :param grants: shares last granted, by quantity that the limit sets and instance.
    """

    beliefs: dict[str, dict[str, Belief]] = attrs.field(
        factory=lambda: {quantity: {} for quantity in QUANTITIES}
    )
    demand: dict[str, ShareDemand] = attrs.field(factory=dict)
    grants: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def copy_beliefs(self) -> Pair:
        """Return a pair with the same beliefs, without demand and grants."""
        beliefs = {
            quantity: {i: belief.copy() for i, belief in known.items()}
            for quantity, known in self.beliefs.items()
        }
        return Pair(beliefs)

    def report_held(self, instance_id: str, share: LimitShare | None, in_use: float) -> None:
        """Take what an instance holds; instances that never held anything need no belief."""
        for quantity, beliefs in self.beliefs.items():
            value = float(getattr(share, quantity) or 0.0) if share is not None else 0.0
            used = in_use if quantity == "concurrent_requests" else 0.0
            belief = beliefs.get(instance_id)
            if belief is None:
                if not value and not used:
                    continue
                belief = beliefs[instance_id] = Belief()
            belief.reported(value, used)

    def report_demand(self, instance_id: str, wanted: ShareDemand) -> bool:
        """Take an instance's demand; return whether it differs enough to move shares."""
        known = self.demand.get(instance_id)
        if known is not None and all(
            abs(getattr(known, q) - getattr(wanted, q))
            <= SIMILAR * max(getattr(known, q), getattr(wanted, q))
            for q in QUANTITIES
        ):
            return False
        self.demand[instance_id] = wanted
        return True

    def record(self, quantity: str, grants: dict[str, float], total: float) -> None:
        """Record grants that answers may carry from now on.

        Grants are cleared when the limit changes, so an equal value was granted under this total.
        """
        previous = self.grants.get(quantity, {})
        self.grants[quantity] = grants
        beliefs = self.beliefs[quantity]
        for instance_id, value in grants.items():
            if previous.get(instance_id) == value:
                continue
            belief = beliefs.get(instance_id)
            if belief is None:
                belief = beliefs[instance_id] = Belief()
                # Later reports of nothing refer to the time before this grant.
                belief.reported(0.0, 0.0)
            belief.granted(value, total)

    def forget(self, instance_id: str) -> None:
        """Drop an instance whose lease has ended."""
        self.demand.pop(instance_id, None)
        for beliefs in self.beliefs.values():
            beliefs.pop(instance_id, None)
        for grants in self.grants.values():
            grants.pop(instance_id, None)

    def values(self, instance_id: str) -> tuple[float | None, ...]:
        """Return an instance's granted share of each quantity, ``None`` where there is no limit."""
        grants = self.grants
        return tuple([grants[q].get(instance_id, 0.0) if q in grants else None for q in QUANTITIES])

    def equals(self, default: Pair, instances: Iterable[str]) -> bool:
        """Return whether every instance certainly holds its default share and none has demand."""
        if self.demand:
            return False
        nothing = Belief()
        for quantity, beliefs in self.beliefs.items():
            defaults = default.beliefs[quantity]
            for instance_id in instances:
                value = beliefs.get(instance_id, nothing).only()
                if value is None or value != defaults.get(instance_id, nothing).only():
                    return False
        return True


def share_of(
    limit_id: str, caller: str, version: int, values: tuple[float | None, ...]
) -> LimitShare:
    """Return the message for granted values."""
    rate, concurrent, tokens = values
    whole = None if concurrent is None else int(concurrent)
    return LimitShare(limit_id, caller, version, rate, whole, tokens)


def effective(
    held: Mapping[tuple[str, str], LimitShare], limit_id: str, caller: str, default: str
) -> LimitShare | None:
    """Return the share that an instance uses for a caller, its default share if none."""
    return held.get((limit_id, caller)) or held.get((limit_id, default))
