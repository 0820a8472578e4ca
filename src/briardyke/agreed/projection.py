"""Hold the part of the replicated state that processes read locally."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from briardyke.agreed.configuration import Configuration
from briardyke.agreed.parsing import parse_configuration
from briardyke.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.agreed.records import Reservation, UpstreamRegistration

SCHEMA = 1


class Projection:
    """Provide the current configuration, registrations and reservations.

    In a control process the state machine updates it; an entry process updates its own from sync
    replies. The configuration is parsed once per version.
    """

    schema = SCHEMA

    def __init__(self) -> None:
        """Start at version 0 with an empty configuration."""
        self.version = 0
        self.document: Mapping[str, Any] = {}
        self.configuration = Configuration()
        self.upstreams: Mapping[str, UpstreamRegistration] = {}
        self.reservations: Mapping[tuple[str, str], Reservation] = {}
        self.applied_index = 0

    def accept(
        self,
        version: int,
        document: Mapping[str, Any],
        configuration: Configuration | None = None,
    ) -> Result[bool, Failure]:
        """Adopt a version of the configuration if it is newer.

        :param version: number of the version; it is ignored unless it is newer.
        :param document: configuration document of the version.
        :param configuration: the parsed document, if it has been parsed already.
        :return: whether the version is new, or ``protocol_mismatch`` when this process cannot read
            the document, in which case the current version stays in force.
        """
        if version <= self.version:
            return Ok(False)
        if configuration is None:
            parsed = parse_configuration(document)
            if parsed.reasons:
                text = f"cannot read version {version} with schema {SCHEMA}: {parsed.reasons[0]}"
                return Err(Failure(ErrorKind.PROTOCOL_MISMATCH, text, reasons=parsed.reasons))
            configuration = parsed.configuration
        self.version, self.document = version, document
        self.configuration = configuration
        return Ok(True)

    def set_tables(
        self,
        upstreams: dict[str, UpstreamRegistration],
        reservations: dict[tuple[str, str], Reservation],
    ) -> None:
        """Provide read-only views of a state machine's tables, which reflect later changes."""
        self.upstreams = MappingProxyType(upstreams)
        self.reservations = MappingProxyType(reservations)
