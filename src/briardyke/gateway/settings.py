"""Settings of an entry instance."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address
from briardyke.gateway.state import RetryBounds


@attrs.frozen
class InstanceSettings:
    """Settings of an entry instance.

    :param instance_id: id of the instance.
    :param data_centre: where it runs.
    :param listen: where callers connect.
    :param grace_s: time between a stop request and the forced stop, in seconds.
    :param retries: limits on the retries of all entry instances together.
    :param capacity_per_s: requests per second that it could process.
    :param memory_mb: memory of its machine, 0 when unknown.
    :param max_descriptors: descriptors that the process may open, 0 when unknown.
    """

    instance_id: str
    data_centre: str
    listen: Address
    grace_s: float
    retries: RetryBounds
    capacity_per_s: float = 0.0
    memory_mb: float = 0.0
    max_descriptors: int = 0
