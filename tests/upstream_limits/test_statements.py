"""Tests for the order of what upstreams state about their limits."""

from __future__ import annotations

import attrs
import pytest
import trio

from briardyke.upstream_limits.statements import (
    ENDED_TTL_MS,
    TIME_ERROR_MS,
    KnownLimits,
    LimitStatement,
)


def stated(limit_per_s: float | None, sent_age_ms: float = 0.0, **changes: int) -> LimitStatement:
    """Return a statement in a response that has just been received."""
    return attrs.evolve(LimitStatement("u", 1, limit_per_s, sent_age_ms, 0.0), **changes)


@pytest.fixture
async def limits() -> KnownLimits:
    """Return limits of which one of 2 requests a second was just stated."""
    known = KnownLimits()
    known.merge(stated(2.0, 50.0))
    return known


class TestOrder:
    """Covers responses that arrive in another order than they were made in."""

    async def test_newer_response_without_a_limit_ends_it(
        self, limits: KnownLimits, autojump_clock: trio.testing.MockClock
    ) -> None:
        await trio.sleep(1.0)
        assert limits.merge(stated(None, 500.0))
        assert limits.limit_per_s("u", 1) is None

    async def test_response_to_a_request_sent_before_does_not_end_it(
        self, limits: KnownLimits, autojump_clock: trio.testing.MockClock
    ) -> None:
        await trio.sleep(1.0)
        assert not limits.merge(stated(None, 1000.0))
        assert limits.limit_per_s("u", 1) == 2.0

    async def test_late_response_with_a_higher_limit_does_not_raise_it(
        self, limits: KnownLimits, autojump_clock: trio.testing.MockClock
    ) -> None:
        limits.merge(stated(1.0))
        await trio.sleep(1.0)
        limits.merge(stated(2.0, 1500.0))
        assert limits.limit_per_s("u", 1) == 1.0

    async def test_late_response_does_not_revive_an_ended_limit(
        self, limits: KnownLimits, autojump_clock: trio.testing.MockClock
    ) -> None:
        await trio.sleep(1.0)
        limits.merge(stated(None, 10.0))
        late = LimitStatement("u", 1, 2.0, 900.0, 10.0 + TIME_ERROR_MS)
        assert not limits.merge(late)
        assert limits.limit_per_s("u", 1) is None

    async def test_repeated_statement_does_not_look_newer(
        self, limits: KnownLimits, autojump_clock: trio.testing.MockClock
    ) -> None:
        statement = limits.statements()[0]
        await trio.sleep(5.0)
        aged = attrs.evolve(statement, sent_age_ms=5050.0, received_age_ms=5000.0)
        assert not limits.merge(aged)
        assert limits.merge(stated(None, 4000.0))

    async def test_lower_limit_holds_at_once(self, limits: KnownLimits) -> None:
        assert limits.merge(stated(0.5, 3000.0))
        assert limits.limit_per_s("u", 1) == 0.5


class TestProcesses:
    """Covers upstreams that start again under the id that they had."""

    async def test_new_process_has_no_limit(self, limits: KnownLimits) -> None:
        assert limits.limit_per_s("u", 2) is None

    async def test_late_response_of_the_former_process_is_ignored(
        self, limits: KnownLimits
    ) -> None:
        limits.merge(stated(3.0, incarnation=2))
        assert not limits.merge(stated(1.0))
        assert limits.limit_per_s("u", 2) == 3.0

    async def test_process_that_never_stated_a_limit_is_not_stored(self) -> None:
        known = KnownLimits()
        assert not known.merge(stated(None))
        assert known.statements() == []

    async def test_ended_limit_is_forgotten(
        self, limits: KnownLimits, autojump_clock: trio.testing.MockClock
    ) -> None:
        await trio.sleep(1.0)
        limits.merge(stated(None))
        await trio.sleep(ENDED_TTL_MS / 1000.0)
        assert limits.statements() == []
