"""Admit requests within this entry process's leased shares of the limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.agreed.configuration import ANY, Limit
from briardyke.errors import ErrorKind, Failure
from briardyke.policy.buckets import IN_USE_VERSION, NO_SHARE_RETRY_MS, DecayingRate, TokenBucket
from briardyke.policy.types import LimitRequest, Permit
from briardyke.wire.messages import LimitShare, ShareDemand

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Use that has been idle this long is dropped; its buckets would be full again by then.
IDLE_FORGET_MS = 30_000.0
# Retry hint when a share of concurrent requests is fully in use; when one will end is unknown.
CONCURRENCY_RETRY_MS = 250


@attrs.define
class _CallerUse:
    """Use of and demand for one limit by one caller.

    :param requests: bucket for the request rate.
    :param tokens: bucket for the token rate.
    :param in_use: admitted requests that are not released.
    :param peak_demand: highest concurrency requested since the last report.
    :param refused: refusals for concurrency that no ended request has made up for since the last
        report.
    :param request_demand: rate of arriving requests.
    :param token_demand: rate of estimated tokens of arriving requests.
    :param last_arrival_ms: time of the last arrival.
    """

    requests: TokenBucket = attrs.field(factory=TokenBucket)
    tokens: TokenBucket = attrs.field(factory=TokenBucket)
    in_use: int = 0
    peak_demand: int = 0
    refused: int = 0
    request_demand: DecayingRate = attrs.field(factory=DecayingRate)
    token_demand: DecayingRate = attrs.field(factory=DecayingRate)
    last_arrival_ms: float = 0.0


class RequestLimiter:
    """Enforce leased shares of the limits; one per entry process."""

    def __init__(self) -> None:
        self._limits: dict[str, Limit] = {}
        self._by_scope: dict[tuple[str, str, str], list[str]] = {}
        self._shares: dict[tuple[str, str], LimitShare] = {}
        self._expires_at_ms = float("-inf")
        self._uses: dict[tuple[str, str], _CallerUse] = {}
        self._permits: dict[int, Permit] = {}
        self._next_permit_id = 1

    def apply(
        self, limits: Mapping[str, Limit], shares: Sequence[LimitShare], expires_at_ms: float
    ) -> None:
        """Replace limits and shares.

        A share above its limit, such as one granted under an earlier version, is reduced to it.

        :param limits: limits of the version in force, by id.
        :param shares: this instance's shares; caller ``*`` is the default share of each caller
            without a share of its own.
        :param expires_at_ms: end of the share lease.
        """
        if limits != self._limits:
            self._limits = dict(limits)
            self._by_scope = {}
            for limit_id, limit in sorted(limits.items()):
                scope = (limit.caller, limit.model, limit.adapter)
                self._by_scope.setdefault(scope, []).append(limit_id)
        self._shares = {
            (share.limit_id, share.caller): _cap_share(share, limits[share.limit_id])
            for share in shares
            if share.limit_id in limits
        }
        self._expires_at_ms = expires_at_ms
        for (limit_id, caller), use in self._uses.items():
            self._set_rates(use, self._share(limit_id, caller))

    def admit(self, request: LimitRequest, now_ms: float) -> Result[Permit, Failure]:
        """Admit a request against every limit that applies to it, or against none.

        :param request: the request; its estimated tokens are charged at once.
        :param now_ms: current time.
        :return: a permit to release later, or ``rate_limited`` or ``concurrency_limited`` with the
            time after which a retry can succeed; ``version_unconfirmed`` before the first
            :meth:`apply`.
        """
        if self._expires_at_ms == float("-inf"):
            text = "no configuration has been received yet"
            return Err(Failure(ErrorKind.VERSION_UNCONFIRMED, text, retry_after_ms=1000))
        limit_ids = self._matching_limits(request)
        failure: Failure | None = None
        for limit_id in limit_ids:
            use = self._use(limit_id, request.caller)
            use.last_arrival_ms = now_ms
            use.request_demand.add(1.0, now_ms)
            use.token_demand.add(request.estimated_tokens, now_ms)
            use.peak_demand = max(use.peak_demand, use.in_use + use.refused + 1)
            found = self._check(limit_id, request.caller, use, now_ms)
            if found is not None and (
                failure is None or (found.retry_after_ms or 0) > (failure.retry_after_ms or 0)
            ):
                failure = found
        if failure is not None:
            return Err(failure)
        for limit_id in limit_ids:
            use = self._use(limit_id, request.caller)
            use.in_use += 1
            # Unlimited quantities are not charged, so that a limit set later starts without debt.
            if self._limits[limit_id].requests_per_second is not None:
                use.requests.charge(1.0)
            if self._limits[limit_id].tokens_per_second is not None:
                use.tokens.charge(request.estimated_tokens)
        permit = Permit(self._next_permit_id, request, tuple(limit_ids))
        self._next_permit_id += 1
        self._permits[permit.permit_id] = permit
        return Ok(permit)

    def release(self, permit: Permit, used_tokens: int, now_ms: float) -> None:
        """Release a permit and replace the estimated tokens by the actual number.

        Releasing a permit again has no effect.

        :param permit: permit of the request.
        :param used_tokens: prompt and generated tokens; 0 when the request was not run.
        :param now_ms: current time.
        """
        if self._permits.pop(permit.permit_id, None) is None:
            return
        for limit_id in permit.limit_ids:
            use = self._uses.get((limit_id, permit.request.caller))
            if use is None:
                continue
            use.in_use -= 1
            use.refused = max(0, use.refused - 1)
            limit = self._limits.get(limit_id)
            if limit is not None and limit.tokens_per_second is not None:
                use.tokens.wait_ms(now_ms)
                use.tokens.charge(used_tokens - permit.request.estimated_tokens)

    def take_demand(self, now_ms: float) -> list[ShareDemand]:
        """Return the demand for each limit since the last call and start a new interval."""
        report = []
        for (limit_id, caller), use in list(self._uses.items()):
            idle = now_ms - use.last_arrival_ms > IDLE_FORGET_MS
            if (idle and not use.in_use) or limit_id not in self._limits:
                if not use.in_use:
                    del self._uses[limit_id, caller]
                continue
            report.append(
                ShareDemand(
                    limit_id,
                    caller,
                    use.request_demand.per_second(now_ms),
                    float(max(use.peak_demand, use.in_use)),
                    use.token_demand.per_second(now_ms),
                )
            )
            use.peak_demand = use.in_use
            use.refused = 0
        return report

    def held_shares(self, now_ms: float) -> list[LimitShare]:
        """Return the shares that this instance holds, for the next sync.

        Concurrency in use above the share, after the share shrank or its lease ended, is reported
        as an additional item of version -1 until the requests end, so that the leader does not
        grant it to another instance meanwhile. The rest of an expired share is not reported, since
        other instances may hold it by now.

        :param now_ms: current time, not before the send time that the next lease starts from.
        """
        held = self._shares if now_ms < self._expires_at_ms else {}
        report = list(held.values())
        for (limit_id, caller), use in self._uses.items():
            share = held.get((limit_id, caller)) or held.get((limit_id, ANY))
            granted = share.concurrent_requests if share is not None else 0
            limit = self._limits.get(limit_id)
            limited = limit is not None and limit.concurrent_requests is not None
            if limited and use.in_use > (granted or 0):
                report.append(LimitShare(limit_id, caller, IN_USE_VERSION, None, use.in_use, None))
        return report

    def _matching_limits(self, request: LimitRequest) -> list[str]:
        callers = dict.fromkeys((request.caller, ANY))
        models = dict.fromkeys((request.model, ANY))
        adapters = dict.fromkeys((request.adapter, ANY))
        return [
            limit_id
            for caller in callers
            for model in models
            for adapter in adapters
            for limit_id in self._by_scope.get((caller, model, adapter), ())
        ]

    def _share(self, limit_id: str, caller: str) -> LimitShare | None:
        return self._shares.get((limit_id, caller)) or self._shares.get((limit_id, ANY))

    def _use(self, limit_id: str, caller: str) -> _CallerUse:
        use = self._uses.get((limit_id, caller))
        if use is None:
            use = self._uses[limit_id, caller] = _CallerUse()
            self._set_rates(use, self._share(limit_id, caller))
        return use

    @staticmethod
    def _set_rates(use: _CallerUse, share: LimitShare | None) -> None:
        use.requests.set_rate((share.requests_per_second or 0.0) if share else 0.0)
        use.tokens.set_rate((share.tokens_per_second or 0.0) if share else 0.0)

    def _check(self, limit_id: str, caller: str, use: _CallerUse, now_ms: float) -> Failure | None:
        limit = self._limits[limit_id]
        share = self._share(limit_id, caller) if now_ms < self._expires_at_ms else None
        waits: list[int] = []
        for limited, bucket in (
            (limit.requests_per_second is not None, use.requests),
            (limit.tokens_per_second is not None, use.tokens),
        ):
            if limited:
                wait = bucket.wait_ms(now_ms) if share is not None else None
                waits.append(NO_SHARE_RETRY_MS if wait is None else wait)
        if any(waits):
            return Failure(
                ErrorKind.RATE_LIMITED,
                f"rate limit {limit_id} is reached",
                retry_after_ms=max(waits),
            )
        if limit.concurrent_requests is not None:
            granted = (share.concurrent_requests or 0) if share is not None else 0
            if use.in_use >= granted:
                use.refused += 1
                return Failure(
                    ErrorKind.CONCURRENCY_LIMITED,
                    f"concurrency limit {limit_id} is reached",
                    retry_after_ms=CONCURRENCY_RETRY_MS if granted else NO_SHARE_RETRY_MS,
                )
        return None


def _cap_share(share: LimitShare, limit: Limit) -> LimitShare:
    concurrent = _minimum(share.concurrent_requests, limit.concurrent_requests)
    return attrs.evolve(
        share,
        requests_per_second=_minimum(share.requests_per_second, limit.requests_per_second),
        concurrent_requests=None if concurrent is None else int(concurrent),
        tokens_per_second=_minimum(share.tokens_per_second, limit.tokens_per_second),
    )


def _minimum(share: float | None, limit: float | None) -> float | None:
    return share if share is None or limit is None else min(share, limit)
