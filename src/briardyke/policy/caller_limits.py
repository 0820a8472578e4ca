"""Define the leader's state of one limit for one caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.policy.share_bounds import ShareBound
from briardyke.wire.messages import LimitShare, ShareDemand

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

QUANTITIES = ("requests_per_second", "concurrent_requests", "tokens_per_second")
# A demand that differs by at most this fraction from the one last used does not cause a new
# division. It is well below the headroom of a grant.
DEMAND_TOLERANCE = 0.05


@attrs.define
class CallerLimit:
    """Reports and grants of one limit for one caller.

    :param bounds: what each instance may still hold, by quantity and instance.
    :param demand: demand by instance, for instances that have any.
    :param grants: shares last granted, by quantity that the limit sets and instance.
    """

    bounds: dict[str, dict[str, ShareBound]] = attrs.field(
        factory=lambda: {quantity: {} for quantity in QUANTITIES}
    )
    demand: dict[str, ShareDemand] = attrs.field(factory=dict)
    grants: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def copy_bounds(self) -> CallerLimit:
        """Return a copy with the same bounds, without demand and grants."""
        bounds = {
            quantity: {i: bound.copy() for i, bound in known.items()}
            for quantity, known in self.bounds.items()
        }
        return CallerLimit(bounds)

    def report_held(self, instance_id: str, share: LimitShare | None, in_use: float) -> None:
        """Record what an instance holds; an instance that never held anything needs no bound."""
        for quantity, bounds in self.bounds.items():
            value = float(getattr(share, quantity) or 0.0) if share is not None else 0.0
            used = in_use if quantity == "concurrent_requests" else 0.0
            bound = bounds.get(instance_id)
            if bound is None:
                if not value and not used:
                    continue
                bound = bounds[instance_id] = ShareBound()
            bound.record_report(value, used)

    def report_demand(self, instance_id: str, demand: ShareDemand) -> bool:
        """Record an instance's demand; return whether the change calls for a new division."""
        known = self.demand.get(instance_id)
        if known is not None and all(
            abs(getattr(known, q) - getattr(demand, q))
            <= DEMAND_TOLERANCE * max(getattr(known, q), getattr(demand, q))
            for q in QUANTITIES
        ):
            return False
        self.demand[instance_id] = demand
        return True

    def record_grants(self, quantity: str, grants: dict[str, float], total: float) -> None:
        """Record the grants that replies may contain from now on.

        Grants are cleared when the limit changes, so an unchanged value was granted under the same
        total and needs no new record.
        """
        previous = self.grants.get(quantity, {})
        self.grants[quantity] = grants
        bounds = self.bounds[quantity]
        for instance_id, value in grants.items():
            if previous.get(instance_id) == value:
                continue
            bound = bounds.get(instance_id)
            if bound is None:
                bound = bounds[instance_id] = ShareBound()
                # A later report without a share then refers to the time before this grant.
                bound.record_report(0.0, 0.0)
            bound.record_grant(value, total)

    def remove_instance(self, instance_id: str) -> None:
        """Remove an instance whose lease has ended."""
        self.demand.pop(instance_id, None)
        for bounds in self.bounds.values():
            bounds.pop(instance_id, None)
        for grants in self.grants.values():
            grants.pop(instance_id, None)

    def granted_values(self, instance_id: str) -> tuple[float | None, ...]:
        """Return an instance's granted share by quantity, ``None`` for unlimited quantities."""
        grants = self.grants
        return tuple([grants[q].get(instance_id, 0.0) if q in grants else None for q in QUANTITIES])

    def matches_default(self, default: CallerLimit, instances: Iterable[str]) -> bool:
        """Return whether every instance is known to hold its default share and none has demand."""
        if self.demand:
            return False
        nothing = ShareBound()
        for quantity, bounds in self.bounds.items():
            defaults = default.bounds[quantity]
            for instance_id in instances:
                value = bounds.get(instance_id, nothing).exact()
                if value is None or value != defaults.get(instance_id, nothing).exact():
                    return False
        return True


def make_share(
    limit_id: str, caller: str, version: int, values: tuple[float | None, ...]
) -> LimitShare:
    """Build the message that grants these values."""
    rate, concurrent, tokens = values
    whole = None if concurrent is None else int(concurrent)
    return LimitShare(limit_id, caller, version, rate, whole, tokens)


def effective_share(
    held: Mapping[tuple[str, str], LimitShare], limit_id: str, caller: str, default: str
) -> LimitShare | None:
    """Return the share that an instance uses for a caller: its own one or the default share."""
    return held.get((limit_id, caller)) or held.get((limit_id, default))
