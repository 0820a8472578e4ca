"""Build the response that lists entry instances for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briardyke.wire.messages import InstanceStatus


def address_response(
    listed: Sequence[InstanceStatus],
    data_centre: str,
    ttl_ms: float,
    excluded_id: str | None,
) -> dict[str, Any]:
    """Return the body of an address response.

    :param listed: instances that callers may be sent to.
    :param data_centre: caller's data centre, whose instances come first; empty if unknown.
    :param ttl_ms: time for which the caller may keep the response, in milliseconds.
    :param excluded_id: this instance when it must not be used, else ``None``.
    :return: addresses, preferred ones first, each with weight and data centre.
    """
    usable = [status for status in listed if status.instance_id != excluded_id]
    usable.sort(key=lambda s: (s.data_centre != data_centre, s.data_centre, s.instance_id))
    return {
        "ttl_ms": ttl_ms,
        "addresses": [
            {
                "address": status.address,
                "instance_id": status.instance_id,
                "data_centre": status.data_centre,
                "weight": status.weight,
                "local": status.data_centre == data_centre,
            }
            for status in usable
        ],
    }
