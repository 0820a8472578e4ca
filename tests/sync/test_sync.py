"""Tests for leases, ages and tables with explicit times."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from briardyke.agreed.merge_patch import merge_patch
from briardyke.sync.digest import SILENT_ROW_TTL_MS, UPSTREAM_SILENCE_MS, UpstreamDigest
from briardyke.sync.documents import DocumentHistory, create_merge_patch
from briardyke.sync.instances import INSTANCE_SILENCE_MS, InstanceTable
from briardyke.sync.lease import VERSION_LEASE_MS, VersionLease
from briardyke.sync.view import SyncedView
from briardyke.wire.messages import InstanceStatus, SyncReply, UpstreamRow

_ROW = UpstreamRow("u1", "inc-1", "engine", "127.0.0.1:1", "dc-1", sequence=1)
_STATUS = InstanceStatus("entry-1", "dc-1", "127.0.0.1:2", 1.0, "ready")


def _reply(**changes: Any) -> SyncReply:
    fields: dict[str, Any] = {
        "replied_at_ms": 0.0,
        "confirmed_age_ms": 0.0,
        "version": 1,
        "configuration": {"a": 1},
        "configuration_patch": None,
        "digest_id": "dig-1",
        "digest": 1,
        "upstreams": [],
        "whole_digest": True,
        "forgotten": [],
        "fresh_age_ms": 0.0,
        "stale_ages_ms": {},
        "instances_tag": "t",
        "instances": None,
        "shares": {},
    }
    return SyncReply(**{**fields, **changes})


class TestVersionLease:
    """Checks that a version is not used for longer than the lease allows."""

    def test_lease_counts_from_the_evidence_and_older_evidence_is_ignored(self) -> None:
        lease = VersionLease()
        assert not lease.valid(0.0)
        lease.confirm(1000.0)
        lease.confirm(400.0)
        assert lease.valid(1000.0 + VERSION_LEASE_MS - 1)
        assert not lease.valid(1000.0 + VERSION_LEASE_MS)


class TestSyncedView:
    """Checks that versions never go back and that evidence is not counted as too recent."""

    def test_slow_reply_extends_the_lease_from_its_request(self) -> None:
        view = SyncedView(0.0)
        assert view.apply(_reply(confirmed_age_ms=200.0), sent_at_ms=1000.0, now_ms=5000.0)
        assert view.lease.confirmed_at_ms == 800.0

    def test_older_version_is_ignored_and_confirms_nothing(self) -> None:
        view = SyncedView(0.0)
        view.apply(_reply(version=5), 1000.0, 1000.0)
        assert not view.apply(_reply(version=4, configuration={"a": 2}), 2000.0, 2000.0)
        assert (view.documents.version, view.lease.confirmed_at_ms) == (5, 1000.0)

    def test_evidence_from_before_the_start_confirms_nothing(self) -> None:
        view = SyncedView(started_at_ms=1000.0)
        view.apply(_reply(confirmed_age_ms=300.0), 1200.0, 1201.0)
        assert not view.lease.valid(1201.0)
        view.apply(_reply(confirmed_age_ms=300.0), 1300.0, 1301.0)
        assert view.lease.valid(1301.0)

    def test_patch_produces_the_same_document(self) -> None:
        view = SyncedView(0.0)
        view.apply(_reply(), 1.0, 1.0)
        patch = {"a": None, "b": {"c": 2}}
        reply = _reply(version=2, configuration=None, configuration_patch=patch)
        assert view.apply(reply, 2.0, 2.0)
        assert view.documents.document == {"b": {"c": 2}}

    def test_evidence_refreshes_only_upstreams_that_the_responder_lists(self) -> None:
        view = SyncedView(0.0)
        other = attrs.evolve(_ROW, upstream_id="direct")
        view.digest.observe(other, 0.0)
        view.apply(_reply(upstreams=[_ROW]), 1000.0, 1000.0)
        view.apply(_reply(whole_digest=False, fresh_age_ms=100.0), 3500.0, 3500.0)
        assert sorted(view.digest.alive(3500.0)) == ["u1"]
        view.apply(_reply(whole_digest=False, forgotten=["u1"]), 6000.0, 6000.0)
        assert sorted(view.digest.alive(6400.0)) == []

    @pytest.mark.parametrize("age_ms", [None, VERSION_LEASE_MS / 2, 1e9])
    def test_responder_without_recent_evidence_is_rejected(self, age_ms: float | None) -> None:
        assert not SyncedView(0.0).apply(_reply(confirmed_age_ms=age_ms), 1.0, 1.0)


class TestDocumentHistory:
    """Checks that each patch produces its target document."""

    def test_created_patches_produce_the_new_document(self) -> None:
        documents = [{}, {"a": 1}, {"a": {"b": [1], "c": {}}}, {"a": {"c": {"d": True}}, "e": 1.5}]
        for old in documents:
            for new in documents:
                assert merge_patch(old, create_merge_patch(old, new)) == new

    def test_patch_is_kept_for_64_versions(self) -> None:
        history = DocumentHistory()
        for version in range(1, 70):
            history.append(version, {"n": version})
        assert history.patch_from(5) is None
        assert history.patch_from(6) == {"n": 69}
        assert not history.append(68, {})


class TestUpstreamDigest:
    """Checks that no new requests go to an upstream whose last evidence is too old."""

    def test_age_of_a_relayed_row_counts_towards_silence(self) -> None:
        digest = UpstreamDigest()
        digest.observe(attrs.evolve(_ROW, age_ms=2000.0), 10_000.0)
        assert "u1" in digest.alive(10_999.0)
        assert "u1" not in digest.alive(8000.0 + UPSTREAM_SILENCE_MS)

    def test_only_stale_upstreams_are_listed(self) -> None:
        digest = UpstreamDigest()
        for number, age_ms in enumerate((0.0, 900.0, 2500.0, 9000.0)):
            digest.observe(attrs.evolve(_ROW, upstream_id=f"u{number}", age_ms=age_ms), 10_000.0)
        freshness = digest.freshness(10_000.0)
        assert freshness.fresh_age_ms == 900.0
        assert freshness.stale_ages_ms == {"u2": 2500.0, "u3": 9000.0}

    def test_forgotten_rows_are_listed_until_their_record_is_dropped(self) -> None:
        digest = UpstreamDigest()
        digest.observe(_ROW, 0.0)
        held = digest.sequence
        assert digest.forget_silent(SILENT_ROW_TTL_MS + 1) == ["u1"]
        assert digest.forgotten_since(held) == ["u1"]
        for number in range(1000):
            digest.observe(attrs.evolve(_ROW, upstream_id=f"n{number}"), 0.0)
            digest.forget(f"n{number}")
        assert digest.forgotten_since(held) is None

    def test_reordered_announcements_keep_the_newest(self) -> None:
        digest = UpstreamDigest()
        leaving = attrs.evolve(_ROW, sequence=3, lifecycle="leaving")
        digest.observe(leaving, 100.0)
        assert not digest.observe(attrs.evolve(_ROW, sequence=2), 200.0)
        assert digest.alive(200.0)["u1"].lifecycle == "leaving"
        old_incarnation = attrs.evolve(_ROW, incarnation="inc-0", sequence=9, age_ms=150.0)
        assert not digest.observe(old_incarnation, 200.0)

    def test_reader_gets_only_what_changed(self) -> None:
        digest = UpstreamDigest()
        digest.observe(_ROW, 0.0)
        held = digest.sequence
        digest.observe(_ROW, 100.0)
        assert digest.changes_since(held, 100.0) == []
        digest.observe(attrs.evolve(_ROW, upstream_id="u2", data_centre="dc-2"), 100.0)
        assert [r.upstream_id for r in digest.changes_since(held, 100.0)] == ["u2"]
        assert digest.changes_since(held, 100.0, ["dc-1"]) == []


class TestInstanceTable:
    """Checks that callers are not sent to an instance that is silent or draining."""

    def test_silent_and_draining_instances_leave_the_list(self) -> None:
        table = InstanceTable()
        table.observe(_STATUS, 0.0)
        tag = table.sequence
        assert [s.instance_id for s in table.listed(INSTANCE_SILENCE_MS)] == ["entry-1"]
        assert table.listed(INSTANCE_SILENCE_MS + 1) == []
        assert table.sequence > tag
        table.observe(_STATUS, 5000.0)
        assert len(table.listed(5000.0)) == 1
        table.observe(attrs.evolve(_STATUS, lifecycle="draining"), 5001.0)
        assert table.listed(5001.0) == []

    def test_delayed_status_does_not_list_an_instance_again(self) -> None:
        table = InstanceTable()
        table.observe(attrs.evolve(_STATUS, lifecycle="draining"), 1000.0)
        table.observe(attrs.evolve(_STATUS, age_ms=500.0), 1001.0)
        assert table.listed(1001.0) == []
