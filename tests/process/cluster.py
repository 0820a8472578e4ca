"""Run a whole system as separate processes on the loopback range, and break parts of it."""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
from cut_relay import CutRelay

if TYPE_CHECKING:
    from collections.abc import Callable

SOURCE = Path(__file__).resolve().parents[2] / "src"
WAIT_S = 40.0  # generous, since a busy machine must not change the verdict
API_KEY = "test-key"
API_KEY_SHA256 = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef"
GIGABYTE = 10**9
_PORTS = (12000, 32000)
_RANDOM = random.SystemRandom()
_given: set[int] = set()


def free_port() -> int:
    """Return a port that nothing listens on at the moment.

    The port is below the range from which the system takes ports for outgoing connections, as one
    of those could occupy it before the process starts, or while it is down.
    """
    while True:
        port = _RANDOM.randrange(*_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port


@attrs.define
class Process:
    """Hold one started process.

    :param name: name within the cluster.
    :param module: module whose ``run`` is the entry point.
    :param flags: command line.
    :param http_port: port of its HTTP interface.
    """

    name: str
    module: str
    flags: list[str]
    http_port: int
    child: subprocess.Popen[bytes] | None = None


@attrs.frozen
class Answer:
    """Carry an HTTP answer.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: bytes of the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the parsed body."""
        return json.loads(self.body)


class Cluster:
    """Start and break control, entry, engine and service processes."""

    def __init__(
        self,
        folder: Path,
        *,
        controls: int = 3,
        entries: int = 3,
        engines: int = 2,
        services: int = 1,
        engine_flags: tuple[str, ...] = (),
        address_ttl_ms: int = 600,
        sync_flags: tuple[str, ...] = (),
        control_flags: tuple[str, ...] = (),
    ) -> None:
        """Describe the cluster; :meth:`start` starts it.

        :param folder: where data folders and logs go.
        :param controls: number of first voters.
        :param entries: number of entry processes.
        :param engines: number of engine stand-ins.
        :param services: number of plain service stand-ins.
        :param engine_flags: further flags of each engine.
        :param address_ttl_ms: time to live of address responses; short, so that stops are quick.
        :param sync_flags: further flags of control and entry processes.
        :param control_flags: further flags of control processes.
        """
        self._sync_flags = sync_flags
        self._control_flags = control_flags
        self.folder = folder
        self.cuts: set[str] = set()
        self.processes: dict[str, Process] = {}
        self._relays: dict[str, CutRelay] = {}
        self._peer_ports: dict[str, int] = {}
        for index in range(1, controls + 1):
            self.add_control(f"control-{index}", f"dc-{index}")
        for index in range(1, entries + 1):
            self._add_entry(f"entry-{index}", f"dc-{index}", address_ttl_ms)
        for index in range(1, engines + 1):
            self._add_upstream("engine", f"sorting-{index}", f"dc-{index}", engine_flags)
        for index in range(1, services + 1):
            self._add_upstream("service", f"sales-{index}", f"dc-{index}", ())

    def add_control(self, name: str, data_centre: str) -> None:
        """Describe a control process; one that is not initialised joins as a learner."""
        self._peer_ports[name] = free_port()
        self._relays[name] = CutRelay(name, self._peer_ports[name], self.cuts)
        flags = [
            "run",
            *("--instance-id", name, "--data-centre", data_centre),
            *("--data-dir", str(self.folder / name)),
            *("--peer-listen", f"127.0.0.1:{self._peer_ports[name]}"),
            *("--peer-advertise", f"127.0.0.1:{self._relays[name].port}"),
        ]
        flags += self._control_flags
        self._add(name, "briardyke.control.main", flags, "--http-listen")

    def _add_entry(self, name: str, data_centre: str, ttl_ms: int) -> None:
        flags = [
            *("--instance-id", name, "--data-centre", data_centre),
            *("--address-ttl-ms", str(ttl_ms), "--drain-margin-ms", "200"),
        ]
        self._add(name, "briardyke.entry.main", flags, "--listen")

    def _add_upstream(self, kind: str, name: str, data_centre: str, flags: tuple[str, ...]) -> None:
        module = f"briardyke.standins.{kind}.main"
        common = ["--upstream-id", name, "--data-centre", data_centre, "--allow-faults", "true"]
        common += ["--announce-interval-ms", "300", "--leave-notice-ms", "300"]
        if kind == "engine":
            common += ["--capacity-bytes", str(40 * GIGABYTE)]
            common += ["--store-bytes-per-second", str(100 * GIGABYTE)]
        self._add(name, module, [*common, *flags], "--listen")

    def _add(self, name: str, module: str, flags: list[str], listen_flag: str) -> None:
        port = free_port()
        full = [*flags, listen_flag, f"127.0.0.1:{port}"]
        self.processes[name] = Process(name, module, full, port)

    def names(self, prefix: str) -> list[str]:
        """Return the names of the processes of one kind, such as ``entry``."""
        return [name for name in self.processes if name.startswith(prefix)]

    def initialise(self) -> None:
        """Initialise the data folders of all control processes."""
        voters = ",".join(
            f"{name}=127.0.0.1:{self._relays[name].port}" for name in self.names("control")
        )
        for name in self.names("control"):
            flags = ["init", "--instance-id", name, "--data-dir", str(self.folder / name)]
            subprocess.run(
                [*_command("briardyke.control.main"), *flags, "--voters", voters],
                check=True,
                env=_environment(),
                stdout=subprocess.DEVNULL,
                timeout=WAIT_S,
            )

    def start(self) -> Cluster:
        """Initialise the voters, start everything and wait until all upstreams are registered."""
        self.initialise()
        for name in self.processes:
            self.launch(name)
        upstreams = len(self.names("sorting")) + len(self.names("sales"))
        self.until(lambda: self.status_of_leader().get("upstreams") == upstreams, "registration")
        return self

    def launch(self, name: str) -> None:
        """Start one process, or start it again."""
        process = self.processes[name]
        log = (self.folder / f"{name}.log").open("ab")
        process.child = subprocess.Popen(
            [*_command(process.module), *process.flags, *self._shared_flags(process)],
            env=_environment(),
            stdout=log,
            stderr=log,
        )
        log.close()

    def _shared_flags(self, process: Process) -> list[str]:
        peers = ",".join(f"127.0.0.1:{relay.port}" for relay in self._relays.values())
        if process.module.startswith("briardyke.standins"):
            entries = [f"127.0.0.1:{self.processes[n].http_port}" for n in self.names("entry")]
            return ["--entry-addresses", ",".join(entries)]
        return ["--control-addresses", peers, *self._sync_flags]

    def kill(self, name: str) -> None:
        """End a process at once, as a power failure would."""
        child = self._child(name)
        child.kill()
        child.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        os.kill(self._child(name).pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        os.kill(self._child(name).pid, signal.SIGCONT)

    def stop(self, name: str) -> int:
        """Ask a process to stop and return its exit code."""
        child = self._child(name)
        child.terminate()
        return child.wait(timeout=WAIT_S)

    def wipe(self, name: str) -> None:
        """Empty the data folder of a process that is not running."""
        shutil.rmtree(self.folder / name)

    def peer_bytes(self, sender: str) -> int:
        """Return the bytes that passed on peer connections opened by a process."""
        return sum(relay.bytes_by_sender[sender] for relay in self._relays.values())

    def close(self) -> None:
        """End every process that is still running."""
        for process in self.processes.values():
            child = process.child
            if child is not None and child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        for relay in self._relays.values():
            relay.close()

    def _child(self, name: str) -> subprocess.Popen[bytes]:
        child = self.processes[name].child
        assert child is not None, f"{name} was not started"
        return child

    def call(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 15.0,
        **headers: str,
    ) -> Answer:
        """Send one HTTP request.

        :param name: process to send to.
        :param headers: headers, with underscores in place of hyphens.
        :raises OSError: when the process cannot be reached.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.processes[name].http_port, timeout=timeout_s
        )
        sent = {key.replace("_", "-"): value for key, value in headers.items()}
        sent.setdefault("authorization", f"Bearer {API_KEY}")
        data = body if isinstance(body, bytes) else None if body is None else json.dumps(body)
        try:
            connection.request(method, path, data, sent)
            response = connection.getresponse()
            received = {key.lower(): value for key, value in response.getheaders()}
            return Answer(response.status, received, response.read())
        except http.client.HTTPException as error:
            raise ConnectionError(repr(error)) from error
        finally:
            connection.close()

    def chat(self, name: str, model: str = "m1", tokens: int = 4, **options: Any) -> Answer:
        """Send a chat request to an entry process."""
        body = {
            "model": model,
            "max_tokens": tokens,
            "stream": options.pop("stream", False),
            "messages": [{"role": "user", "content": options.pop("prompt", "sort this lot")}],
        }
        return self.call(name, "POST", "/v1/chat/completions", body, **options)

    def status(self, name: str) -> dict[str, Any]:
        """Return a control process's status, empty when it does not answer."""
        try:
            return self.call(name, "GET", "/v1/status", timeout_s=2.0).json()
        except OSError:
            return {}

    def status_of_leader(self) -> dict[str, Any]:
        """Return the status of the control process that leads, empty when none does."""
        for name in self.names("control"):
            child = self.processes[name].child
            if child is None or child.poll() is not None:
                continue
            status = self.status(name)
            age_ms = status.get("confirmed_age_ms")
            if status.get("role") == "leader" and age_ms is not None and age_ms < 1000:
                return status
        return {}

    def wait_for_leader(self, other_than: str = "") -> str:
        """Wait for a leader and return its name."""
        self.until(
            lambda: self.status_of_leader().get("instance_id", other_than) != other_than, "leader"
        )
        return self.status_of_leader()["instance_id"]

    def patch(
        self,
        base: int,
        patch: Mapping[str, Any],
        *,
        request_id: str,
        name: str = "control-1",
        operator: str = "tester",
    ) -> Answer:
        """Send a patch to a control process."""
        return self.call(
            name,
            "PATCH",
            "/v1/configuration",
            dict(patch),
            if_match=f'"{base}"',
            x_request_id=request_id,
            x_operator=operator,
        )

    def configure(self, **tables: Any) -> int:
        """Make the test configuration version 1 and wait until every entry process has it."""
        document = {**default_configuration(), **tables}
        answer = self.patch(0, document, request_id="configure")
        assert answer.status == 200, answer.body
        self.until(lambda: self.entry_versions() == {1} and self.all_ready(), "version 1 in force")
        return 1

    def all_ready(self) -> bool:
        """Return whether every entry process admits requests."""
        return all(self.call(n, "GET", "/ready").status == 200 for n in self.names("entry"))

    def entry_versions(self) -> set[int]:
        """Return the versions that the running entry processes have in force."""
        return {self.call(name, "GET", "/health").json()["version"] for name in self.names("entry")}

    def until(self, condition: Callable[[], bool], what: str, wait_s: float = WAIT_S) -> float:
        """Wait for a condition and return the time that it took, in seconds."""
        started = time.monotonic()
        while time.monotonic() - started < wait_s:
            try:
                if condition():
                    return time.monotonic() - started
            except (OSError, ValueError):
                pass
            time.sleep(0.02)
        raise AssertionError(f"{what} did not happen within {wait_s} s")


def default_configuration() -> dict[str, Any]:
    """Return a configuration that fits the stand-ins of the cluster."""
    return {
        "models": {
            name: {"size_bytes": 10 * GIGABYTE, "instances": ["sorting-*"]}
            for name in ("m1", "m2", "m3")
        },
        "adapters": {"a1": {"model": "m1", "size_bytes": GIGABYTE}},
        "services": {"sales": {"instances": ["sales-*"], "non_idempotent_paths": ["/purchases"]}},
        "callers": {"tester": {"api_key_sha256": API_KEY_SHA256}},
    }


def _command(module: str) -> list[str]:
    return [sys.executable, "-c", f"from {module} import run; run()"]


def _environment() -> dict[str, str]:
    kept = {k: v for k, v in os.environ.items() if not k.startswith("BRIARDYKE_")}
    return {**kept, "PYTHONPATH": str(SOURCE)}
