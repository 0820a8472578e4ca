"""Tests of the file of quarantined parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.quarantine.records import PartState, PartVerdict
from briardyke.quarantine.store import VerdictStore

if TYPE_CHECKING:
    from pathlib import Path

ROW = PartVerdict("deadly", 3, 2, PartState.QUARANTINED, 1, 500.0)


class TestVerdictStore:
    """Covers saving and loading."""

    async def test_only_quarantined_parts_are_kept(self, tmp_path: Path) -> None:
        suspected = attrs.evolve(ROW, part="other", state=PartState.SUSPECTED)
        await VerdictStore(tmp_path).save([ROW, suspected])
        assert VerdictStore(tmp_path).load() == [ROW]

    async def test_cleared_part_is_removed(self, tmp_path: Path) -> None:
        store = VerdictStore(tmp_path)
        await store.save([ROW])
        await store.save([attrs.evolve(ROW, sequence=3, state=PartState.CLEARED)])
        assert VerdictStore(tmp_path).load() == []

    async def test_unchanged_verdicts_are_not_written_again(self, tmp_path: Path) -> None:
        await VerdictStore(tmp_path).save([ROW])
        store = VerdictStore(tmp_path)
        store.load()
        (tmp_path / "quarantine").unlink()
        await store.save([ROW])
        assert not (tmp_path / "quarantine").exists()

    async def test_missing_and_damaged_files_count_as_empty(self, tmp_path: Path) -> None:
        assert VerdictStore(tmp_path).load() == []
        (tmp_path / "quarantine").write_bytes(b"damaged")
        assert VerdictStore(tmp_path).load() == []

    async def test_failed_write_is_tried_again(self, tmp_path: Path) -> None:
        store = VerdictStore(tmp_path / "missing")
        await store.save([ROW])
        (tmp_path / "missing").mkdir()
        await store.save([ROW])
        assert VerdictStore(tmp_path / "missing").load() == [ROW]
