"""Check identifiers."""

from __future__ import annotations

from briardyke.ids import new_id


class TestNewId:
    """Guards against identifiers that repeat and would cross two requests' answers."""

    def test_ids_differ_and_carry_their_prefix(self) -> None:
        ids = {new_id("att") for _ in range(1000)}
        assert len(ids) == 1000
        assert all(i.startswith("att-") for i in ids)
