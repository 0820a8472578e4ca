"""Limit the rate and number of loads, so that the weight store is not overloaded."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from briardyke.agreed.configuration import PlacementSettings

# A load that is neither confirmed nor announced counts as in transit for this long: ten times the
# silence after which an upstream counts as dead. A slow network rarely delays an order for longer.
TRANSIT_TIMEOUT_MS = 30_000.0


@attrs.define
class _Transit:
    is_adapter: bool
    expires_at_ms: float


class StoreRate:
    """Count loads in transit and the time since the last start.

    The limits on rate and concurrency apply to models. Adapters have a separate limit, because they
    load in milliseconds and would otherwise wait behind models at one start per second.
    """

    def __init__(self, now_ms: float) -> None:
        """Assume that a load has just started, since the previous leader may have started one.

        :param now_ms: current time in milliseconds.
        """
        self._transits: dict[tuple[str, str, str], _Transit] = {}
        self._last_start_ms = now_ms
        self._adapter_count = 0

    def may_start(
        self,
        key: tuple[str, str, str],
        is_adapter: bool,
        settings: PlacementSettings,
        now_ms: float,
    ) -> bool:
        """Return whether a load may start now.

        A load in transit is not counted twice towards the concurrency limit, but ordering or
        repeating it counts as a start, because the earlier order may have been lost.

        :param key: upstream id, incarnation and item.
        :param is_adapter: whether the item is an adapter.
        :param settings: current limits.
        :param now_ms: current time in milliseconds.
        """
        self._expire(now_ms)
        is_counted = key in self._transits
        if is_adapter:
            return is_counted or self._adapter_count < settings.adapters_in_transit
        if (
            not is_counted
            and len(self._transits) - self._adapter_count >= settings.store_concurrent_loads
        ):
            return False
        loads_per_second = settings.store_loads_per_second
        return loads_per_second > 0 and now_ms - self._last_start_ms >= 1000.0 / loads_per_second

    def start(self, key: tuple[str, str, str], is_adapter: bool, now_ms: float) -> None:
        """Count a load that is ordered now and restart its transit timeout.

        :param key: upstream id, incarnation and item.
        :param is_adapter: whether the item is an adapter.
        :param now_ms: current time in milliseconds.
        """
        self.add_in_transit(key, is_adapter, now_ms)
        if not is_adapter:
            self._last_start_ms = now_ms

    def repeat(self, key: tuple[str, str, str], is_adapter: bool, now_ms: float) -> None:
        """Count a repeated order without restarting its transit timeout.

        Restarting it would let an engine that accepts no orders use one of the concurrent loads
        forever.
        """
        if not self.is_in_transit(key):
            self.add_in_transit(key, is_adapter, now_ms)
        if not is_adapter:
            self._last_start_ms = now_ms

    def add_in_transit(self, key: tuple[str, str, str], is_adapter: bool, now_ms: float) -> None:
        """Count a load as in transit from now on, such as one that an earlier leader ordered."""
        self.finish(key)
        self._transits[key] = _Transit(is_adapter, now_ms + TRANSIT_TIMEOUT_MS)
        self._adapter_count += is_adapter

    def finish(self, key: tuple[str, str, str]) -> None:
        """Stop counting a load that is complete or can no longer happen."""
        transit = self._transits.pop(key, None)
        if transit is not None:
            self._adapter_count -= transit.is_adapter

    def in_transit(self) -> set[tuple[str, str, str]]:
        """Return the keys of all loads that count as in transit."""
        return set(self._transits)

    def is_in_transit(self, key: tuple[str, str, str]) -> bool:
        """Return whether a load counts as in transit."""
        return key in self._transits

    def _expire(self, now_ms: float) -> None:
        for key in [k for k, t in self._transits.items() if t.expires_at_ms <= now_ms]:
            self.finish(key)
