"""Tests that a committed configuration is in force at entry instances in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio
from control_group import ADDRESSES, ControlGroup

if TYPE_CHECKING:
    from pathlib import Path

# Time in which a confirmed change must be in force at every entry instance.
BOUND_MS = 2000.0


class TestControlInstanceThatIsBehind:
    """Covers a control instance that hears its leader and does not hold what was committed."""

    @pytest.mark.parametrize("fault", ["has_stalled_disk", "has_full_disk", "loses_entries"])
    @pytest.mark.parametrize("is_busy", [False, True])
    async def test_change_committed_elsewhere_is_in_force_in_time(
        self, autojump_clock: Any, tmp_path: Path, nursery: trio.Nursery, fault: str, is_busy: bool
    ) -> None:
        group = ControlGroup(tmp_path, nursery)
        leader = await group.start()
        entries = {name: group.add_entry(name, is_busy) for name in ADDRESSES}
        (await group.controls[leader].propose_configuration(1, b"{}")).unwrap()
        await trio.sleep(5)
        assert all(entry.client.view.version == 1 for entry in entries.values())
        follower = next(name for name in ADDRESSES if name != leader)
        setattr(group.faults[follower], fault, True)
        for version in range(2, 10):
            await trio.sleep(0.47)
            (await group.controls[leader].propose_configuration(version, b"{}")).unwrap()
            with trio.move_on_after(BOUND_MS / 1000.0):
                for entry in entries.values():
                    await entry.wait_in_force(version)
            late = [name for name, entry in entries.items() if version not in entry.in_force_ms]
            assert not late, f"version {version} is not in force in time"


class TestSilentControlInstance:
    """Covers control instances that take calls of entry instances and do not reply."""

    @pytest.mark.parametrize("silent", [1, 2])
    @pytest.mark.parametrize("phase_ms", range(0, 1200, 200))
    async def test_change_is_in_force_in_time_beside_silent_control_instances(
        self, autojump_clock: Any, tmp_path: Path, nursery: trio.Nursery, silent: int, phase_ms: int
    ) -> None:
        group = ControlGroup(tmp_path, nursery)
        leader = await group.start()
        followers = [name for name in ADDRESSES if name != leader]
        entry = group.add_entry(followers[0])
        (await group.controls[leader].propose_configuration(1, b"{}")).unwrap()
        await trio.sleep(5 + phase_ms / 1000.0)
        for name in followers[:silent]:
            group.faults[name].is_silent = True
        (await group.controls[leader].propose_configuration(2, b"{}")).unwrap()
        with trio.fail_after(BOUND_MS / 1000.0):
            await entry.wait_in_force(2)


class TestFirstConfiguration:
    """Covers the first configuration of a system."""

    @pytest.mark.parametrize("version", [0, 1, 7])
    async def test_it_is_in_force_whatever_its_number(
        self, autojump_clock: Any, tmp_path: Path, nursery: trio.Nursery, version: int
    ) -> None:
        group = ControlGroup(tmp_path, nursery)
        leader = await group.start()
        entry = group.add_entry(leader)
        await trio.sleep(2)
        assert not entry.client.view.is_synced
        (await group.controls[leader].propose_configuration(version, b"{}")).unwrap()
        with trio.fail_after(BOUND_MS / 1000.0):
            await entry.wait_in_force(version)
        assert entry.client.view.is_synced
