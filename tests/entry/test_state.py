"""Test when an entry process is ready to admit requests."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from briardyke.accounts.types import key_digest
from briardyke.addresses import Address
from briardyke.clock import now_ms
from briardyke.entry.settings import EntrySettings
from briardyke.entry.state import EntryState
from briardyke.settings import load_settings
from briardyke.sync.lease import VERSION_LEASE_MS
from briardyke.wire.messages import SyncReply

if TYPE_CHECKING:
    import trio.testing


def _state() -> EntryState:
    given = {
        "instance_id": "entry-1",
        "data_centre": "dc-1",
        "listen": "127.0.0.1:1",
        "control_addresses": "127.0.0.1:2",
    }
    return EntryState(load_settings(EntrySettings, given).unwrap(), Address("127.0.0.1", 1))


def _reply(version: int, document: dict[str, object]) -> SyncReply:
    return SyncReply(
        replied_at_ms=0.0,
        confirmed_age_ms=0.0,
        version=version,
        configuration=document,
        configuration_patch=None,
        digest_id="dig-1",
        digest=0,
        upstreams=[],
        whole_digest=True,
        forgotten=[],
        fresh_age_ms=0.0,
        stale_ages_ms={},
        instances_tag="",
        instances=None,
        shares={},
    )


class TestReady:
    """Guards against refused requests during a version change, and against a stale version."""

    async def test_new_version_is_in_force_without_waiting_for_a_tick(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        state = _state()
        assert not state.ready()
        for version in (1, 2):
            target = {"targets": {"first_token_ms": 600.0 + version}}
            state.view.apply(_reply(version, target), now_ms(), now_ms())
            assert state.ready()
            assert state.configuration.targets.first_token_ms == 600.0 + version

    async def test_not_ready_with_an_unreadable_version_or_an_expired_lease(
        self, mock_clock: trio.testing.MockClock
    ) -> None:
        state = _state()
        state.view.apply(_reply(1, {}), now_ms(), now_ms())
        assert state.ready()
        state.view.apply(_reply(2, {"unknown_table": {}}), now_ms(), now_ms())
        assert not state.ready()
        state = _state()
        state.view.apply(_reply(1, {}), now_ms(), now_ms())
        mock_clock.jump(VERSION_LEASE_MS / 1000.0)
        assert not state.ready()


class TestKeys:
    """Guards against keys of an earlier version than the one in force."""

    async def test_keys_change_with_the_version(self, mock_clock: trio.testing.MockClock) -> None:
        state = _state()
        for version, key in ((1, "k1"), (2, "k2")):
            digest = hashlib.sha256(key.encode()).hexdigest()
            callers = {"callers": {"shop": {"api_key_sha256": digest}}}
            state.view.apply(_reply(version, callers), now_ms(), now_ms())
            assert state.ready()
            found = [state.keys.find(key_digest(k)) is not None for k in (b"k1", b"k2")]
            assert found == [version == 1, version == 2]
