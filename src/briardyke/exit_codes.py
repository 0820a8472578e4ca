"""List the exit codes of the binaries."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """List the exit codes of every binary; docs/settings.md explains them."""

    OK = 0
    DEFECT = 1
    SETTINGS_INVALID = 2
    LISTEN_FAILED = 3
    STORAGE_FAILED = 4
    REQUEST_FAILED = 5
