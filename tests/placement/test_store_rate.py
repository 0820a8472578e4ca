"""Check the weight store's limits."""

from __future__ import annotations

from briardyke.agreed.configuration import PlacementSettings
from briardyke.placement.store_rate import TRANSIT_TIMEOUT_MS, StoreRate

_LIMITS = PlacementSettings(
    store_loads_per_second=2.0, store_concurrent_loads=2, adapters_in_transit=3
)


class TestStoreRate:
    """Guards against loads that slow the whole store down."""

    def test_starts_are_spaced(self) -> None:
        """Guards against bursts, also right after another leader's last start."""
        rate = StoreRate(0.0)
        assert not rate.may_start(False, _LIMITS, 499.0)
        assert rate.may_start(False, _LIMITS, 500.0)
        rate.start(("e", "i", "a"), False, 500.0)
        assert not rate.may_start(False, _LIMITS, 999.0)

    def test_concurrency_counts_loads_in_doubt_until_their_timeout(self) -> None:
        """Guards against more loads at once than the store serves at full speed."""
        rate = StoreRate(0.0)
        rate.start(("e", "i", "a"), False, 500.0)
        rate.start(("e", "i", "b"), False, 1000.0)
        assert not rate.may_start(False, _LIMITS, 9_000.0)
        rate.finish(("e", "i", "a"))
        assert rate.may_start(False, _LIMITS, 9_000.0)
        rate.hold(("e", "i", "c"), False, 9_000.0)
        assert not rate.may_start(False, _LIMITS, 1000.0 + TRANSIT_TIMEOUT_MS - 1)
        assert rate.may_start(False, _LIMITS, 1000.0 + TRANSIT_TIMEOUT_MS)

    def test_adapters_have_their_own_limit(self) -> None:
        """Guards against adapters that wait behind models, and against too many of them."""
        rate = StoreRate(0.0)
        for name in "abc":
            assert rate.may_start(True, _LIMITS, 0.0)
            rate.start(("e", "i", name), True, 0.0)
        assert not rate.may_start(True, _LIMITS, 0.0)
        assert rate.may_start(False, _LIMITS, 500.0)
