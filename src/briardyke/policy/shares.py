"""Divide each limit into leased shares for the entry processes; runs in the control leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.agreed.configuration import ANY
from briardyke.policy.buckets import IN_USE_VERSION
from briardyke.policy.caller_limits import QUANTITIES, CallerLimit, effective_share, make_share
from briardyke.policy.division import confirm_shares, move_shares, target_shares
from briardyke.wire.messages import LimitShare

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping, Sequence

    from briardyke.agreed.configuration import Limit
    from briardyke.wire.messages import ShareDemand

# Number of caller limits per allocation that are divided again only because an instance joined or
# left. Their current shares stay safe meanwhile, and the bound keeps many instances that join at
# once from delaying replies.
DEFERRED_PER_ALLOCATION = 8

_Key = tuple[str, str]


@attrs.define
class _Instance:
    """Last report of an entry process.

    :param heard_at_ms: arrival of the last sync request whose reply may extend its lease.
    :param held: reported shares, by limit and caller.
    :param in_use: concurrency in use above its share, by limit and caller.
    :param demand_keys: limits and callers that it has demand for.
    """

    heard_at_ms: float
    held: dict[_Key, LimitShare] = attrs.field(factory=dict)
    in_use: dict[_Key, float] = attrs.field(factory=dict)
    demand_keys: set[_Key] = attrs.field(factory=set)


class ShareAllocator:
    """Grant shares so that what all instances together may be using never exceeds the limit.

    A limit is divided again for a caller only after a report, the limit or the set of instances
    changed. Until then its last grants stay; the share bounds include them already.

    :param lease_ms: duration of a share lease.
    :param became_leader_at_ms: start of this leader's term; during the first lease only reported
        shares are confirmed, since the previous leader may have granted the rest.
    :param inherited: limits that an earlier leader may have granted shares of; ``None`` for all.
        A limit that did not exist before the term is granted without waiting for a lease.
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
        self._confirming = True
        self._instances: dict[str, _Instance] = {}
        self._next_expiry_ms = float("-inf")
        self._limits: dict[str, Limit] = {}
        self._removed: dict[str, float] = {}
        self._caller_limits: dict[str, dict[str, CallerLimit]] = {}
        # Dictionaries serve as ordered sets, so that the order does not depend on string hashes.
        self._changed: dict[_Key, None] = {}
        self._deferred: dict[_Key, None] = {}

    def report(
        self,
        instance_id: str,
        held: Sequence[LimitShare],
        demand: Sequence[ShareDemand],
        heard_at_ms: float,
    ) -> None:
        """Record an instance's report.

        Each status must be reported once only; a copy that a relay repeats says nothing about what
        the instance holds now.

        :param instance_id: the instance.
        :param held: shares that it holds; concurrency in use counts as held.
        :param demand: its demand since its last report.
        :param heard_at_ms: arrival of the sync request that the next grants reply to. The lease
            that the reply gives starts before this time.
        """
        self.extend_lease(instance_id, heard_at_ms)
        instance = self._instances.get(instance_id)
        if instance is None:
            instance = self._instances[instance_id] = _Instance(heard_at_ms)
            self._defer_all()
        previous_held, previous_in_use = instance.held, instance.in_use
        instance.held = {(s.limit_id, s.caller): s for s in held if s.version != IN_USE_VERSION}
        instance.in_use = {
            (s.limit_id, s.caller): float(s.concurrent_requests or 0)
            for s in held
            if s.version == IN_USE_VERSION
        }
        self._report_demand(instance_id, instance, demand)
        self._report_held(instance_id, instance, previous_held, previous_in_use)

    def extend_lease(self, instance_id: str, heard_at_ms: float) -> None:
        """Record that a reply may extend an instance's lease without a new report from it.

        A relay repeats the last report of each instance in every sync of its own, and the reply to
        that sync may extend the instance's lease, counted from that sync.

        :param instance_id: the instance.
        :param heard_at_ms: arrival of the sync request.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        if heard_at_ms >= instance.heard_at_ms + self._lease_ms:
            self._forget(instance_id)
        else:
            instance.heard_at_ms = max(instance.heard_at_ms, heard_at_ms)

    def allocate(
        self,
        limits: Mapping[str, Limit],
        now_ms: float,
        version: int = 0,
        instance_ids: Iterable[str] | None = None,
    ) -> dict[str, list[LimitShare]]:
        """Divide the limits that changed since the last call and return the instances' shares.

        :param limits: limits of the current version, by id.
        :param now_ms: current time.
        :param version: configuration version of the limits.
        :param instance_ids: instances that get a reply; ``None`` for all known ones.
        :return: shares by instance id. Caller ``*`` is the default share of each caller without a
            share of its own at that instance; callers without demand there whose share equals the
            default are omitted.
        """
        self._expire(now_ms)
        self._update_limits(limits, now_ms)
        if self._confirming and now_ms >= self._confirm_until_ms:
            self._confirming = False
            self._defer_all()
        # Default shares come first, since callers without demand are granted the same.
        for key in [key for key in self._changed if key[1] == ANY]:
            self._divide(key)
        for key in list(self._changed):
            self._divide(key)
        for key in list(self._deferred)[:DEFERRED_PER_ALLOCATION]:
            self._divide(key)
        callers = {limit_id: sorted(self._granted_callers(limit_id)) for limit_id in limits}
        answered = self._instances if instance_ids is None else instance_ids
        return {
            instance_id: (
                self._shares(instance_id, callers, version)
                if instance_id in self._instances
                else []
            )
            for instance_id in answered
        }

    def _report_demand(
        self, instance_id: str, instance: _Instance, demand: Sequence[ShareDemand]
    ) -> None:
        demand_keys = {(d.limit_id, d.caller) for d in demand}
        for key in sorted(instance.demand_keys - demand_keys):
            caller_limit = self._caller_limits.get(key[0], {}).get(key[1])
            if caller_limit is not None and caller_limit.demand.pop(instance_id, None) is not None:
                self._changed[key] = None
        instance.demand_keys = demand_keys
        for item in demand:
            if self._caller_limit(item.limit_id, item.caller).report_demand(instance_id, item):
                self._changed[item.limit_id, item.caller] = None

    def _report_held(
        self,
        instance_id: str,
        instance: _Instance,
        previous_held: Mapping[_Key, LimitShare],
        previous_in_use: Mapping[_Key, float],
    ) -> None:
        changed = [
            k for k in instance.held if not _same_values(instance.held[k], previous_held.get(k))
        ]
        changed += [k for k in previous_held if k not in instance.held]
        changed += [k for k in instance.in_use if instance.in_use[k] != previous_in_use.get(k)]
        changed += [k for k in previous_in_use if k not in instance.in_use]
        for limit_id, caller in changed:
            self._caller_limit(limit_id, caller)
        keys = dict.fromkeys(changed)
        for limit_id, caller in changed:
            if caller == ANY:
                # Callers without a share of their own use the default share, which has changed.
                others = ((limit_id, other) for other in self._caller_limits[limit_id])
                keys.update((k, None) for k in others if k not in instance.held)
        for limit_id, caller in keys:
            share = effective_share(instance.held, limit_id, caller, ANY)
            used = instance.in_use.get((limit_id, caller), 0.0)
            self._caller_limits[limit_id][caller].report_held(instance_id, share, used)
            self._changed[limit_id, caller] = None

    def _caller_limit(self, limit_id: str, caller: str) -> CallerLimit:
        by_caller = self._caller_limits.setdefault(limit_id, {})
        caller_limit = by_caller.get(caller)
        if caller_limit is None:
            # An instance without a share for this caller uses its default share.
            caller_limit = by_caller[caller] = (
                by_caller[ANY].copy_bounds() if ANY in by_caller else CallerLimit()
            )
            key = (limit_id, caller)
            for instance_id, instance in self._instances.items():
                if key in instance.held or key in instance.in_use:
                    used = instance.in_use.get(key, 0.0)
                    share = effective_share(instance.held, limit_id, caller, ANY)
                    caller_limit.report_held(instance_id, share, used)
            self._changed[limit_id, caller] = None
        return caller_limit

    def _defer_all(self) -> None:
        for limit_id, by_caller in self._caller_limits.items():
            for caller in by_caller:
                # Default shares are what a new instance starts with.
                (self._changed if caller == ANY else self._deferred)[limit_id, caller] = None

    def _update_limits(self, limits: Mapping[str, Limit], now_ms: float) -> None:
        for limit_id in self._caller_limits:
            if limit_id not in limits and limit_id not in self._removed:
                self._limits.pop(limit_id, None)
                self._removed[limit_id] = now_ms
        for limit_id, limit in limits.items():
            if self._limits.get(limit_id) != limit:
                self._limits[limit_id] = limit
                self._removed.pop(limit_id, None)
                self._caller_limit(limit_id, limit.caller)
                for caller, caller_limit in self._caller_limits[limit_id].items():
                    caller_limit.grants = {}
                    self._changed[limit_id, caller] = None
        for limit_id, removed_ms in list(self._removed.items()):
            # No reply has contained shares of the limit since its removal, so all their leases have
            # ended.
            if now_ms >= removed_ms + self._lease_ms:
                del self._removed[limit_id]
                self._caller_limits.pop(limit_id, None)

    def _expire(self, now_ms: float) -> None:
        if now_ms < self._next_expiry_ms:
            return
        for instance_id, instance in list(self._instances.items()):
            if now_ms >= instance.heard_at_ms + self._lease_ms:
                self._forget(instance_id)
        heard = (instance.heard_at_ms for instance in self._instances.values())
        self._next_expiry_ms = min(heard, default=now_ms) + self._lease_ms

    def _forget(self, instance_id: str) -> None:
        del self._instances[instance_id]
        for by_caller in self._caller_limits.values():
            for caller_limit in by_caller.values():
                caller_limit.remove_instance(instance_id)
        self._defer_all()

    def _granted_callers(self, limit_id: str) -> list[str]:
        by_caller, limit = self._caller_limits[limit_id], self._limits[limit_id]
        return list(by_caller) if limit.caller == ANY else [limit.caller]

    def _divide(self, key: _Key) -> None:
        """Divide one limit for one caller among the instances and record the grants."""
        self._changed.pop(key, None)
        self._deferred.pop(key, None)
        limit_id, caller = key
        limit = self._limits.get(limit_id)
        caller_limit = self._caller_limits.get(limit_id, {}).get(caller)
        if limit is None or caller_limit is None or limit.caller not in (ANY, caller):
            return
        default = (
            self._caller_limits[limit_id][ANY] if caller != ANY and limit.caller == ANY else None
        )
        if default is not None and caller_limit.matches_default(default, self._instances):
            del self._caller_limits[limit_id][caller]
            return
        inherited = self._inherited is None or limit_id in self._inherited
        previous = dict(caller_limit.grants)
        for quantity in QUANTITIES:
            total = getattr(limit, quantity)
            if total is None:
                continue
            whole = quantity == "concurrent_requests"
            bounds = caller_limit.bounds[quantity]
            if inherited and self._confirming:
                grants = confirm_shares(bounds, self._instances, total, whole)
            elif default is not None and not caller_limit.demand:
                defaults = {i: default.grants[quantity].get(i, 0.0) for i in self._instances}
                grants = move_shares(bounds, defaults, total, whole)
            else:
                demand = dict.fromkeys(sorted(self._instances), 0.0)
                demand.update((i, getattr(d, quantity)) for i, d in caller_limit.demand.items())
                grants = move_shares(bounds, target_shares(demand, total, whole), total, whole)
            caller_limit.record_grants(quantity, grants, total)
        if caller == ANY and caller_limit.grants != previous:
            for other, dependent in self._caller_limits[limit_id].items():
                if other != ANY and not dependent.demand:
                    self._deferred[limit_id, other] = None

    def _shares(
        self, instance_id: str, callers: Mapping[str, Sequence[str]], version: int
    ) -> list[LimitShare]:
        shares = []
        for limit_id, names in callers.items():
            by_caller = self._caller_limits[limit_id]
            default = by_caller[ANY].granted_values(instance_id) if ANY in names else None
            for caller in names:
                caller_limit = by_caller[caller]
                values = caller_limit.granted_values(instance_id)
                if caller == ANY or values != default or instance_id in caller_limit.demand:
                    shares.append(make_share(limit_id, caller, version, values))
        return shares


def _same_values(share: LimitShare, previous: LimitShare | None) -> bool:
    return (
        previous is not None
        and share.requests_per_second == previous.requests_per_second
        and share.concurrent_requests == previous.concurrent_requests
        and share.tokens_per_second == previous.tokens_per_second
    )
