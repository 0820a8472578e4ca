"""Measure what control costs an entry process and a control process, on real processes.

Run ``PYTHONPATH=src python bench/daemon_cost.py FILE`` to write the fits as JSON. One control
process and two entry processes run without callers; announcements of a number of upstreams reach
the first entry process over HTTP once a second, and the second one hears of them through sync.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import threading
import time
from pathlib import Path

import attrs

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests" / "process"))

from cluster import Cluster  # noqa: E402
from fits import Fit, fit  # noqa: E402
from slopes import row  # noqa: E402

from briardyke.wire.codec import unstructure  # noqa: E402

SIZES = (1, 25, 50, 100, 200)
WARM_UP_S = 3.0
MEASURE_S = 10.0
SETTINGS = {
    "defaults": (),
    "settings of the target size": ("--sync-wait-ms", "500", "--load-reports", "false"),
}
ROLES = {
    "entry-1": "entry taking announcements",
    "entry-2": "entry hearing through sync",
    "control-1": "leader",
}
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Feeder:
    """Announce a number of upstreams once a second, spread evenly."""

    def __init__(self, cluster: Cluster, count: int) -> None:
        """Start to announce."""
        self._cluster = cluster
        self._count = count
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def finish(self) -> None:
        """Stop to announce."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            started = time.monotonic()
            for number in range(self._count):
                body = unstructure(row(number, sequence=sequence))
                self._cluster.call("entry-1", "POST", "/v1/upstreams/announce", body)
                ahead = started + (number + 1) / self._count - time.monotonic()
                if ahead > 0 and self._stop.wait(ahead):
                    return


def processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]) * _PAGE_BYTES


def measure(
    count: int, flags: tuple[str, ...], points: dict[tuple[str, str], list[tuple[float, float]]]
) -> None:
    """Measure one size and add its points."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            Path(folder),
            controls=1,
            entries=2,
            engines=0,
            services=0,
            sync_flags=flags,
            # The announced engines do not exist, so orders to them would only fail.
            control_flags=("--placement", "false"),
        )
        try:
            cluster.start()
            cluster.until(
                lambda: cluster.status_of_leader().get("listed_instances") is not None, "leader"
            )
            feeder = Feeder(cluster, count)
            time.sleep(WARM_UP_S)
            names = ("entry-1", "entry-2", "control-1")
            pids = {n: cluster.processes[n].child.pid for n in names}  # type: ignore[union-attr]
            before = {n: (processor_s(pids[n]), cluster.peer_bytes(n)) for n in names}
            time.sleep(MEASURE_S)
            for name in names:
                used_s = processor_s(pids[name]) - before[name][0]
                sent = cluster.peer_bytes(name) - before[name][1]
                points.setdefault((name, "% of a core"), []).append(
                    (count, 100.0 * used_s / MEASURE_S)
                )
                points.setdefault((name, "bytes a second"), []).append((count, sent / MEASURE_S))
                points.setdefault((name, "MB resident"), []).append(
                    (count, resident_bytes(pids[name]) / 1e6)
                )
            feeder.finish()
        finally:
            cluster.close()


def main(path: str) -> None:
    """Measure all sizes and write the fits."""
    fits: list[Fit] = []
    for name, flags in SETTINGS.items():
        points: dict[tuple[str, str], list[tuple[float, float]]] = {}
        for count in SIZES:
            measure(count, flags, points)
        fits += [
            fit(f"{ROLES[role]}, {name}", unit, "upstream announcing once a second", values)
            for (role, unit), values in points.items()
            if not (role == "control-1" and unit == "bytes a second")  # it opens no connection
        ]
    for one in fits:
        print(
            f"{one.name}: {one.slope:.4g} {one.unit} per {one.per} + {one.intercept:.4g}"
            f" (largest residual {one.residual:.0%})"
        )
    with open(path, "w", encoding="utf-8") as file:
        json.dump([attrs.asdict(one) for one in fits], file, indent=1)


if __name__ == "__main__":
    main(sys.argv[1])
