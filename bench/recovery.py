"""Measure and check recovery of a whole system of processes on the loopback range.

Commands: ``times`` (elections, spread of versions, restart) and ``faults`` (random faults under
load). Both print a table and one JSON object.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

_ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(_ROOT / "tests" / "process"), str(_ROOT / "src")]

from cluster import Cluster  # noqa: E402
from recovery_faults import run_faults  # noqa: E402
from recovery_times import measure_elections, measure_restart, measure_versions  # noqa: E402

SIZE = {"controls": 3, "entries": 7, "engines": 9, "services": 2}


def _times(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    cluster = Cluster(folder, **SIZE)
    try:
        cluster.start()
        cluster.configure()
        return {
            "kill -9 of the leader": measure_elections(cluster, options.repetitions, "kill"),
            "SIGSTOP of the leader": measure_elections(cluster, options.repetitions, "freeze"),
            "version in force": measure_versions(cluster, options.patches, options.seed),
            "restart": measure_restart(cluster, options.changes),
        }
    finally:
        cluster.close()


def _faults(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    cluster = Cluster(folder, **SIZE)
    return run_faults(cluster, options.seed, options.faults, unfenced=3)


def _print_table(report: dict[str, Any]) -> None:
    for name, value in report.items():
        if isinstance(value, dict) and any(isinstance(v, dict) for v in value.values()):
            for inner, row in value.items():
                print(f"{name:24} {inner:20} {row}")
        else:
            print(f"{name:24} {value}")


def main() -> int:
    """Run one command and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("command", choices=("times", "faults"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repetitions", type=int, default=10)
    parser.add_argument("--patches", type=int, default=200)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--faults", type=int, default=50)
    parser.add_argument("--folder", type=Path, default=None, help="where logs and data are kept")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.folder or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        run = _times if options.command == "times" else _faults
        report = run(options, folder)
    _print_table(report)
    print(json.dumps({"command": options.command, "seed": options.seed, **report}))
    return 1 if report.get("violations") else 0


if __name__ == "__main__":
    sys.exit(main())
