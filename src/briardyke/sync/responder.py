"""Answer sync requests from the local tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import attrs

from briardyke.clock import now_ms
from briardyke.sync.demand import DemandTable
from briardyke.sync.digest import UPSTREAM_SILENCE_MS
from briardyke.sync.instances import InstanceTable
from briardyke.wire.messages import SyncReply

if TYPE_CHECKING:
    from briardyke.sync.digest import UpstreamDigest
    from briardyke.sync.documents import DocumentHistory
    from briardyke.sync.notifier import Notifier
    from briardyke.wire.messages import InstanceStatus, LimitShare, SyncRequest

MAX_WAIT_MS = 1000.0


class LeadershipView(Protocol):
    """Source of the data that depends on whether this process is the leader."""

    def confirmed_age_ms(self) -> float | None:
        """Return the time since the held version was confirmed as current."""

    def instances(self) -> tuple[str, list[InstanceStatus]]:
        """Return the instance list with a tag that changes whenever the list does."""

    def shares(self, statuses: list[InstanceStatus]) -> dict[str, list[LimitShare]]:
        """Return the limit shares of the given instances."""

    def leader_hint(self) -> str:
        """Return the leader's peer address, empty when unknown."""


class Responder:
    """Responder that applies the reports of senders and returns the data that they lack."""

    def __init__(
        self,
        digest: UpstreamDigest,
        documents: DocumentHistory,
        changed: Notifier,
        leadership: LeadershipView,
    ) -> None:
        """Set up the responder with the given tables.

        :param digest: upstreams.
        :param documents: configuration versions.
        :param changed: wakes delayed replies.
        :param leadership: data that depends on leadership.
        """
        self.instances = InstanceTable()
        self.demand = DemandTable()
        self._announced_by: dict[str, set[str]] = {}
        self._latest_request: dict[str, int] = {}
        self._digest = digest
        self._documents = documents
        self._changed = changed
        self._leadership = leadership

    async def respond(self, request: SyncRequest) -> SyncReply:
        """Process a request and reply at once, or within ``wait_ms`` when nothing is new."""
        if request.request_number > self._latest_request.get(request.sender_id, 0):
            self._latest_request[request.sender_id] = request.request_number
            self._observe(request)
        if not self._has_changes_for(request):
            await self._changed.wait(min(request.wait_ms, MAX_WAIT_MS))
        return self._reply(request)

    def _observe(self, request: SyncRequest) -> None:
        now = now_ms()
        before = self._digest.lifecycle_sequence, self.instances.sequence
        # The request may have been delayed; it was sent after the reply whose time it echoes.
        same_responder = request.digest_id == self._digest.digest_id
        sent_at_ms = request.echo_ms if same_responder else now - UPSTREAM_SILENCE_MS
        transit_ms = max(0.0, now - sent_at_ms)
        self._merge_announcements(request, transit_ms, now)
        for status in request.statuses:
            aged = attrs.evolve(status, age_ms=status.age_ms + transit_ms)
            self.instances.observe(aged, now)
        self.demand.observe(request.sender_id, request.demand, now)
        if (self._digest.lifecycle_sequence, self.instances.sequence) != before:
            self._changed.notify()

    def _merge_announcements(self, request: SyncRequest, transit_ms: float, now: float) -> None:
        known = self._announced_by.setdefault(request.sender_id, set())
        if request.whole_announcements:
            known.clear()
        for row in request.announcements:
            known.add(row.upstream_id)
            aged = attrs.evolve(row, age_ms=row.age_ms + transit_ms)
            self._digest.observe_for_forwarding(aged, now)
        known.difference_update(request.departed)
        fresh = known.difference(request.stale_ages_ms)
        heard_at_ms = now - transit_ms - request.fresh_age_ms
        self._digest.refresh_for_forwarding(fresh, heard_at_ms, now)
        for upstream_id, age_ms in request.stale_ages_ms.items():
            self._digest.refresh((upstream_id,), now - transit_ms - age_ms)

    def _has_changes_for(self, request: SyncRequest) -> bool:
        return (
            request.held_version != self._documents.version
            or request.digest_id != self._digest.digest_id
            or request.held_digest < self._digest.lifecycle_sequence
            or request.held_instances != self._leadership.instances()[0]
        )

    def _reply(self, request: SyncRequest) -> SyncReply:
        now = now_ms()
        forgotten = None
        if request.digest_id == self._digest.digest_id:
            forgotten = self._digest.forgotten_since(request.held_digest)
        since = 0 if forgotten is None else request.held_digest
        freshness = self._digest.freshness(now, request.data_centres)
        tag, instances = self._leadership.instances()
        whole, patch = self._document_for(request.held_version)
        return SyncReply(
            replied_at_ms=now,
            confirmed_age_ms=self._leadership.confirmed_age_ms(),
            version=self._documents.version,
            configuration=whole,
            configuration_patch=patch,
            digest_id=self._digest.digest_id,
            digest=self._digest.sequence,
            upstreams=self._digest.changes_since(
                since, now, request.data_centres, with_load=request.with_load
            ),
            whole_digest=forgotten is None,
            forgotten=forgotten or [],
            fresh_age_ms=freshness.fresh_age_ms,
            stale_ages_ms=freshness.stale_ages_ms,
            instances_tag=tag,
            instances=None if request.held_instances == tag else instances,
            shares=self._leadership.shares(request.statuses),
            leader_hint=self._leadership.leader_hint(),
        )

    def _document_for(
        self, held_version: int
    ) -> tuple[dict[str, Any] | None, dict[str, Any] | None]:
        if held_version == self._documents.version:
            return None, None
        patch = self._documents.patch_from(held_version)
        return (self._documents.document, None) if patch is None else (None, patch)
