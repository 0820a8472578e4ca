"""Write one line of key=value pairs for each event through absl.logging."""

from __future__ import annotations

import logging as standard_logging
import sys
import time
import traceback
from pathlib import Path
from typing import Any, TextIO

from absl import flags, logging

# One line costs about 0.1 ms; 60 a second take under 1% of a core.
LINES_PER_S = 60
ROUTINE_LINES_PER_S = 20
_NEEDS_QUOTES = frozenset(' "=\n\r\t')


class _KeyValueFormatter(standard_logging.Formatter):
    """Put time and level in front of the event's own pairs."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the complete log line."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        stamp = f"{seconds}.{int(record.msecs):03d}Z"
        message = record.getMessage()
        if not message.startswith("event="):
            message = f"event=library logger={record.name} message={_quote(message)}"
        line = f"time={stamp} level={record.levelname.lower()} {message}"
        if record.exc_info:
            line += f" traceback={_quote(self.formatException(record.exc_info))}"
        return line


def configure_logs(level: str, stream: TextIO | None = None) -> None:
    """Send all log lines to one stream.

    :param level: lowest level written: debug, info, warning or error.
    :param stream: where to write; standard error by default.
    """
    flags.FLAGS.mark_as_parsed()  # absl warns about lines logged before its own flags are parsed
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_KeyValueFormatter())
    handler.python_handler.stream = stream or sys.stderr
    logging.set_verbosity(level)
    standard_logging.getLogger("hypercorn").setLevel(standard_logging.WARNING)


def log_event(event: str, /, **fields: Any) -> None:
    """Log an event at level info.

    :param event: name of the event in snake case.
    :param fields: pairs to write, in the given order.
    """
    if logging.level_info():
        logging.info("%s", _line(event, fields))


def log_limited(event: str, /, *, is_routine: bool, **fields: Any) -> None:
    """Log an event at level info within the volume that one process may write.

    Load: thousands of requests a second must not pay for as many lines. Routine events get a
    smaller part, so that failures stay visible among them; what was left out is counted.

    :param event: name of the event in snake case.
    :param is_routine: whether nothing went wrong.
    :param fields: pairs to write, in the given order.
    """
    left_out = _volume.admit(is_routine)
    if left_out is None:
        return
    if left_out:
        log_event("lines_left_out", count=left_out)
    if logging.level_info():
        logging.info("%s", _line(event, fields))


class _Volume:
    """Bound the limited lines of each second."""

    def __init__(self) -> None:
        self._second = 0
        self._written = 0
        self._left_out = 0

    def admit(self, is_routine: bool) -> int | None:
        """Return ``None`` to leave a line out, else how many were left out before it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._written = second, 0
        bound = ROUTINE_LINES_PER_S if is_routine else LINES_PER_S
        if self._written >= bound:
            self._left_out += 1
            return None
        self._written += 1
        left_out, self._left_out = self._left_out, 0
        return left_out


_volume = _Volume()


def log_debug(event: str, /, **fields: Any) -> None:
    """Log an event at level debug."""
    if logging.level_debug():
        logging.debug("%s", _line(event, fields))


def log_warning(event: str, /, **fields: Any) -> None:
    """Log an event at level warning."""
    logging.warning("%s", _line(event, fields))


def log_error(event: str, /, **fields: Any) -> None:
    """Log an event at level error."""
    logging.error("%s", _line(event, fields))


def place_of(error: BaseException) -> str:
    """Return the module, line and function in which an error was raised, for a log line."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{Path(last.filename).name}:{last.lineno} {last.name}"


def _line(event: str, fields: dict[str, Any]) -> str:
    return " ".join([f"event={event}", *(f"{k}={_quote(str(v))}" for k, v in fields.items())])


def _quote(text: str) -> str:
    if text and _NEEDS_QUOTES.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + escaped.replace("\r", "\\r").replace("\t", "\\t") + '"'
