"""Start a control instance on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from briardyke.dispatch.coordinator import DispatchCoordinator
from briardyke.exit_codes import ExitCode
from briardyke.fleet.cluster import CLUSTER_ID
from briardyke.fleet.control import ControlInstance
from briardyke.fleet.member import MemberSettings, open_member
from briardyke.http.h11_server import H11Server
from briardyke.http.memory_budget import MemoryBudget
from briardyke.http.memory_queue import MemoryQueue
from briardyke.logs import log_error, log_event
from briardyke.models.runner import ModelPlacementRunner
from briardyke.platform.configuration import decode_configuration
from briardyke.platform.control_api import ControlApi
from briardyke.platform.engines import PlatformEngines
from briardyke.platform.seeds import SettingsFollower
from briardyke.platform.starting import start
from briardyke.quarantine.runner import QuarantineRunner
from briardyke.quarantine.store import VerdictStore
from briardyke.quotas.bounds import QuotaBounds
from briardyke.quotas.granter import QuotaGranter
from briardyke.routes.decoding import decode_configuration_beside
from briardyke.software_versions.runner import ServiceVersionsRunner
from briardyke.supervision import keep_running
from briardyke.upstream_limits.granter import PermitGranter
from briardyke.wire.connection import PROTOCOL_VERSION, Hello, serve_peers
from briardyke.wire.pool import PeerPool

if TYPE_CHECKING:
    from briardyke.consensus.driver import ReplicatedLog
    from briardyke.fleet.machine import ConfigurationMachine
    from briardyke.platform.settings import PlatformSettings
    from briardyke.routes.configuration import ServingConfiguration


class DecodedConfiguration:
    """Read the agreed document once for each version."""

    def __init__(self, log: ReplicatedLog, machine: ConfigurationMachine) -> None:
        """Follow the agreed state; :meth:`run` starts it."""
        self._log = log
        self._machine = machine
        self._decoded: ServingConfiguration | None = None

    def current(self) -> ServingConfiguration | None:
        """Return the newest decoded configuration, or ``None`` before the first."""
        return self._decoded

    async def run(self) -> None:
        """Decode each configuration once, until cancelled."""
        while True:
            applied_index = self._log.status().applied_index
            version, document = self._machine.version, self._machine.document
            is_new = self._decoded is None or self._decoded.version != version
            if document is not None and is_new:
                decoded = await decode_configuration_beside(decode_configuration, document)
                self._decoded = decoded.ok()
            await self._log.wait_applied(applied_index + 1)


async def _run(settings: PlatformSettings, stop: trio.Event) -> None:
    assert settings.control_listen is not None and settings.data_dir is not None
    follower = SettingsFollower(settings)
    own = settings.peer_address
    hello = Hello(PROTOCOL_VERSION, CLUSTER_ID, settings.instance_id)
    async with trio.open_nursery() as nursery:
        peers = PeerPool(nursery, hello)
        place = MemberSettings(
            settings.data_dir, own, follower.peer_seeds(), settings.is_first_start
        )
        opened = open_member(place, peers)
        if opened.is_err():
            log_error("data_folder_unusable", reason=opened.unwrap_err().message)
            raise SystemExit(ExitCode.STORAGE_FAILED)
        log, machine = opened.unwrap()
        control = ControlInstance(log, machine, peers, own, settings.data_centre)
        await nursery.start(log.run)
        await nursery.start(serve_peers, own, hello, control.handle)
        memory = MemoryQueue(MemoryBudget.of_machine(settings.memory_mb, settings.max_descriptors))
        api = ControlApi(control, settings.control_listen.port)
        await nursery.start(H11Server(api.handle, memory=memory).serve, settings.control_listen)
        nursery.start_soon(keep_running, "settings", follower.run)
        configuration = DecodedConfiguration(log, machine)
        models = ModelPlacementRunner(
            control,
            PlatformEngines(),
            configuration.current,
            settings.instance_id,
            settings.order_lease_ms,
            settings.store_window_s,
            engines_check_fencing=settings.engines_check_fencing,
        )
        control.load_adapter = models.place_adapter
        quarantine = QuarantineRunner(control, VerdictStore(settings.data_dir))
        control.answer_trial = quarantine.answer_trial
        control.grant_permit = PermitGranter(control).grant
        control.dispatch = DispatchCoordinator(control, configuration.current)
        bounds = QuotaBounds(settings.quota_window_s, settings.quota_overage, settings.quota_slack)
        quotas = QuotaGranter(control, configuration.current, bounds)
        control.grant_quota = quotas.grant
        versions = ServiceVersionsRunner(control, settings.data_dir)
        nursery.start_soon(control.run)
        nursery.start_soon(keep_running, "configuration", configuration.run)
        nursery.start_soon(keep_running, "placement", models.run)
        nursery.start_soon(keep_running, "quarantine", quarantine.run)
        nursery.start_soon(keep_running, "dispatch", control.dispatch.run)
        nursery.start_soon(keep_running, "software_versions", versions.run)
        nursery.start_soon(keep_running, "quotas", quotas.run)
        log_event("control_started", member=log.status().member_id, version=machine.version)
        await stop.wait()
        await control.stop()
        log_event("control_stopped", instance=settings.instance_id)
        nursery.cancel_scope.cancel()


def main() -> int:
    """Run until the platform stops the process; return the exit code."""
    return start("control", _run)
