"""Hold the switches that make an engine misbehave."""

from __future__ import annotations

import attrs


@attrs.define
class EngineFaults:
    """Describe the faults in force; counts go down by one with each use.

    :param lost_orders: orders to accept without executing.
    :param late_orders: orders to execute only after ``late_order_ms``.
    :param duplicated_orders: orders to execute twice, the second time after ``late_order_ms``.
    :param late_order_ms: delay of late and duplicated orders, in milliseconds.
    :param speed_factor: multiplies all speeds; 0 stalls the engine.
    :param stall_after_tokens: tokens after which a stream goes silent; -1 for never.
    :param truncate_after_tokens: tokens after which a stream ends without a finish reason; -1
        for never.
    :param break_after_tokens: tokens after which the connection breaks; -1 for never.
    :param stream_faults: streams that the three settings above apply to; -1 for all.
    :param wrong_attempt_ids: streams to send with another attempt's completion id.
    :param duplicated_events: streams to send with each event twice.
    :param silent: accept connections but answer nothing.
    """

    lost_orders: int = 0
    late_orders: int = 0
    duplicated_orders: int = 0
    late_order_ms: float = 1000.0
    speed_factor: float = 1.0
    stall_after_tokens: int = -1
    truncate_after_tokens: int = -1
    break_after_tokens: int = -1
    stream_faults: int = -1
    wrong_attempt_ids: int = 0
    duplicated_events: int = 0
    silent: bool = False

    def use(self, name: str) -> bool:
        """Take one use of a counted switch; return whether one was left."""
        left = getattr(self, name)
        if left <= 0:
            return left < 0
        setattr(self, name, left - 1)
        return True


@attrs.frozen
class StreamFault:
    """Describe how one stream misbehaves; -1 disables a field.

    :param stall_after: tokens of this stream after which it goes silent.
    :param truncate_after: tokens of this stream after which it ends early.
    :param break_after: tokens of this stream after which the connection breaks.
    :param wrong_id: send another attempt's id.
    :param duplicate: send each event twice.
    """

    stall_after: int = -1
    truncate_after: int = -1
    break_after: int = -1
    wrong_id: bool = False
    duplicate: bool = False


def stream_fault(faults: EngineFaults) -> StreamFault:
    """Return the fault of the next stream and count its use."""
    limits = (faults.stall_after_tokens, faults.truncate_after_tokens, faults.break_after_tokens)
    wrong_id, duplicate = faults.use("wrong_attempt_ids"), faults.use("duplicated_events")
    if max(limits) < 0 or not faults.use("stream_faults"):
        limits = (-1, -1, -1)
    return StreamFault(*limits, wrong_id, duplicate)
