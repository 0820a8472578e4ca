"""Choose an upstream for each attempt from reports and the outcomes of earlier attempts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.addresses import Address, parse_address
from briardyke.errors import ErrorKind, Failure
from briardyke.policy.latency import nominal_between_tokens_ms
from briardyke.policy.prefixes import PrefixMap
from briardyke.policy.selection import (
    COST_SPREAD,
    REMOTE_ROUND_TRIP_MS,
    filter_by_health,
    forecast_cost,
    pick_by_cost,
)
from briardyke.policy.types import AttemptOutcome, RoutingPolicy
from briardyke.policy.upstream_index import CandidateGroup, UpstreamIndex
from briardyke.policy.upstreams import Forecast, RoutedUpstream, RunningAttempt

if TYPE_CHECKING:
    import random

    from briardyke.policy.types import RouteRequest
    from briardyke.wire.messages import UpstreamRow

DEFAULT_UPSTREAM_SILENCE_MS = 3000.0
# Up to this many candidates are all considered. Of more, this many are sampled, half of them from
# the own data centre, which keeps the cost of a decision independent of the number of upstreams.
CANDIDATE_LIMIT = 10
# Bounds the estimated number of requests of all instances per request of this one, which is coarse.
OTHERS_FACTOR_LIMIT = 16.0
# Weight of one report in the moving average of own attempts in flight, and the lowest value used
# for that average.
OWN_MEAN_GAIN = 0.03
OWN_MEAN_MINIMUM = 1.0
# This fraction of the decisions picks a candidate without a recent response, since requests to
# other upstreams show nothing about its speed.
PROBE_FRACTION = 0.01
PROBE_IDLE_MS = 5000.0
INITIAL_MEAN_TOKENS = 100.0
MEAN_TOKENS_GAIN = 0.02
# Retry hint while an item is loading, which takes from milliseconds (adapter) to seconds (model).
LOADING_RETRY_MS = 500
NO_UPSTREAM_RETRY_MS = 1000


class RoutingTable:
    """Choose upstreams for attempts; one per entry process.

    :param policy: routing policy.
    :param own_data_centre: data centre of this process.
    :param random: source of randomness.
    :param upstream_silence_ms: time without evidence of life after which an upstream gets no
        new work.
    """

    def __init__(
        self,
        policy: RoutingPolicy,
        own_data_centre: str,
        random: random.Random,
        upstream_silence_ms: float = DEFAULT_UPSTREAM_SILENCE_MS,
    ) -> None:
        self._policy = policy
        self._own_data_centre = own_data_centre
        self._random = random
        self._silence_ms = upstream_silence_ms
        self._upstreams: dict[str, RoutedUpstream] = {}
        self._index = UpstreamIndex(own_data_centre)
        self._prefixes = PrefixMap()
        self._attempts: dict[str, RunningAttempt] = {}
        self._by_priority: Counter[int] = Counter()
        self._reported_total = 0
        self._own_mean = 0.0
        self._mean_tokens = INITIAL_MEAN_TOKENS

    def observe(self, row: UpstreamRow, now_ms: float) -> None:
        """Apply a report about an upstream from a digest, an announcement or a probe.

        A report older than the last one, or of an earlier sequence, is ignored.

        :param row: the report; its ``age_ms`` counts back from ``now_ms``.
        :param now_ms: time of arrival, or for a relayed report the time its request was sent.
        """
        as_of_ms = now_ms - row.age_ms
        upstream = self._upstreams.get(row.upstream_id)
        if upstream is None:
            upstream = self._upstreams[row.upstream_id] = RoutedUpstream(row)
        elif upstream.row.incarnation != row.incarnation:
            if as_of_ms < upstream.as_of_ms:
                return
            self._reported_total -= upstream.reported
            upstream = self._restarted(upstream, row)
        elif row.sequence < upstream.row.sequence or as_of_ms < upstream.as_of_ms:
            return
        else:
            self._reported_total -= upstream.reported
        self._own_mean += OWN_MEAN_GAIN * (len(self._attempts) - self._own_mean)
        upstream.apply_report(row, as_of_ms)
        self._reported_total += upstream.reported
        if row.cache_events:
            self._prefixes.apply(row.upstream_id, row.cache_events, now_ms)
        if row.lifecycle == "ready" and now_ms - as_of_ms < self._silence_ms:
            self._index.add(row)
        else:
            self._index.remove(row.upstream_id)

    def mark_alive(self, upstream_id: str, alive_ms: float) -> None:
        """Record that an upstream was alive at some time, without new load figures.

        :param upstream_id: the upstream; an unknown one is ignored.
        :param alive_ms: time at which it was alive.
        """
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or alive_ms <= upstream.alive_ms:
            return
        upstream.alive_ms = alive_ms
        if upstream.row.lifecycle == "ready" and not self._index.contains(upstream_id):
            self._index.add(upstream.row)

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream; the outcomes of its running attempts are ignored."""
        upstream = self._upstreams.pop(upstream_id, None)
        if upstream is not None:
            self._reported_total -= upstream.reported
            self._index.remove(upstream_id)
            self._prefixes.forget(upstream_id)

    def choose(self, request: RouteRequest, now_ms: float) -> Result[str, Failure]:
        """Choose an upstream for one attempt.

        :param request: what the attempt needs.
        :param now_ms: current time.
        :return: an upstream id; ``model_loading`` when the request should be held until the item
            is loaded; ``no_upstream`` when no upstream can serve it or all were excluded.
        """
        group = self._group(request)
        if self._policy is RoutingPolicy.ADAPTIVE:
            candidates = self._candidates(group, request, now_ms) if group else []
            if candidates:
                return Ok(self._choose_adaptive(candidates, request, now_ms))
        elif group is not None:
            chosen = self._choose_baseline(group, request, now_ms)
            if chosen is not None:
                return Ok(chosen)
        return Err(self._no_candidate(request, now_ms))

    def forecast(self, request: RouteRequest, now_ms: float) -> Forecast | None:
        """Return the best forecast among the candidates for a request, ``None`` without any."""
        group = self._group(request)
        candidates = self._candidates(group, request, now_ms) if group else []
        if not candidates:
            return None
        forecasts = self._forecasts(candidates, request, now_ms)
        return min(forecasts, key=forecast_cost)

    def begin(
        self, attempt_id: str, upstream_id: str, request: RouteRequest, now_ms: float
    ) -> None:
        """Record a dispatched attempt, so that the next decision takes it into account."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return
        (forecast,) = self._forecasts([upstream], request, now_ms)
        attempt = RunningAttempt(
            upstream_id,
            upstream.row.incarnation,
            request,
            now_ms,
            forecast.first_token_ms,
            upstream.first_token.value(now_ms),
            nominal_between_tokens_ms(upstream.estimated_load(self._others_factor()) + 1.0),
        )
        self._attempts[attempt_id] = attempt
        upstream.waiting[attempt_id] = attempt
        upstream.count_attempt(1, now_ms)
        self._by_priority[request.priority] += 1
        if request.prefix_hashes:
            self._prefixes.record_stored(upstream_id, request.prefix_hashes, now_ms)

    def first_token(self, attempt_id: str, now_ms: float) -> None:
        """Record the first token of an attempt and update the latency estimate."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.first_token_ms is not None:
            return
        attempt.first_token_ms = now_ms
        upstream = self._current(attempt)
        if upstream is not None:
            upstream.waiting.pop(attempt_id, None)
            ratio = max(0.1, now_ms - attempt.began_ms) / max(0.1, attempt.predicted_ms)
            upstream.first_token.observe(attempt.first_token_factor * ratio, now_ms)

    def finish(self, attempt_id: str, outcome: AttemptOutcome, tokens: int, now_ms: float) -> None:
        """Record the end of an attempt and update the estimates.

        :param attempt_id: the attempt.
        :param outcome: how it ended.
        :param tokens: tokens that it generated.
        :param now_ms: current time.
        """
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self._by_priority[attempt.route.priority] -= 1
        upstream = self._current(attempt)
        if upstream is None:
            return
        upstream.waiting.pop(attempt_id, None)
        upstream.count_attempt(-1, now_ms)
        if attempt.first_token_ms is not None and tokens > 1:
            gap_ms = max(0.1, now_ms - attempt.first_token_ms) / (tokens - 1)
            upstream.between_tokens.observe(gap_ms / attempt.nominal_gap_ms, now_ms)
        if outcome is AttemptOutcome.COMPLETED:
            upstream.health.record_success(now_ms)
            self._mean_tokens += MEAN_TOKENS_GAIN * (tokens - self._mean_tokens)
        elif outcome is not AttemptOutcome.CANCELLED:
            upstream.health.record_failure(now_ms)

    def address(self, upstream_id: str) -> Address:
        """Return the address of an upstream.

        :raises KeyError: when the upstream is unknown.
        """
        return parse_address(self._upstreams[upstream_id].row.address)

    def tick(self, now_ms: float) -> None:
        """Remove upstreams without recent evidence of life from the index."""
        for upstream_id, upstream in self._upstreams.items():
            if now_ms - upstream.alive_ms >= self._silence_ms:
                self._index.remove(upstream_id)

    def _restarted(self, upstream: RoutedUpstream, row: UpstreamRow) -> RoutedUpstream:
        self._prefixes.forget(row.upstream_id)
        self._index.remove(row.upstream_id)
        fresh = RoutedUpstream(row)
        fresh.health = upstream.health
        self._upstreams[row.upstream_id] = fresh
        return fresh

    def _current(self, attempt: RunningAttempt) -> RoutedUpstream | None:
        upstream = self._upstreams.get(attempt.upstream_id)
        if upstream is None or upstream.row.incarnation != attempt.incarnation:
            return None
        return upstream

    def _group(self, request: RouteRequest) -> CandidateGroup | None:
        if request.service:
            return self._index.by_patterns(request.patterns)
        return self._index.by_item(request.adapter or request.model)

    def _usable(self, upstream_id: str, now_ms: float) -> bool:
        upstream = self._upstreams[upstream_id]
        if now_ms - upstream.alive_ms < self._silence_ms:
            return True
        self._index.remove(upstream_id)
        return False

    def _candidates(
        self, group: CandidateGroup, request: RouteRequest, now_ms: float
    ) -> list[RoutedUpstream]:
        all_ids = group.all_ids
        if len(all_ids) <= CANDIDATE_LIMIT:
            ids = list(all_ids)
        else:
            half = CANDIDATE_LIMIT // 2
            holders = self._prefixes.cached_fractions(request.prefix_hashes)
            ids = list(
                {
                    **dict.fromkeys(group.local_ids.sample(half, self._random)),
                    **dict.fromkeys(all_ids.sample(half, self._random)),
                    **dict.fromkeys(i for i in holders if i in all_ids),
                }
            )
        usable = self._filter(ids, request, now_ms)
        if not usable and len(all_ids):
            # Every sampled candidate is silent or excluded, so all of the group are considered.
            usable = self._filter(list(all_ids), request, now_ms)[:CANDIDATE_LIMIT]
        return usable

    def _filter(self, ids: list[str], request: RouteRequest, now_ms: float) -> list[RoutedUpstream]:
        return [
            self._upstreams[i] for i in ids if i not in request.excluded and self._usable(i, now_ms)
        ]

    def _forecasts(
        self, candidates: list[RoutedUpstream], request: RouteRequest, now_ms: float
    ) -> list[Forecast]:
        cached = self._prefixes.cached_fractions(request.prefix_hashes)
        others = self._others_factor()
        queue_fraction = self._queue_fraction(request.priority)
        return [
            upstream.forecast(
                request.prompt_tokens * (1.0 - cached.get(upstream.row.upstream_id, 0.0)),
                others,
                queue_fraction,
                self._mean_tokens,
                now_ms,
            )
            for upstream in candidates
        ]

    def _choose_adaptive(
        self, candidates: list[RoutedUpstream], request: RouteRequest, now_ms: float
    ) -> str:
        healthy = filter_by_health(candidates, now_ms, self._random)
        if self._random.random() < PROBE_FRACTION:
            idle = [u for u in healthy if u.first_token.idle_ms(now_ms) > PROBE_IDLE_MS]
            if idle:
                return self._random.choice(idle).row.upstream_id
        costs = []
        for upstream, forecast in zip(
            healthy, self._forecasts(healthy, request, now_ms), strict=True
        ):
            local = upstream.row.data_centre == self._own_data_centre
            if not local:
                forecast = Forecast(
                    forecast.first_token_ms + REMOTE_ROUND_TRIP_MS, forecast.between_tokens_ms
                )
            costs.append((forecast_cost(forecast), local))
        return healthy[pick_by_cost(costs, COST_SPREAD, self._random)].row.upstream_id

    def _choose_baseline(
        self, group: CandidateGroup, request: RouteRequest, now_ms: float
    ) -> str | None:
        if self._policy is RoutingPolicy.RANDOM_OF_TWO:
            usable = self._filter(group.all_ids.sample(2, self._random), request, now_ms)
            if usable:
                return min(usable, key=lambda u: max(u.own_in_flight, u.reported)).row.upstream_id
        usable = self._filter(list(group.all_ids), request, now_ms)
        if not usable:
            return None
        if self._policy is RoutingPolicy.LEAST_OUTSTANDING:
            return min(usable, key=lambda u: u.own_in_flight).row.upstream_id
        group.cursor += 1
        return usable[group.cursor % len(usable)].row.upstream_id

    def _others_factor(self) -> float:
        own = max(OWN_MEAN_MINIMUM, self._own_mean)
        return min(OTHERS_FACTOR_LIMIT, max(1.0, self._reported_total / own))

    def _queue_fraction(self, priority: int) -> float:
        total = len(self._attempts)
        if total == 0:
            return 1.0
        ahead = sum(count for level, count in self._by_priority.items() if level >= priority)
        return ahead / total

    def _no_candidate(self, request: RouteRequest, now_ms: float) -> Failure:
        name = request.service or request.adapter or request.model
        group = self._group(request)
        tried = group is not None and any(self._usable(i, now_ms) for i in list(group.all_ids))
        if (
            not request.service
            and not tried
            and self._index.any_engine(request.patterns, lambda i: self._usable(i, now_ms))
        ):
            return Failure(
                ErrorKind.MODEL_LOADING,
                f"{name} is not loaded on any ready upstream yet",
                retry_after_ms=LOADING_RETRY_MS,
            )
        return Failure(
            ErrorKind.NO_UPSTREAM,
            f"no {'other ' if tried else ''}ready upstream can serve {name}",
            retry_after_ms=NO_UPSTREAM_RETRY_MS,
        )
