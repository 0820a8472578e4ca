"""Draw the requests of an emulation and those served in time, by second."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from briardyke.emulator.run import Result

_WIDTH, _HEIGHT, _MARGIN = 720, 240, 30


def write_plot(path: Path, results: list[Result]) -> None:
    """Write an SVG with the mean over all seeds.

    :raises OSError: when the file cannot be written.
    """
    seconds = sorted({second for result in results for second in result.tally.by_second})
    lines = [
        [
            sum(r.tally.by_second.get(second, [0, 0])[column] for r in results) / len(results)
            for second in seconds
        ]
        for column in (0, 1)
    ]
    top = max(max(lines[0], default=1.0), 1.0)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" height="{_HEIGHT}">',
        f'<text x="{_MARGIN}" y="15">requests per second, at most {top:.0f}: asked (grey) and'
        " served in time (black)</text>",
        _polyline(lines[0], top, "grey"),
        _polyline(lines[1], top, "black"),
        "</svg>",
    ]
    path.write_text("\n".join(parts) + "\n")


def _polyline(values: list[float], top: float, colour: str) -> str:
    width, height = _WIDTH - 2 * _MARGIN, _HEIGHT - 2 * _MARGIN
    step = width / max(1, len(values) - 1)
    points = " ".join(
        f"{_MARGIN + step * number:.1f},{_MARGIN + height * (1 - value / top):.1f}"
        for number, value in enumerate(values)
    )
    return f'<polyline fill="none" stroke="{colour}" points="{points}"/>'
