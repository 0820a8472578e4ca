"""Divide each limit into leased shares for the entry processes; runs in the control leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.agreed.configuration import ANY
from briardyke.policy.buckets import IN_USE_VERSION
from briardyke.policy.division import confirm, grow, targets
from briardyke.policy.pairs import QUANTITIES, Pair, effective, share_of
from briardyke.wire.messages import LimitShare

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping, Sequence

    from briardyke.agreed.configuration import Limit
    from briardyke.wire.messages import ShareDemand

# Pairs per allocation that are divided anew only because an instance came or went. Their shares
# are safe meanwhile, so that many instances coming at once do not delay answers.
WAITING_PER_CALL = 8

_Key = tuple[str, str]


@attrs.define
class _Instance:
    """Hold an entry process's last report.

    :param heard_at_ms: arrival of the last sync request whose answer may extend its lease.
    :param held: shares that it held, by limit and caller.
    :param in_use: concurrency in use above its share, by limit and caller.
    :param wanted: limits and callers that it has demand for.
    """

    heard_at_ms: float
    held: dict[_Key, LimitShare] = attrs.field(factory=dict)
    in_use: dict[_Key, float] = attrs.field(factory=dict)
    wanted: set[_Key] = attrs.field(factory=set)


class ShareAllocator:
    """Grant shares whose sum never exceeds the limit over all instances that may use one.

    A pair of limit and caller is divided anew only after a report, a limit or the set of instances
    changed for it. Until then its last grants stay, which the beliefs already count.

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
        self._confirming = True
        self._instances: dict[str, _Instance] = {}
        self._next_expiry_ms = float("-inf")
        self._limits: dict[str, Limit] = {}
        self._removed: dict[str, float] = {}
        self._pairs: dict[str, dict[str, Pair]] = {}
        # Dictionaries instead of sets, so that the order does not depend on string hashes.
        self._changed: dict[_Key, None] = {}
        self._waiting: dict[_Key, None] = {}

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
        self.extend_lease(instance_id, heard_at_ms)
        instance = self._instances.get(instance_id)
        if instance is None:
            instance = self._instances[instance_id] = _Instance(heard_at_ms)
            self._wait_for_all()
        before, used_before = instance.held, instance.in_use
        instance.held = {(s.limit_id, s.caller): s for s in held if s.version != IN_USE_VERSION}
        instance.in_use = {
            (s.limit_id, s.caller): float(s.concurrent_requests or 0)
            for s in held
            if s.version == IN_USE_VERSION
        }
        self._report_demand(instance_id, instance, demand)
        self._report_held(instance_id, instance, before, used_before)

    def extend_lease(self, instance_id: str, heard_at_ms: float) -> None:
        """Note that an answer may extend an instance's lease without a new report from it.

        A relay repeats the last report of each instance in every sync of its own, and may extend
        the instance's lease up to the evidence of that sync.

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
        """Divide what changed since the last call and return the shares of some instances.

        :param limits: limits of the current version, by id.
        :param now_ms: current time.
        :param version: configuration version of the limits.
        :param instance_ids: instances that are answered; ``None`` for all known ones.
        :return: shares by instance id. Caller ``*`` is the share of each caller without a share of
            its own at that instance; a caller without demand there that has the same is left out.
        """
        self._expire(now_ms)
        self._take_limits(limits, now_ms)
        if self._confirming and now_ms >= self._confirm_until_ms:
            self._confirming = False
            self._wait_for_all()
        # Default shares first, since the division for callers without demand follows them.
        for key in [key for key in self._changed if key[1] == ANY]:
            self._divide(key)
        for key in list(self._changed):
            self._divide(key)
        for key in list(self._waiting)[:WAITING_PER_CALL]:
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
        wanted = {(d.limit_id, d.caller) for d in demand}
        for key in sorted(instance.wanted - wanted):
            pair = self._pairs.get(key[0], {}).get(key[1])
            if pair is not None and pair.demand.pop(instance_id, None) is not None:
                self._changed[key] = None
        instance.wanted = wanted
        for one in demand:
            if self._track(one.limit_id, one.caller).report_demand(instance_id, one):
                self._changed[one.limit_id, one.caller] = None

    def _report_held(
        self,
        instance_id: str,
        instance: _Instance,
        before: Mapping[_Key, LimitShare],
        used_before: Mapping[_Key, float],
    ) -> None:
        changed = [k for k in instance.held if not _same(instance.held[k], before.get(k))]
        changed += [k for k in before if k not in instance.held]
        changed += [k for k in instance.in_use if instance.in_use[k] != used_before.get(k)]
        changed += [k for k in used_before if k not in instance.in_use]
        for limit_id, caller in changed:
            self._track(limit_id, caller)
        keys = dict.fromkeys(changed)
        for limit_id, caller in changed:
            if caller == ANY:
                # Callers without a share of their own use the default share.
                others = ((limit_id, other) for other in self._pairs[limit_id])
                keys.update((k, None) for k in others if k not in instance.held)
        for limit_id, caller in keys:
            share = effective(instance.held, limit_id, caller, ANY)
            used = instance.in_use.get((limit_id, caller), 0.0)
            self._pairs[limit_id][caller].report_held(instance_id, share, used)
            self._changed[limit_id, caller] = None

    def _track(self, limit_id: str, caller: str) -> Pair:
        pairs = self._pairs.setdefault(limit_id, {})
        pair = pairs.get(caller)
        if pair is None:
            # An instance without a share for this caller uses its default share.
            pair = pairs[caller] = pairs[ANY].copy_beliefs() if ANY in pairs else Pair()
            key = (limit_id, caller)
            for instance_id, instance in self._instances.items():
                if key in instance.held or key in instance.in_use:
                    used = instance.in_use.get(key, 0.0)
                    share = effective(instance.held, limit_id, caller, ANY)
                    pair.report_held(instance_id, share, used)
            self._changed[limit_id, caller] = None
        return pair

    def _wait_for_all(self) -> None:
        for limit_id, pairs in self._pairs.items():
            for caller in pairs:
                # Default shares are what a new instance starts with.
                (self._changed if caller == ANY else self._waiting)[limit_id, caller] = None

    def _take_limits(self, limits: Mapping[str, Limit], now_ms: float) -> None:
        for limit_id in self._pairs:
            if limit_id not in limits and limit_id not in self._removed:
                self._limits.pop(limit_id, None)
                self._removed[limit_id] = now_ms
        for limit_id, limit in limits.items():
            if self._limits.get(limit_id) != limit:
                self._limits[limit_id] = limit
                self._removed.pop(limit_id, None)
                self._track(limit_id, limit.caller)
                for caller, pair in self._pairs[limit_id].items():
                    pair.grants = {}
                    self._changed[limit_id, caller] = None
        for limit_id, removed_ms in list(self._removed.items()):
            # No answer since then carried shares of it, so every lease of one has ended.
            if now_ms >= removed_ms + self._lease_ms:
                del self._removed[limit_id]
                self._pairs.pop(limit_id, None)

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
        for pairs in self._pairs.values():
            for pair in pairs.values():
                pair.forget(instance_id)
        self._wait_for_all()

    def _granted_callers(self, limit_id: str) -> list[str]:
        pairs, limit = self._pairs[limit_id], self._limits[limit_id]
        return list(pairs) if limit.caller == ANY else [limit.caller]

    def _divide(self, key: _Key) -> None:
        """Divide one limit for one caller and record the grants."""
        self._changed.pop(key, None)
        self._waiting.pop(key, None)
        limit_id, caller = key
        limit = self._limits.get(limit_id)
        pair = self._pairs.get(limit_id, {}).get(caller)
        if limit is None or pair is None or limit.caller not in (ANY, caller):
            return
        default = self._pairs[limit_id][ANY] if caller != ANY and limit.caller == ANY else None
        if default is not None and pair.equals(default, self._instances):
            del self._pairs[limit_id][caller]
            return
        inherited = self._inherited is None or limit_id in self._inherited
        previous = dict(pair.grants)
        for quantity in QUANTITIES:
            total = getattr(limit, quantity)
            if total is None:
                continue
            whole = quantity == "concurrent_requests"
            beliefs = pair.beliefs[quantity]
            if inherited and self._confirming:
                grants = confirm(beliefs, self._instances, total, whole)
            elif default is not None and not pair.demand:
                wanted = {i: default.grants[quantity].get(i, 0.0) for i in self._instances}
                grants = grow(beliefs, wanted, total, whole)
            else:
                demand = dict.fromkeys(sorted(self._instances), 0.0)
                demand.update((i, getattr(d, quantity)) for i, d in pair.demand.items())
                grants = grow(beliefs, targets(demand, total, whole), total, whole)
            pair.record(quantity, grants, total)
        if caller == ANY and pair.grants != previous:
            for other, dependent in self._pairs[limit_id].items():
                if other != ANY and not dependent.demand:
                    self._waiting[limit_id, other] = None

    def _shares(
        self, instance_id: str, callers: Mapping[str, Sequence[str]], version: int
    ) -> list[LimitShare]:
        shares = []
        for limit_id, names in callers.items():
            pairs = self._pairs[limit_id]
            default = pairs[ANY].values(instance_id) if ANY in names else None
            for caller in names:
                pair = pairs[caller]
                values = pair.values(instance_id)
                if caller == ANY or values != default or instance_id in pair.demand:
                    shares.append(share_of(limit_id, caller, version, values))
        return shares


def _same(share: LimitShare, before: LimitShare | None) -> bool:
    return (
        before is not None
        and share.requests_per_second == before.requests_per_second
        and share.concurrent_requests == before.concurrent_requests
        and share.tokens_per_second == before.tokens_per_second
    )
