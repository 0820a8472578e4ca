"""Tests of the decision whether a request may move from a silent upstream."""

from __future__ import annotations

import trio

from briardyke.addresses import Address
from briardyke.fleet.records import READY, Upstream
from briardyke.gateway.silence import live_alternatives
from briardyke.gateway.upstreams import UpstreamState
from briardyke.http.h11_client import ConnectionPool

STALL_S = 1.3
STALL_MS = STALL_S * 1000.0


def upstream(name: str, in_flight: int = 1) -> UpstreamState:
    """Return an upstream with requests that has just sent something."""
    row = Upstream(name, 1, 1, "pool", "127.0.0.1:1", "dc", READY, 8, [])
    state = UpstreamState(row, ConnectionPool(Address("127.0.0.1", 1)))
    for _ in range(in_flight):
        state.begin_request()
    if in_flight:
        state.record_sign()
    return state


def chosen(current: UpstreamState, *others: UpstreamState) -> list[str]:
    """Return the ids of the upstreams to which a request may move."""
    found = live_alternatives(STALL_MS, current, others, (current, *others))
    return [state.row.upstream_id for state in found]


class TestSilenceOfOne:
    """Covers a request whose upstream alone is silent."""

    async def test_upstreams_that_were_alive_meanwhile_come_first(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, alive, unknown = upstream("a"), upstream("b"), upstream("c", in_flight=0)
        for _ in range(13):
            await trio.sleep(STALL_S / 13)
            alive.record_sign()
        assert chosen(current, alive, unknown) == ["b"]

    async def test_silent_one_is_left_out_beside_an_unknown_one(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, alive = upstream("a"), upstream("b")
        silent, unknown = upstream("c"), upstream("d", in_flight=0)
        for _ in range(13):
            await trio.sleep(STALL_S / 13)
            alive.record_sign()
        found = live_alternatives(
            STALL_MS, current, (silent, unknown), (current, alive, silent, unknown)
        )
        assert [s.row.upstream_id for s in found] == ["d"]

    async def test_upstream_without_requests_is_accepted_when_nothing_else_is_known(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, unknown = upstream("a"), upstream("b", in_flight=0)
        await trio.sleep(STALL_S)
        assert chosen(current, unknown) == ["b"]

    async def test_upstream_that_is_silent_to_one_request_only_may_be_left(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, alive = upstream("a"), upstream("b")
        for _ in range(13):
            await trio.sleep(STALL_S / 13)
            current.record_sign()
            alive.record_sign()
        assert chosen(current, alive) == ["b"]


class TestSharedSilence:
    """Covers a request whose upstream is silent together with others."""

    async def test_no_upstream_is_accepted(self, autojump_clock: trio.testing.MockClock) -> None:
        current, silent, unknown = upstream("a"), upstream("b"), upstream("c", in_flight=0)
        await trio.sleep(STALL_S)
        assert chosen(current, silent, unknown) == []

    async def test_few_others_are_not_overloaded(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, alive = upstream("a"), upstream("b")
        silent = [upstream(name) for name in "cd"]
        for _ in range(13):
            await trio.sleep(STALL_S / 13)
            alive.record_sign()
        assert chosen(current, alive, *silent) == []

    async def test_no_upstream_is_accepted_while_they_revive(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, revived, unknown = upstream("a"), upstream("b"), upstream("c", in_flight=0)
        await trio.sleep(STALL_S)
        revived.record_sign()
        assert chosen(current, revived, unknown) == []

    async def test_current_upstream_that_has_revived_is_kept(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, alive = upstream("a"), upstream("b")
        for _ in range(13):
            await trio.sleep(STALL_S / 13)
            alive.record_sign()
        current.record_sign()
        assert chosen(current, alive) == []

    async def test_revived_upstream_is_accepted_when_the_silence_of_the_other_goes_on(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        current, revived = upstream("a"), upstream("b")
        await trio.sleep(STALL_S)
        revived.record_sign()
        for _ in range(7):
            await trio.sleep(0.1)
            revived.record_sign()
        assert chosen(current, revived) == ["b"]
