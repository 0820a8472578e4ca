"""Start an entry instance on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.fleet.cluster import CLUSTER_ID
from briardyke.gateway.directory import capacity_per_s
from briardyke.gateway.process import GatewayProcess
from briardyke.gateway.settings import InstanceSettings
from briardyke.gateway.state import RetryBounds
from briardyke.http.h11_server import H11Server
from briardyke.platform.configuration import decode_configuration
from briardyke.platform.entry_api import EntryApi
from briardyke.platform.headers import PlatformDialect
from briardyke.platform.seeds import SettingsFollower
from briardyke.platform.starting import start
from briardyke.quotas.bounds import QuotaBounds
from briardyke.supervision import keep_running
from briardyke.wire.connection import PROTOCOL_VERSION, Hello
from briardyke.wire.pool import PeerPool

if TYPE_CHECKING:
    from briardyke.platform.settings import PlatformSettings


async def _run(settings: PlatformSettings, stop: trio.Event) -> None:
    assert settings.entry_listen is not None
    follower = SettingsFollower(settings)
    place = InstanceSettings(
        settings.instance_id,
        settings.data_centre,
        settings.entry_listen,
        settings.grace_s,
        RetryBounds(settings.retry_ratio, settings.retry_slack, settings.retry_window_s),
        capacity_per_s(settings.cores, settings.link_mbps),
        settings.revocation_ms,
        QuotaBounds(settings.quota_window_s, settings.quota_overage, settings.quota_slack),
        settings.memory_mb,
        settings.max_descriptors,
    )
    async with trio.open_nursery() as nursery:
        peers = PeerPool(nursery, Hello(PROTOCOL_VERSION, CLUSTER_ID, settings.instance_id))
        entry = GatewayProcess(
            place, PlatformDialect(), decode_configuration, peers, follower.peer_seeds
        )
        api = EntryApi(entry)
        for address in (settings.readiness_listen, settings.directory_listen):
            if address is not None:
                await nursery.start(H11Server(api.handle, memory=entry.memory).serve, address)
        nursery.start_soon(keep_running, "settings", follower.run)
        await entry.run(stop)
        nursery.cancel_scope.cancel()


def main() -> int:
    """Run until the platform stops the process; return the exit code."""
    return start("entry", _run)
