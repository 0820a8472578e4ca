"""Define the software version of a stream, as processes report it to each other."""

from __future__ import annotations

import attrs

from briardyke.wire.codec import message

# Time for which versions are known after they were last seen: longer than any stream lasts over all
# attempts of its caller.
LIFETIME_MS = 120_000.0


@message
@attrs.frozen
class StreamVersion:
    """Software version that began a stream.

    :param request_id: id of the caller's attempt that received the first event.
    :param service: service of its upstream.
    :param software_version: version of its upstream.
    """

    request_id: str
    service: str
    software_version: str
