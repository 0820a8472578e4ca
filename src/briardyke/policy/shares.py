"""Divide each limit into leased shares for the entry processes; runs in the control leader."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from briardyke.agreed.configuration import ANY
from briardyke.policy.beliefs import Belief
from briardyke.policy.buckets import IN_USE_VERSION
from briardyke.policy.fairness import max_min, whole_numbers
from briardyke.wire.messages import LimitShare, ShareDemand

if TYPE_CHECKING:
    from collections.abc import Container, Mapping, Sequence

    from briardyke.agreed.configuration import Limit

QUANTITIES = ("requests_per_second", "concurrent_requests", "tokens_per_second")
# Demand is granted with this headroom, so that growth between two syncs is not refused.
HEADROOM = 1.25
# Part of a rate that is divided evenly whatever the demand, so that an instance without demand
# can admit a first request at once.
RESERVE = 0.05
# Rates are rounded down to this part of the limit; equal values make grants recognisable.
RATE_STEPS = 4096

_Key = tuple[str, str, str]


@attrs.define
class _Instance:
    """Hold an entry process's last report.

    :param heard_at_ms: time of arrival.
    :param held: shares that it held, by limit and caller.
    :param demand: its demand, by limit and caller.
    """

    heard_at_ms: float
    held: dict[tuple[str, str], LimitShare]
    demand: dict[tuple[str, str], ShareDemand]


class ShareAllocator:
    """Grant shares whose sum never exceeds the limit over all instances that may use one.

    :param lease_ms: share lease.
    :param became_leader_at_ms: start of this leader's term; during the first lease only reported
        shares are confirmed, since the previous leader may have granted the rest.
    :param inherited: limits that an earlier leader may have granted shares of; ``None`` for all.
        A limit that did not exist before the term needs no wait.
    """

    def __init__(
        self,
        lease_ms: float,
        became_leader_at_ms: float,
        inherited: Container[str] | None = None,
    ) -> None:
        self._lease_ms = lease_ms
        self._inherited = inherited
        self._confirm_until_ms = became_leader_at_ms + lease_ms
        self._instances: dict[str, _Instance] = {}
        self._beliefs: dict[_Key, dict[str, Belief]] = {}
        self._callers: dict[str, set[str]] = {}

    def report(
        self,
        instance_id: str,
        held: Sequence[LimitShare],
        demand: Sequence[ShareDemand],
        heard_at_ms: float,
    ) -> None:
        """Take an instance's report.

        :param instance_id: the instance.
        :param held: shares that it holds; concurrency in use counts as held.
        :param demand: what it wanted since its last report.
        :param heard_at_ms: arrival of the sync request that the next grants answer. The lease
            that an answer gives counts from before this time. A status is reported once; a copy
            that a relay repeats says nothing about what the instance holds now.
        """
        instance = _Instance(
            heard_at_ms,
            {(s.limit_id, s.caller): s for s in held if s.version != IN_USE_VERSION},
            {(wanted.limit_id, wanted.caller): wanted for wanted in demand},
        )
        self._instances[instance_id] = instance
        in_use = {
            (s.limit_id, s.caller, "concurrent_requests"): float(s.concurrent_requests or 0)
            for s in held
            if s.version == IN_USE_VERSION
        }
        for limit_id, caller in (*instance.held, *instance.demand, *(key[:2] for key in in_use)):
            self._track(limit_id, caller)
        expires_ms = heard_at_ms + self._lease_ms
        for (limit_id, caller, quantity), beliefs in self._beliefs.items():
            share = instance.held.get((limit_id, caller)) or instance.held.get((limit_id, ANY))
            value = float(getattr(share, quantity) or 0.0) if share is not None else 0.0
            beliefs.setdefault(instance_id, Belief()).reported(
                value, in_use.get((limit_id, caller, quantity), 0.0), expires_ms
            )

    def extend(self, instance_id: str, heard_at_ms: float) -> None:
        """Note that an answer may extend an instance's lease without a new report from it.

        A relay repeats the last report of each instance in every sync of its own, and may extend
        the instance's lease up to the evidence of that sync.

        :param instance_id: the instance.
        :param heard_at_ms: arrival of the sync request.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        instance.heard_at_ms = max(instance.heard_at_ms, heard_at_ms)
        for beliefs in self._beliefs.values():
            if instance_id in beliefs:
                beliefs[instance_id].extend(heard_at_ms, heard_at_ms + self._lease_ms)

    def allocate(
        self, limits: Mapping[str, Limit], now_ms: float, version: int = 0
    ) -> dict[str, list[LimitShare]]:
        """Return new shares for every instance whose lease may still run.

        :param limits: limits of the current version, by id.
        :param now_ms: current time.
        :param version: configuration version of the limits.
        :return: shares by instance id; caller ``*`` is the share of each caller without a share of
            its own at that instance.
        """
        self._expire(now_ms)
        shares: dict[str, list[LimitShare]] = {instance_id: [] for instance_id in self._instances}
        for limit_id, limit in limits.items():
            self._track(limit_id, limit.caller)
            defaults: dict[str, dict[str, float]] = {}
            if limit.caller == ANY:
                callers = [ANY, *sorted(self._callers[limit_id] - {ANY})]
            else:
                callers = [limit.caller]
            for caller in callers:
                granted: dict[str, dict[str, float]] = {}
                for quantity in QUANTITIES:
                    total = getattr(limit, quantity)
                    if total is not None:
                        granted[quantity] = self._grant(
                            (limit_id, caller, quantity), total, defaults.get(quantity), now_ms
                        )
                if caller == ANY:
                    defaults = granted
                for instance_id, granted_shares in shares.items():
                    concurrent = granted.get("concurrent_requests", {}).get(instance_id)
                    granted_shares.append(
                        LimitShare(
                            limit_id,
                            caller,
                            version,
                            granted.get("requests_per_second", {}).get(instance_id),
                            None if concurrent is None else int(concurrent),
                            granted.get("tokens_per_second", {}).get(instance_id),
                        )
                    )
        return shares

    def _track(self, limit_id: str, caller: str) -> None:
        callers = self._callers.setdefault(limit_id, set())
        if caller in callers:
            return
        callers.add(caller)
        for quantity in QUANTITIES:
            # An instance without a share for this caller uses its default share.
            defaults = self._beliefs.get((limit_id, ANY, quantity), {})
            self._beliefs[limit_id, caller, quantity] = {
                instance_id: belief.copy() for instance_id, belief in defaults.items()
            }

    def _expire(self, now_ms: float) -> None:
        for instance_id, instance in list(self._instances.items()):
            if now_ms >= instance.heard_at_ms + self._lease_ms:
                del self._instances[instance_id]
        for beliefs in self._beliefs.values():
            for instance_id, belief in list(beliefs.items()):
                if belief.expire(now_ms):
                    del beliefs[instance_id]
        for limit_id, callers in self._callers.items():
            for caller in list(callers):
                if caller != ANY and self._follows_default(limit_id, caller, now_ms):
                    callers.discard(caller)
                    for quantity in QUANTITIES:
                        del self._beliefs[limit_id, caller, quantity]

    def _follows_default(self, limit_id: str, caller: str, now_ms: float) -> bool:
        """Return whether a caller without demand holds its default share everywhere."""
        for instance in self._instances.values():
            if (limit_id, caller) in instance.demand:
                return False
        for quantity in QUANTITIES:
            defaults = self._beliefs.get((limit_id, ANY, quantity), {})
            for instance_id, belief in self._beliefs[limit_id, caller, quantity].items():
                value = belief.only(now_ms)
                default = defaults.get(instance_id, Belief()).only(now_ms)
                if value is None or value != default:
                    return False
        return True

    def _grant(
        self, key: _Key, total: float, defaults: Mapping[str, float] | None, now_ms: float
    ) -> dict[str, float]:
        """Grant one quantity of one limit for one caller and record the grants."""
        beliefs = self._beliefs[key]
        whole = key[2] == "concurrent_requests"
        inherited = self._inherited is None or key[0] in self._inherited
        if inherited and now_ms < self._confirm_until_ms:
            grants = self._confirm(beliefs, total, whole, now_ms)
        else:
            targets = self._targets(key, total, whole, defaults)
            grants = self._grow(beliefs, targets, total, whole, now_ms)
        for instance_id, value in grants.items():
            expires_ms = self._instances[instance_id].heard_at_ms + self._lease_ms
            beliefs.setdefault(instance_id, Belief()).granted(value, expires_ms, total)
        return grants

    def _confirm(
        self, beliefs: Mapping[str, Belief], total: float, whole: bool, now_ms: float
    ) -> dict[str, float]:
        """Return the reported shares, reduced in proportion when the limit was lowered."""
        held = {
            instance_id: beliefs[instance_id].confirmed(now_ms) if instance_id in beliefs else 0.0
            for instance_id in self._instances
        }
        used = sum(held.values())
        if used > total:
            held = {instance_id: value * total / used for instance_id, value in held.items()}
        return self._within(beliefs, held, total, whole, now_ms)

    def _within(
        self,
        beliefs: Mapping[str, Belief],
        wanted: Mapping[str, float],
        total: float,
        whole: bool,
        now_ms: float,
    ) -> dict[str, float]:
        """Cut what is wanted so that it fits beside every grant made under the present limit."""
        counted = {i: belief.entitled(now_ms, total) for i, belief in beliefs.items()}
        used = sum(counted.values())
        grants = {}
        for instance_id, value in wanted.items():
            own = counted.get(instance_id, 0.0)
            value = max(0.0, min(value, total - (used - own)))
            grants[instance_id] = float(math.floor(value + 1e-9)) if whole else value
            used += max(0.0, grants[instance_id] - own)
        return grants

    def _targets(
        self, key: _Key, total: float, whole: bool, defaults: Mapping[str, float] | None
    ) -> dict[str, float]:
        limit_id, caller, quantity = key
        wanted = {
            instance_id: instance.demand.get((limit_id, caller))
            for instance_id, instance in sorted(self._instances.items())
        }
        if defaults is not None and not any(wanted.values()):
            return dict(defaults)
        reserve = 0.0 if whole else total * RESERVE / max(1, len(wanted))
        demands = {
            instance_id: max(
                reserve, getattr(demand, quantity) * HEADROOM if demand is not None else 0.0
            )
            for instance_id, demand in wanted.items()
        }
        if whole:
            # One unit each while that takes at most a quarter of the limit.
            for instance_id in list(demands)[: int(total // 4)]:
                demands[instance_id] = max(1.0, demands[instance_id])
            parts = max_min(demands, float(int(total)))
            return {i: float(n) for i, n in whole_numbers(parts, int(total)).items()}
        step = total / RATE_STEPS
        if step <= 0.0:
            return dict.fromkeys(demands, 0.0)
        return {i: math.floor(v / step) * step for i, v in max_min(demands, total).items()}

    def _grow(
        self,
        beliefs: Mapping[str, Belief],
        targets: Mapping[str, float],
        total: float,
        whole: bool,
        now_ms: float,
    ) -> dict[str, float]:
        """Move shares towards their targets without counting any part of the limit twice.

        Shares shrink at once. They grow only by what no instance can be using any more.
        """
        largest = {instance_id: belief.largest(now_ms) for instance_id, belief in beliefs.items()}
        spare = total - sum(largest.values())
        if spare < 0.0:
            # The limit was lowered, or an instance reports more than this leader granted, such as
            # requests that outlived their lease. A report then entitles to nothing by itself.
            wanted = {
                i: min(target, beliefs[i].entitled(now_ms) if i in beliefs else 0.0)
                for i, target in targets.items()
            }
            return self._within(beliefs, wanted, total, whole, now_ms)
        missing = {
            instance_id: target - largest.get(instance_id, 0.0)
            for instance_id, target in targets.items()
            if target > largest.get(instance_id, 0.0)
        }
        grants = dict(targets)
        if not missing or sum(missing.values()) <= spare:
            return grants
        level = max_min(missing, spare)
        for instance_id, want in missing.items():
            part = min(want, level[instance_id])
            grants[instance_id] = largest.get(instance_id, 0.0) + (
                float(math.floor(part + 1e-9)) if whole else part
            )
        if whole:
            left = int(spare + 1e-9) - sum(int(grants[i] - largest.get(i, 0.0)) for i in missing)
            for instance_id in sorted(missing, key=lambda i: (-missing[i], i))[: max(0, left)]:
                if grants[instance_id] < targets[instance_id]:
                    grants[instance_id] += 1.0
        return grants
