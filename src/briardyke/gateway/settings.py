"""Describe where an entry instance runs and what bounds it."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address
from briardyke.gateway.state import RetryBounds


@attrs.frozen
class InstanceSettings:
    """Describe an entry instance.

    :param instance_id: name of the instance.
    :param data_centre: where it runs.
    :param listen: where callers connect.
    :param grace_s: time between a stop request and the kill.
    :param retries: repeats allowed over all entry instances.
    :param capacity_per_s: requests a second that it could carry.
    """

    instance_id: str
    data_centre: str
    listen: Address
    grace_s: float
    retries: RetryBounds
    capacity_per_s: float = 0.0
