"""Run control and entry processes on the loopback range through the platform's protocol."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import trio

from briardyke.addresses import Address
from briardyke.http.exchange import Headers, header
from briardyke.http.h11_client import UpstreamConnection, UpstreamError, UpstreamHead

if TYPE_CHECKING:
    from platform_worker import PlatformWorker

ROOT = Path(__file__).resolve().parents[2]
# Two test runs on one machine must not use the same addresses.
LOOPBACK = f"127.{2 + os.getpid() % 250}"
CONTROL_PORT, DIRECTORY_PORT, ENTRY_PORT, READY_PORT, PEER_PORT = 8144, 8143, 8149, 8141, 7380
# Counts only under configurations with client accounts.
REVOKE_MS = 5000


@attrs.frozen
class Reply:
    """Hold one whole answer."""

    status: int
    headers: Headers
    body: bytes


async def call(
    address: Address, method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> Reply:
    """Send one request on a connection of its own."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    connection = UpstreamConnection(stream)
    sent = [(k.lower().encode(), v.encode()) for k, v in headers.items()]
    sent += [(b"host", headers.get("Host", "x").encode())] if "Host" not in headers else []
    sent.append((b"content-length", b"%d" % len(body)))
    try:
        async with trio.open_nursery() as nursery:
            await connection.send(method, target, sent, body, nursery)
            head: UpstreamHead = await connection.read_head(lambda _: True)
            return Reply(head.status, head.headers, await connection.read_body(1 << 20))
    except ExceptionGroup as group:
        raise group.exceptions[0] from None  # the nursery wraps what the exchange raises
    finally:
        await connection.aclose()


@attrs.define
class Cluster:
    """Hold the processes; addresses are LOOPBACK.NUMBER.N with the same ports everywhere.

    :param limits: limits of the machines, as the settings file states them.
    """

    folder: Path
    number: int
    limits: dict[str, float] = attrs.field(factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)

    def host(self, name: str) -> str:
        """Return the address of an instance."""
        role, _, index = name.partition("-")
        return f"{LOOPBACK}.{self.number}.{int(index) + (100 if role == 'entry' else 0)}"

    def start(self, name: str, is_first_start: bool = True, settings: str = "") -> None:
        """Start an instance, named like control-1 or entry-2, with its usual settings if none."""
        path = self.folder / f"{name}.json"
        path.write_text(settings or self._settings(name, is_first_start), encoding="utf-8")
        environment = os.environ | {"BRIARDYKE_NODE_FILE": str(path)}
        role = name.partition("-")[0]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / f"{role}.py")],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _settings(self, name: str, is_first_start: bool) -> str:
        role = name.partition("-")[0]
        host = self.host(name)
        listen = (
            {"control": f"{host}:{CONTROL_PORT}"}
            if role == "control"
            else {
                "front": f"{host}:{ENTRY_PORT}",
                "ready": f"{host}:{READY_PORT}",
                "directory": f"{host}:{DIRECTORY_PORT}",
            }
        )
        seeds = [f"{self.host(f'control-{i}')}:{CONTROL_PORT}" for i in range(1, 4)]
        settings: dict[str, Any] = {
            "node": name,
            "zone": "dc-1",
            "region": "r",
            "ip": host,
            "listen": listen,
            "port_range": [PEER_PORT, PEER_PORT + 9],
            "seeds": seeds,
            "bootstrap": is_first_start,
            "data_dir": str(self.folder / name) if role == "control" else None,
            "heartbeat_ms": 400,
            "bounds": {"grace_s": 3, "lease_ms": 500, "budget_slack": 50}
            | {"strict_revoke": True, "revoke_ms": REVOKE_MS},
            "limits": self.limits,
        }
        return json.dumps(settings)

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """End all processes that were started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def control(self, index: int) -> Address:
        """Return a control address."""
        return Address(self.host(f"control-{index}"), CONTROL_PORT)

    def entry(self, index: int, port: int = ENTRY_PORT) -> Address:
        """Return an address of an entry instance."""
        return Address(self.host(f"entry-{index}"), port)

    async def operate(self, index: int, method: str, body: bytes = b"") -> Reply:
        """Call the operator's interface, following a redirect; a lost call gives status 0."""
        address, target = self.control(index), "/briardyke/config"
        try:
            for _ in range(3):
                reply = await call(address, method, target, {}, body)
                if reply.status != 307:
                    return reply
                location = (header(reply.headers, b"location") or b"").decode()
                host, _, port = location.split("/")[2].partition(":")
                address = Address(host, int(port))
        except (OSError, UpstreamError):
            pass
        return Reply(0, [], b"")

    async def put(self, body: bytes, timeout_s: float = 12.0, first: int = 1) -> None:
        """Send a configuration until it is acknowledged."""
        with trio.fail_after(timeout_s):
            while (await self.operate(first, "PUT", body)).status != 200:
                first = first % 3 + 1
                await trio.sleep(0.2)

    async def announce(self, worker: PlatformWorker) -> None:
        """Send announcements to any control instance until cancelled."""
        index = 1
        while True:
            path = f"/briardyke/instances/{worker.upstream_id}"
            try:
                with trio.fail_after(1):
                    reply = await call(self.control(index), "PUT", path, {}, worker.announcement())
                status = reply.status
            except (OSError, UpstreamError, trio.TooSlowError):
                status = 0
            if status != 200:
                index = index % 3 + 1
            await trio.sleep(0.3 if status == 200 else 0.1)

    async def wait_ready(self, index: int, timeout_s: float = 12.0) -> None:
        """Wait until an entry instance says that it is ready."""
        with trio.fail_after(timeout_s):
            while True:
                try:
                    reply = await call(self.entry(index, READY_PORT), "GET", "/briardyke/ready", {})
                    if reply.status == 200:
                        return
                except (OSError, UpstreamError):
                    pass
                await trio.sleep(0.1)
