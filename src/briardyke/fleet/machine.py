"""Agree on the newest numbered configuration."""

from __future__ import annotations

import msgpack

from briardyke.logs import log_event


class ConfigurationMachine:
    """Hold the document with the highest number; any other command changes nothing.

    Two documents under one number are decided by log order: the first stays.
    """

    def __init__(self) -> None:
        self.version = 0
        self.document: bytes | None = None

    @staticmethod
    def command(version: int, document: bytes) -> bytes:
        """Return the command that offers a document."""
        return msgpack.packb([version, document])

    def apply(self, index: int, command: bytes) -> bytes:
        """Take the document if its number is higher; return the number then in force."""
        version, document = msgpack.unpackb(command)
        if self.document is None or version > self.version:
            log_event("configuration_adopted", version=version, before=self.version, index=index)
            self.version, self.document = version, document
        return msgpack.packb(self.version)

    def snapshot(self) -> bytes:
        """Return the complete state."""
        return msgpack.packb([self.version, self.document])

    def restore(self, data: bytes) -> None:
        """Replace the complete state."""
        self.version, self.document = msgpack.unpackb(data)
