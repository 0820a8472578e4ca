"""Orders and counted accelerator memory."""

from __future__ import annotations

import attrs
import pytest

from briardyke.errors import ErrorKind
from briardyke.standins.engine.memory import AcceleratorMemory, MemorySettings, Order, parse_order

CHECKED = MemorySettings(100, 50.0, 10, 5.0, 20.0, True, True)
UNCHECKED = attrs.evolve(CHECKED, checks_fencing=False, checks_memory=False)


def _order(item: str, size: int = 60, token: int = 1, kind: str = "load", **changes: str) -> Order:
    fields = {"order_id": f"{kind}-{item}-{token}", "incarnation": "inc-1", **changes}
    return Order(fencing_token=token, kind=kind, item=item, size_bytes=size, **fields)


def _free(name: str) -> bool:
    return False


class TestLoad:
    @pytest.mark.parametrize(
        ("settings", "refused", "overcommitted", "peak"),
        [(CHECKED, True, 0, 60), (UNCHECKED, False, 1, 120)],
        ids=["checks on", "checks off"],
    )
    def test_load_beyond_capacity(
        self, settings: MemorySettings, refused: bool, overcommitted: int, peak: int
    ) -> None:
        """Guards against an overcommit that no test can see (P1)."""
        memory = AcceleratorMemory(settings, "inc-1")
        assert memory.take(_order("m1"), 0.0).is_ok()
        taken = memory.take(_order("m2"), 0.0)
        assert taken.is_err() is refused
        if refused:
            assert taken.unwrap_err().kind is ErrorKind.MEMORY_EXHAUSTED
        assert (memory.overcommitted, memory.peak_bytes) == (overcommitted, peak)

    @pytest.mark.parametrize(("size", "ready_ms"), [(10, 5.0), (60, 1200.0)])
    def test_load_takes_its_time_and_counts_at_once(self, size: int, ready_ms: float) -> None:
        """Guards against memory that counts only after the load."""
        memory = AcceleratorMemory(CHECKED, "inc-1")
        memory.take(_order("m1", size), 0.0)
        memory.tick(ready_ms - 1, _free)
        assert (memory.loaded("m1"), memory.committed_bytes) == (False, size)
        memory.tick(ready_ms, _free)
        assert memory.loaded("m1")

    @pytest.mark.parametrize(
        ("changes", "settings", "kind"),
        [
            ({"token": 1}, CHECKED, ErrorKind.FENCED),
            ({"token": 3, "incarnation": "inc-0"}, CHECKED, ErrorKind.FENCED),
            ({"token": 1, "incarnation": "inc-0"}, UNCHECKED, None),
            ({"token": 2}, CHECKED, None),
        ],
    )
    def test_fencing(self, changes: dict, settings: MemorySettings, kind: ErrorKind | None) -> None:
        """Guards against old orders that run where they must be refused."""
        memory = AcceleratorMemory(settings, "inc-1")
        memory.take(_order("m1", 10, 2), 0.0)
        taken = memory.take(_order("m2", 10, **changes), 0.0)
        assert (taken.unwrap_err().kind if taken.is_err() else None) is kind


class TestUnload:
    def test_waits_for_running_requests_and_confirms(self) -> None:
        """Guards against memory that is freed under a running request."""
        memory = AcceleratorMemory(CHECKED, "inc-1")
        memory.preload("m1", 60)
        assert memory.take(_order("m1", kind="unload"), 0.0).is_ok()
        assert not memory.loaded("m1")
        memory.tick(1000.0, lambda name: True)
        assert memory.committed_bytes == 60
        memory.tick(1001.0, _free)
        assert (memory.committed_bytes, list(memory.ended_order_ids)) == (0, ["unload-m1-1"])

    def test_old_load_runs_again_without_fencing(self) -> None:
        """Guards against a stand-in that is safer than the engines it stands for."""
        memory = AcceleratorMemory(UNCHECKED, "inc-1")
        memory.take(_order("m1", token=1), 0.0)
        memory.take(_order("m1", token=2, kind="unload"), 2000.0)
        memory.tick(3000.0, _free)
        assert memory.committed_bytes == 0
        memory.take(_order("m1", token=1), 3000.0)
        assert memory.committed_bytes == 60


class TestParseOrder:
    @pytest.mark.parametrize(
        ("field", "value"),
        [("kind", "drop"), ("fencing_token", "1"), ("order_id", None), ("size_bytes", -1)],
    )
    def test_bad_field_is_refused(self, field: str, value: object) -> None:
        """Guards against a malformed order that is executed."""
        good = attrs.asdict(_order("m1"))
        assert parse_order(good).is_ok()
        failure = parse_order({**good, field: value}).unwrap_err()
        assert failure.kind is ErrorKind.FIELD_INVALID
