"""Settings of an entry instance."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address
from briardyke.gateway.state import RetryBounds
from briardyke.quotas.bounds import QuotaBounds


@attrs.frozen
class InstanceSettings:
    """Settings of an entry instance.

    :param instance_id: id of the instance.
    :param data_centre: where it runs.
    :param listen: where callers connect.
    :param grace_s: time between a stop request and the forced stop, in seconds.
    :param retries: limits on the retries of all entry instances together.
    :param capacity_per_s: requests per second that it could process.
    :param revocation_ms: time after which a revoked key must be refused, ``None`` when keys are
        accepted under a configuration of any age.
    :param quota_bounds: how far the use of quotas may exceed them.
    :param memory_mb: memory of its machine, 0 when unknown.
    :param max_descriptors: descriptors that the process may open, 0 when unknown.
    """

    instance_id: str
    data_centre: str
    listen: Address
    grace_s: float
    retries: RetryBounds
    capacity_per_s: float = 0.0
    revocation_ms: float | None = None
    quota_bounds: QuotaBounds = QuotaBounds()
    memory_mb: float = 0.0
    max_descriptors: int = 0
