"""Implement the replicated state machine of the configuration."""

from __future__ import annotations

import msgpack

from briardyke.logs import log_event
from briardyke.routes.configuration import NO_VERSION


class ConfigurationMachine:
    """State machine that keeps the document with the highest version and ignores other commands.

    Of two documents with the same version, the first in the log is kept.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.document: bytes | None = None

    @staticmethod
    def encode_command(version: int, document: bytes) -> bytes:
        """Return the command that proposes a document."""
        return msgpack.packb([version, document])

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the document if its version is higher; return the version then in force."""
        version, document = msgpack.unpackb(command)
        if self.document is None or version > self.version:
            log_event("configuration_adopted", version=version, before=self.version, index=index)
            self.version, self.document = version, document
        return msgpack.packb(self.version)

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        return msgpack.packb([self.version, self.document])

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""
        self.version, self.document = msgpack.unpackb(data)
