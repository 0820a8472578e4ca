"""Find the software version at which a stream that a caller takes up again must go on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs
import trio
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.software_versions.records import LIFETIME_MS, StreamVersion

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.fleet.messages import StreamReply
    from briardyke.gateway.dialect import RequestMetadata

# Interval at which the service of each stream is checked for a second version.
_CHECK_INTERVAL_MS = 250.0
# Interval at which streams are reported again, for control instances that have restarted.
_REPEAT_INTERVAL_MS = 5000.0


class Directory(Protocol):
    """Control instances that know the versions of streams."""

    async def report(self, rows: Sequence[StreamVersion]) -> None:
        """Send streams; return once they are kept, or after a short time."""

    async def find(self, request_id: str, service: str) -> StreamReply | None:
        """Ask for the version of a stream and the versions of its service."""


@attrs.define
class _OwnStream:
    """Stream that began here.

    :param row: its version.
    :param began_ms: time of its first event.
    :param reported_ms: time of the last report.
    """

    row: StreamVersion
    began_ms: float = attrs.field(factory=now_ms)
    reported_ms: float = float("-inf")


class StreamVersions:
    """Software versions of the streams that began here and may be taken up elsewhere.

    With one version in service, nothing is sent. As soon as a second one appears, the streams in
    progress are reported, and a new one before its caller receives the first event: whatever may
    be taken up must be known after the loss of this process.
    """

    def __init__(
        self,
        directory: Directory | None,
        versions: Callable[[str], set[str]],
        is_informed: Callable[[], bool],
    ) -> None:
        """Start without streams.

        :param directory: control instances, or ``None`` without any.
        :param versions: returns the versions of a service that may have begun a stream.
        :param is_informed: returns whether these are known as of now.
        """
        self._directory = directory
        self._versions = versions
        self._is_informed = is_informed
        self._own: dict[str, _OwnStream] = {}

    async def begin(self, request_id: str, service: str, software_version: str) -> None:
        """Record a stream before its first event is forwarded."""
        stream = _OwnStream(StreamVersion(request_id, service, software_version))
        self._own[request_id] = stream
        if self._directory is not None and len(self._versions(service)) > 1:
            stream.reported_ms = now_ms()
            await self._directory.report([stream.row])

    def finish(self, request_id: str) -> None:
        """Forget a stream that its caller has received whole."""
        self._own.pop(request_id, None)

    async def version_of(self, metadata: RequestMetadata, service: str) -> Result[str, Failure]:
        """Return the version at which a stream must go on.

        :return: ``stream_not_resumable`` when it is not known.
        """
        request_id = metadata.resumed_request_id
        own = self._own.get(request_id)
        if own is not None and own.row.service == service:
            return Ok(own.row.software_version)
        versions = self._versions(service)
        if len(versions) > 1 and not request_id:
            return _unknown("it does not name the request that began it")
        if len(versions) > 1 or not self._is_informed():
            reply = None
            if self._directory is not None:
                reply = await self._directory.find(request_id, service)
            if reply is None:
                return _unknown("no control instance knows its software version now")
            if reply.software_version is not None:
                return Ok(reply.software_version)
            versions |= set(reply.service_versions)
        if len(versions) != 1:
            return _unknown(f"one of {len(versions)} software versions began it")
        return Ok(versions.pop())

    async def run(self) -> None:
        """Report the streams of services with several versions, until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_MS / 1000.0)
            self._forget_old()
            due_ms = now_ms() - _REPEAT_INTERVAL_MS
            due = [s for s in self._own.values() if s.reported_ms < due_ms]
            mixed = {s.row.service for s in due if len(self._versions(s.row.service)) > 1}
            due = [stream for stream in due if stream.row.service in mixed]
            if due and self._directory is not None:
                for stream in due:
                    stream.reported_ms = now_ms()
                await self._directory.report([stream.row for stream in due])

    def _forget_old(self) -> None:
        limit_ms = now_ms() - LIFETIME_MS
        for request_id in [i for i, s in self._own.items() if s.began_ms < limit_ms]:
            del self._own[request_id]


def _unknown(reason: str) -> Result[str, Failure]:
    text = f"the stream cannot be continued: {reason}"
    return Err(Failure(ErrorKind.STREAM_NOT_RESUMABLE, text))
