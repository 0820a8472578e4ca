"""Plot the measured slopes and write them as a table.

Run ``python bench/capacity.py slopes.json daemon.json`` after ``bench/slopes.py slopes.json`` and
``bench/daemon_cost.py daemon.json``. It writes ``docs/capacity-slopes.md`` and
``docs/capacity-slopes.svg``; docs/CAPACITY.md draws its sums from them.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "briardyke"  # the same input gives the same file

import matplotlib.pyplot as plt  # noqa: E402
from matplotlib.ticker import MaxNLocator  # noqa: E402

DOCS = Path(__file__).resolve().parents[1] / "docs"
_COLUMNS = 4


def table(fits: list[dict[str, Any]]) -> str:
    """Return the fits as a table in Markdown."""
    lines = [
        "| what | unit | slope | per | at size 0 | sizes | largest residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for one in fits:
        sizes = ", ".join(f"{point[0]:g}" for point in one["points"])
        lines.append(
            f"| {one['name']} | {one['unit']} | {one['slope']:.3g} | {one['per']} "
            f"| {one['intercept']:.3g} | {sizes} | {one['residual']:.0%} |"
        )
    return "\n".join(lines)


def plot(fits: list[dict[str, Any]], path: Path) -> None:
    """Draw the measured points and the fitted line of each slope."""
    rows = -(-len(fits) // _COLUMNS)
    figure, axes = plt.subplots(rows, _COLUMNS, figsize=(4 * _COLUMNS, 2.6 * rows))
    for axis, one in zip(axes.flat, fits, strict=False):
        sizes, values = zip(*one["points"], strict=True)
        axis.plot(sizes, values, "o")
        line = [one["intercept"] + one["slope"] * size for size in sizes]
        axis.plot(sizes, line, "-")
        axis.set_title(one["name"], fontsize=7)
        axis.set_xlabel(one["per"], fontsize=6)
        axis.set_ylabel(one["unit"], fontsize=6)
        axis.tick_params(labelsize=6)
        axis.xaxis.set_major_locator(MaxNLocator(4))
    for axis in list(axes.flat)[len(fits) :]:
        axis.axis("off")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main(paths: list[str]) -> None:
    """Read the fits and write table and plot."""
    fits: list[dict[str, Any]] = []
    for path in paths:
        fits += json.loads(Path(path).read_text(encoding="utf-8"))
    plot(fits, DOCS / "capacity-slopes.svg")
    head = (
        "# Measured slopes\n\nWritten by `bench/capacity.py` from the runs of `bench/slopes.py` "
        "and `bench/daemon_cost.py` on a machine with 10 cores. Lines are fitted to relative "
        "errors; a residual above 30% means that the growth is not a straight line or that the "
        "value is close to the noise, and its slope is a rough figure.\n\n"
        "![slopes](capacity-slopes.svg)\n\n"
    )
    (DOCS / "capacity-slopes.md").write_text(head + table(fits) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1:])
