#!/usr/bin/env python3
"""Play a set of days on the bench for one revision and summarise worth and losses.

Each worker plays in a clone of its own, so that work on the sources can go on.

Usage: FLEETBENCH=<path of the bench> scripts/rounds.py NAME SITE [--revision R] [--days D,...]
       [--seeds S,...] [--repeats N] [--jobs N] [--why TEXT] [--log]
Results go to run/rounds/NAME.json; several results are compared with --compare NAME NAME.
"""

from __future__ import annotations

import argparse
import json
import os
import queue
import re
import shutil
import statistics
import subprocess
import threading
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "run" / "rounds"
STANDARD_DAYS = "trouble-1,scale-1,scale-2,trouble-3"
# What a report says of a broken rule, a day that counts for nothing, or a failed gate.
RULES = (
    "MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER|RECOVER|ONE|"
    "LIMIT|CEILING|QUOTA|[Ff]ault|[Gg]ate|GATE|given up as"
)
# Label of the seed that the site file gives a day.
OWN_SEED = "-"


def main() -> None:
    """Play the requested days, or compare results of earlier plays."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name")
    parser.add_argument("site", nargs="?")
    parser.add_argument("--revision", default="HEAD")
    parser.add_argument("--days", default=STANDARD_DAYS)
    parser.add_argument("--seeds", default=OWN_SEED)
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--why", default="")
    parser.add_argument("--log", action="store_true", help="keep what the processes log")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--compare", nargs="*", default=[])
    options = parser.parse_args()
    RESULTS.mkdir(parents=True, exist_ok=True)
    if not options.compare:
        if not options.site:
            parser.error("SITE is needed to play")
        rows = play_all(options)
        (RESULTS / f"{options.name}.json").write_text(json.dumps(rows, indent=1))
    compare([options.name, *options.compare])


def play_all(options: argparse.Namespace) -> list[dict[str, object]]:
    """Play every day with every seed and return one row for each play."""
    plays: queue.Queue[tuple[str, str, int]] = queue.Queue()
    for repeat in range(options.repeats):
        for seed in options.seeds.split(","):
            for day in options.days.split(","):
                plays.put((day, seed, repeat))
    rows: list[dict[str, object]] = []
    threads = [
        threading.Thread(target=_play_queued, args=(options, number, plays, rows))
        for number in range(min(options.jobs, plays.qsize()))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sorted(rows, key=lambda row: (row["day"], row["seed"], row["repeat"]))


def _play_queued(
    options: argparse.Namespace,
    number: int,
    plays: queue.Queue[tuple[str, str, int]],
    rows: list[dict[str, object]],
) -> None:
    clone = ROOT / "run" / f"clone-{options.name}-{number}"
    shutil.rmtree(clone, ignore_errors=True)
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(clone)], check=True)
    subprocess.run(
        ["git", "checkout", "--quiet", options.revision],
        cwd=clone,
        check=True,
    )
    while True:
        try:
            day, seed, repeat = plays.get_nowait()
        except queue.Empty:
            break
        log = RESULTS / f"{options.name}-{Path(day).stem}-{seed}-{repeat}.log"
        command = [os.environ["FLEETBENCH"], "run", options.site, day, "--no-cpu", "--jobs", "1"]
        command += ["--why", f"{options.name}: {options.why}"]
        command += [] if seed == OWN_SEED else ["--seed", seed]
        command += ["--log", "all"] if options.log else []
        command += ["--small"] if options.small else []
        with log.open("w") as out:
            subprocess.run(command, cwd=clone, stdout=out, stderr=subprocess.STDOUT, check=False)
        rows.append({"day": day, "seed": seed, "repeat": repeat, **_read_report(log)})
    subprocess.run(
        ["cp", "-ru", f"{clone}/journal/.", str(ROOT / "journal")],
        check=True,
    )
    shutil.rmtree(clone, ignore_errors=True)


def _read_report(log: Path) -> dict[str, object]:
    """Return the figures of one play; a play without a worth has none."""
    text = "\n".join(
        line for line in log.read_text(errors="replace").splitlines() if "event=" not in line
    )
    row: dict[str, object] = {"log": str(log)}
    if not (found := re.search(r"^worth (-?[\d.]+) = whole day ([\d.]+).*$", text, re.M)):
        return row
    row["worth"], row["served"] = float(found[1]), float(found[2])
    for name, pattern in {
        "windows": r"worst windows ([\d.]+)",
        "class": r"worst class ([\d.]+)",
        "zone": r"worst zone ([\d.]+)",
    }.items():
        if part := re.search(pattern, found[0]):
            row[name] = float(part[1])
    counts = re.findall(r"^(\S+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +(\d+) +([\d.]+)", text, re.M)
    asked = [c for c in counts if c[0][0].isalpha() and "-" in c[0]]
    row["classes"] = {c[0]: [int(n) for n in c[1:6]] for c in asked}
    row["prices"] = {
        price[1]: float(price[0])
        for price in re.findall(r"^  -(0\.\d+)  -?[\d.]+ (.*)$", text, re.M)
        if float(price[0]) >= 0.001
    }
    row["broken"] = re.findall(rf"^.*\b(?:{RULES})\b.*$", text, re.M)[:5]
    return row


def compare(names: list[str]) -> None:
    """Print worth by day and seed, side by side, and the mean with its spread."""
    results = {name: json.loads((RESULTS / f"{name}.json").read_text()) for name in names}
    keys = sorted({(r["day"], r["seed"]) for rows in results.values() for r in rows})
    print("day seed".ljust(24), *(name.rjust(22) for name in names))
    for key in keys:
        cells = []
        for rows in results.values():
            worths = [r.get("worth") for r in rows if (r["day"], r["seed"]) == key]
            cells.append(" ".join("-" if w is None else f"{w:.3f}" for w in worths))
        print(" ".join(key).ljust(24), *(cell.rjust(22) for cell in cells))
    for label in ("worth", "served", "windows", "class", "zone"):
        cells = []
        for rows in results.values():
            values = [r[label] for r in rows if label in r]
            spread = statistics.stdev(values) if len(values) > 1 else 0.0
            cells.append(f"{statistics.mean(values):.3f} +-{spread:.3f}" if values else "-")
        print(f"mean {label}".ljust(24), *(cell.rjust(22) for cell in cells))
    for name, rows in results.items():
        for row in rows:
            if row.get("broken") or "worth" not in row:
                print(f"{name} {row['day']} {row['seed']}: {row.get('broken')} {row['log']}")


if __name__ == "__main__":
    main()
