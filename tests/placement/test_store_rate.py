"""Tests for the limits on loads from the weight store."""

from __future__ import annotations

from briardyke.agreed.configuration import PlacementSettings
from briardyke.placement.store_rate import TRANSIT_TIMEOUT_MS, StoreRate

_LIMITS = PlacementSettings(
    store_loads_per_second=2.0, store_concurrent_loads=2, adapters_in_transit=3
)


class TestStoreRate:
    """Guards against loads that overload the weight store."""

    def test_starts_are_spaced(self) -> None:
        """Guards against bursts, also right after the last start of an earlier leader."""
        rate = StoreRate(0.0)
        assert not rate.may_start(("e", "i", "new"), False, _LIMITS, 499.0)
        assert rate.may_start(("e", "i", "new"), False, _LIMITS, 500.0)
        rate.start(("e", "i", "a"), False, 500.0)
        assert not rate.may_start(("e", "i", "new"), False, _LIMITS, 999.0)

    def test_unconfirmed_loads_count_as_concurrent_until_their_timeout(self) -> None:
        """Guards against more concurrent loads than the store serves at full speed."""
        rate = StoreRate(0.0)
        rate.start(("e", "i", "a"), False, 500.0)
        rate.start(("e", "i", "b"), False, 1000.0)
        assert not rate.may_start(("e", "i", "new"), False, _LIMITS, 9_000.0)
        rate.finish(("e", "i", "a"))
        assert rate.may_start(("e", "i", "new"), False, _LIMITS, 9_000.0)
        rate.add_in_transit(("e", "i", "c"), False, 9_000.0)
        assert not rate.may_start(
            ("e", "i", "new"), False, _LIMITS, 1000.0 + TRANSIT_TIMEOUT_MS - 1
        )
        assert rate.may_start(("e", "i", "new"), False, _LIMITS, 1000.0 + TRANSIT_TIMEOUT_MS)

    def test_adapters_have_their_own_limit(self) -> None:
        """Guards against adapters that wait behind models, and against too many of them."""
        rate = StoreRate(0.0)
        for name in "abc":
            assert rate.may_start(("e", "i", "new"), True, _LIMITS, 0.0)
            rate.start(("e", "i", name), True, 0.0)
        assert not rate.may_start(("e", "i", "new"), True, _LIMITS, 0.0)
        assert rate.may_start(("e", "i", "new"), False, _LIMITS, 500.0)

    def test_repeated_order_counts_as_a_start_but_keeps_its_timeout(self) -> None:
        """Guards against unlimited repetition, and orders that count as concurrent forever."""
        rate, key = StoreRate(0.0), ("e", "i", "a")
        rate.start(key, False, 500.0)
        assert not rate.may_start(key, False, _LIMITS, 999.0)
        rate.repeat(key, False, 1000.0)
        assert not rate.may_start(("e", "i", "b"), False, _LIMITS, 1499.0)
        rate.may_start(key, False, _LIMITS, 500.0 + TRANSIT_TIMEOUT_MS)
        assert not rate.is_in_transit(key)
