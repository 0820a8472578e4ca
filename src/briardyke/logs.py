"""Write one line of key=value pairs for each event through absl.logging."""

from __future__ import annotations

import logging as standard_logging
import sys
import time
from typing import Any

from absl import flags, logging

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


def configure_logs(level: str) -> None:
    """Send all log lines to standard error.

    :param level: lowest level written: debug, info, warning or error.
    """
    flags.FLAGS.mark_as_parsed()  # absl warns about lines logged before its own flags are parsed
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_KeyValueFormatter())
    handler.python_handler.stream = sys.stderr
    logging.set_verbosity(level)
    standard_logging.getLogger("hypercorn").setLevel(standard_logging.WARNING)


def log_event(event: str, /, **fields: Any) -> None:
    """Log an event at level info.

    :param event: name of the event in snake case.
    :param fields: pairs to write, in the given order.
    """
    if logging.level_info():
        logging.info("%s", _line(event, fields))


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


def _line(event: str, fields: dict[str, Any]) -> str:
    return " ".join([f"event={event}", *(f"{k}={_quote(str(v))}" for k, v in fields.items())])


def _quote(text: str) -> str:
    if text and _NEEDS_QUOTES.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + escaped.replace("\r", "\\r").replace("\t", "\\t") + '"'
