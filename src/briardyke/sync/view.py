"""Define the state that a process receives through sync, and apply replies to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from briardyke.agreed.merge_patch import merge_patch
from briardyke.sync.digest import UpstreamDigest
from briardyke.sync.documents import DocumentHistory
from briardyke.sync.lease import VersionLease
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from briardyke.wire.messages import InstanceStatus, LimitShare, SyncReply


class SyncedView:
    """Local copy of replicated and soft state, with the evidence of its age.

    :ivar lease: how long the held version may be treated as current.
    :ivar documents: held configuration versions.
    :ivar digest: upstreams, also fed by announcements and probes of this process.
    :ivar listed: entry instances that may be advertised to callers.
    :ivar shares: limit shares by instance id.
    """

    def __init__(self, started_at_ms: float) -> None:
        """Start without evidence.

        :param started_at_ms: start of the process on the runtime's clock.
        """
        self.lease = VersionLease()
        self.documents = DocumentHistory()
        self.digest = UpstreamDigest()
        self.listed: list[InstanceStatus] = []
        self.listed_sequence = 0
        self.shares: dict[str, list[LimitShare]] = {}
        self.changed = Notifier()
        self.responder_id = ""
        self.echo_ms = 0.0
        self.held_digest = 0
        self.held_instances = ""
        self._known_upstreams: set[str] = set()
        self._started_at_ms = started_at_ms

    def apply(self, reply: SyncReply, sent_at_ms: float, now_ms: float) -> bool:
        """Apply a reply.

        :param reply: the responder's answer.
        :param sent_at_ms: when the request was sent, on the runtime's clock.
        :param now_ms: the runtime's clock.
        :return: whether the responder is current; if not, the caller should use another one.
        """
        if reply.version < self.documents.version:
            return False  # the responder is outdated; versions never go back
        if not self._apply_version(reply):
            return False
        self._apply_tables(reply, sent_at_ms, now_ms)
        self.shares = reply.shares
        if reply.confirmed_age_ms is None:
            return False
        as_of_ms = sent_at_ms - reply.confirmed_age_ms
        # Evidence from before the start of the process could be older than a version that this
        # process held before it restarted.
        if as_of_ms >= self._started_at_ms:
            self.lease.confirm(as_of_ms)
        return reply.confirmed_age_ms < self.lease.lease_ms / 2

    def _apply_version(self, reply: SyncReply) -> bool:
        if reply.version == self.documents.version:
            return True
        document: dict[str, Any] | None = reply.configuration
        if document is None and reply.configuration_patch is not None:
            document = merge_patch(self.documents.document, reply.configuration_patch)
        if document is None:
            return False
        self.documents.append(reply.version, document)
        self.changed.notify()
        return True

    def _apply_tables(self, reply: SyncReply, sent_at_ms: float, now_ms: float) -> None:
        before = self.digest.lifecycle_sequence
        transit_ms = now_ms - sent_at_ms
        for row in reply.upstreams:
            # The true age is between age_ms and age_ms plus the transit time; use the upper bound.
            aged = attrs.evolve(row, age_ms=row.age_ms + transit_ms)
            self.digest.observe(aged, now_ms)
        self._apply_freshness(reply, sent_at_ms)
        if reply.instances is not None:
            self.listed = reply.instances
            self.listed_sequence += 1
        self.responder_id = reply.digest_id
        self.echo_ms = reply.replied_at_ms
        self.held_digest = reply.digest
        self.held_instances = reply.instances_tag
        if reply.instances is not None or self.digest.lifecycle_sequence != before:
            self.changed.notify()

    def _apply_freshness(self, reply: SyncReply, sent_at_ms: float) -> None:
        """Refresh only the upstreams that this responder lists."""
        if reply.whole_digest:
            self._known_upstreams.clear()
        self._known_upstreams.update(row.upstream_id for row in reply.upstreams)
        self._known_upstreams.difference_update(reply.forgotten)
        fresh = self._known_upstreams.difference(reply.stale_ages_ms)
        self.digest.refresh(fresh, sent_at_ms - reply.fresh_age_ms)
        for upstream_id, age_ms in reply.stale_ages_ms.items():
            self.digest.refresh((upstream_id,), sent_at_ms - age_ms)
