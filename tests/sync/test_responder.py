"""Tests for a responder's handling of requests, on a mock clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from briardyke.clock import now_ms
from briardyke.sync.client import SyncClient, SyncReport
from briardyke.sync.digest import UPSTREAM_SILENCE_MS, UpstreamDigest
from briardyke.sync.documents import DocumentHistory
from briardyke.sync.notifier import Notifier
from briardyke.sync.responder import Responder
from briardyke.sync.view import SyncedView
from briardyke.wire.messages import InstanceStatus, LimitShare, SyncReply, UpstreamRow

if TYPE_CHECKING:
    import trio.testing

_ROW = UpstreamRow("u1", "inc-1", "engine", "127.0.0.1:1", "dc-1", sequence=1)


class _FakeLeader:
    """Provide the data of a process that is the leader."""

    def confirmed_age_ms(self) -> float | None:
        return 0.0

    def instances(self) -> tuple[str, list[InstanceStatus]]:
        return "leader:1", []

    def shares(self, statuses: list[InstanceStatus]) -> dict[str, list[LimitShare]]:
        return {}

    def leader_hint(self) -> str:
        return ""


class _Link:
    """Connect an entry process's view to a responder and deliver requests explicitly."""

    def __init__(self, *, with_load: bool = True) -> None:
        self.view = SyncedView(now_ms())
        self.digest = UpstreamDigest()
        self.responder = Responder(self.digest, DocumentHistory(), Notifier(), _FakeLeader())
        self.client = SyncClient(
            "entry-1",
            None,  # type: ignore[arg-type]
            tuple,
            self.view,
            lambda: SyncReport([], {}),
            wait_ms=250.0,
            with_load=with_load,
        )

    def request(self) -> Any:
        forwarding = self.view.digest.upstreams_to_forward(now_ms())
        sync_request = self.client._request(forwarding, now_ms())
        self.client._reported_digest = self.view.digest.sequence
        self.client._announced_ids = forwarding
        return attrs.evolve(sync_request, wait_ms=0.0)

    async def sync(self) -> SyncReply:
        sent_at_ms = now_ms()
        reply = await self.responder.respond(self.request())
        self.view.apply(reply, sent_at_ms, now_ms())
        return reply


class TestForwardedEvidence:
    """Checks that relayed or delayed requests do not keep a dead upstream alive."""

    async def test_unchanged_upstream_stays_alive_without_its_row(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        link = _Link(with_load=False)
        link.view.digest.observe_for_forwarding(_ROW, now_ms())
        for number in range(20):
            loaded = attrs.evolve(_ROW, sequence=number + 2, in_flight=number)
            link.view.digest.observe_for_forwarding(loaded, now_ms())
            request = link.request()
            assert len(request.announcements) == (1 if number == 0 else 0)
            link.view.apply(await link.responder.respond(request), now_ms(), now_ms())
            mock_clock.jump(0.5)
        assert list(link.digest.alive(now_ms())) == ["u1"]

    async def test_silent_upstream_is_dropped_within_the_bound(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        link = _Link()
        link.view.digest.observe_for_forwarding(_ROW, now_ms())
        for _ in range(13):
            await link.sync()
            mock_clock.jump(0.25)
        assert link.digest.alive(now_ms()) == {}

    async def test_delayed_request_counts_as_old_evidence(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        link = _Link()
        await link.sync()
        link.view.digest.observe_for_forwarding(_ROW, now_ms())
        late = link.request()
        mock_clock.jump(UPSTREAM_SILENCE_MS / 1000.0)
        await link.responder.respond(late)
        assert link.digest.alive(now_ms()) == {}

    async def test_request_overtaken_by_a_later_one_is_ignored(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        link = _Link()
        await link.sync()
        link.view.digest.observe_for_forwarding(_ROW, now_ms())
        overtaken = link.request()
        mock_clock.jump(3.5)  # the upstream has become silent in the meantime
        link.client._announced_ids = None
        await link.sync()
        await link.responder.respond(overtaken)
        await link.sync()
        assert link.digest.alive(now_ms()) == {}

    async def test_upstream_that_starts_announcing_here_is_reported(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        link = _Link(with_load=False)
        link.digest.observe(_ROW, now_ms())
        await link.sync()
        link.view.digest.observe_for_forwarding(attrs.evolve(_ROW, sequence=2), now_ms())
        assert [r.upstream_id for r in link.request().announcements] == ["u1"]
