"""Replay a day's load on 88 entry instances with 16 accounts, without a network."""

from __future__ import annotations

import heapq
import random
from functools import partial
from typing import TYPE_CHECKING

import pytest
from quota_world import BOUNDS, World

from briardyke.accounts.types import AccountQuota

if TYPE_CHECKING:
    from collections.abc import Callable

INSTANCES = 88
LATENCY_MS = 4.0
# Rates of the accounts in tokens per second, a few of them large.
RATES = (
    *(122_585, 61_000, 41_000, 30_000, 24_000, 20_000, 17_000, 15_000),
    *(13_000, 12_000, 11_000, 9_000, 7_500, 6_500, 5_500, 4_800),
)
SIZES = (200.0, 646.0 + 150.0, 1460.0 + 200.0)
USUAL_FRACTION = 0.6
HOT_MS = (20_000.0, 31_000.0)
END_MS = 40_000.0


class Replay:
    """Requests of all accounts at random instances, each sent once."""

    def __init__(self, hot: str, factor: float, seed: int) -> None:
        """Prepare.

        :param hot: account that sends many times its usual load for some seconds.
        :param factor: how many times.
        """
        self.hot = hot
        self.factor = factor
        self.refused: dict[str, int] = {}
        self.sent: dict[str, int] = {}
        quotas = {f"a{n}": AccountQuota(r, r, True, 200) for n, r in enumerate(RATES)}
        self.world = World(INSTANCES, quotas)
        self.random = random.Random(seed)
        self.start_ms = self.world.now_ms
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def run(self) -> World:
        world = self.world
        for account in world.quotas:
            self._at(self.random.uniform(0.0, 1000.0), partial(self._arrive, account))
        while self.events and self.events[0][0] < self.start_ms + END_MS:
            world.now_ms, _, act = heapq.heappop(self.events)
            act()
        return world

    def _at(self, delay_ms: float, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.world.now_ms + delay_ms, self.count, act))

    def _arrive(self, account: str) -> None:
        number = self.random.randrange(INSTANCES)
        since_ms = self.world.now_ms - self.start_ms
        is_hot = account == self.hot and HOT_MS[0] <= since_ms < HOT_MS[1]
        waiter = self.world.request(number, account, self.random.choice(SIZES))
        phase = "hot" if is_hot else "calm" if since_ms > 2000.0 else "start"
        key = f"{account} {phase}"
        self.sent[key] = self.sent.get(key, 0) + 1

        def count_refusal() -> None:
            if waiter.outcome is not None and waiter.outcome.is_err():
                self.refused[key] = self.refused.get(key, 0) + 1

        self._at(500.0, count_refusal)
        self._send(number)
        rate_per_ms = self.world.quotas[account].rate_per_s / 1000.0 * USUAL_FRACTION
        rate_per_ms *= self.factor if is_hot else 1.0
        mean_ms = sum(SIZES) / len(SIZES) / rate_per_ms
        self._at(self.random.expovariate(1.0 / mean_ms), partial(self._arrive, account))

    def _send(self, number: int) -> None:
        if self.world.send(number):
            self._at(LATENCY_MS / 2.0, partial(self.world.handle, number))
            self._at(LATENCY_MS, partial(self._receive, number))
        elif number not in self.world.exchanges:
            ask_ms = self.world.instances[number].next_ask_ms()
            if ask_ms is not None:
                self._at(max(0.1, ask_ms - self.world.now_ms), partial(self._send, number))

    def _receive(self, number: int) -> None:
        self.world.deliver(number)
        self._send(number)

    def calm_refusals(self, name: str | None = None) -> float:
        """Return the refused fraction of requests of accounts that were not hot."""
        keys = [k for k in self.sent if k.endswith("calm") and not k.startswith(f"{self.hot} ")]
        keys = [k for k in keys if name is None or k.startswith(f"{name} ")]
        return sum(self.refused.get(k, 0) for k in keys) / sum(self.sent[k] for k in keys)


class TestHotAccount:
    """Guards against quotas that fail the accounts that keep them, or waste those exceeded."""

    @pytest.mark.parametrize("hot", ["a0", "a5", "a15"])
    @pytest.mark.parametrize("seed", [1, 2])
    def test_hot_account_uses_its_quota_and_the_others_are_not_refused(
        self, hot: str, seed: int
    ) -> None:
        replay = Replay(hot, 6.0, seed)
        world = replay.run()
        quota = world.quotas[hot]
        since_ms = replay.start_ms + HOT_MS[0] + 2000.0
        used = world.used(hot, since_ms, since_ms + 8000.0)
        assert used >= quota.rate_per_s * 8.0 * 0.95
        assert replay.calm_refusals() < 0.003
        for start_ms in range(0, int(END_MS), 500):
            at_ms = replay.start_ms + start_ms
            assert world.used(hot, at_ms, at_ms + 8000.0) <= BOUNDS.largest_use(quota)
