"""Tests that entry instances know how recent their configuration provably is.

Each covers a row of the failure table of accounts, keys and proof of age in
``docs/design/hard-load.md``, or a way in which a proof could look younger than it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio
from control_group import ADDRESSES, ControlGroup, Entry

from briardyke.clock import boot_ms
from briardyke.gateway.configuration_proof import ConfigurationProof, max_control_proof_age_ms

if TYPE_CHECKING:
    from pathlib import Path

REVOCATION_MS = 5000.0
# Pause and long poll while idle, and the age of a follower's proof.
CALM_AGE_MS = 2000.0


class Site:
    """Control instances with one configuration, and entry instances beside each of them."""

    def __init__(self, directory: Path, nursery: trio.Nursery) -> None:
        self.group = ControlGroup(directory, nursery)
        self.entries: dict[str, Entry] = {}
        self.proofs: dict[str, ConfigurationProof] = {}
        self.leader = ""

    async def start(self, is_busy: bool = False) -> None:
        self.leader = await self.group.start()
        (await self.group.controls[self.leader].propose_configuration(1, b"{}")).unwrap()
        for name in ADDRESSES:
            self.add_entry(name, is_busy)
        await trio.sleep(4)

    def add_entry(self, name: str, is_busy: bool = False) -> ConfigurationProof:
        """Start an entry instance; return its proof."""
        entry = self.entries[name] = self.group.add_entry(
            name, is_busy, max_control_proof_age_ms(REVOCATION_MS)
        )
        view = entry.client.view
        proof = ConfigurationProof(
            REVOCATION_MS, lambda: view.proven_as_of_ms, entry.client.report_now
        )
        self.proofs[name] = proof
        return proof

    @property
    def followers(self) -> list[str]:
        return [name for name in ADDRESSES if name != self.leader]

    def only(self, name: str) -> None:
        """Let all other control instances give no reply to entry instances."""
        for other, fault in self.group.faults.items():
            fault.is_silent = other != name


@pytest.fixture
async def site(autojump_clock: Any, tmp_path: Path, nursery: trio.Nursery) -> Site:
    found = Site(tmp_path, nursery)
    await found.start()
    return found


class TestWithoutFaults:
    """Covers requirement 7: in touch with a majority, the proof is never missing."""

    @pytest.mark.parametrize("is_busy", [False, True])
    async def test_proof_stays_young(
        self, autojump_clock: Any, tmp_path: Path, nursery: trio.Nursery, is_busy: bool
    ) -> None:
        """Guards against a proof that expires between two polls."""
        site = Site(tmp_path, nursery)
        await site.start(is_busy)
        for _ in range(400):
            await trio.sleep(0.05)
            assert max(proof.age_ms for proof in site.proofs.values()) < CALM_AGE_MS

    async def test_proof_stays_young_beside_two_silent_control_instances(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against an instance that is without the proof though it reaches a follower."""
        site.only(site.followers[0])
        for _ in range(400):
            await trio.sleep(0.05)
            assert all(proof.is_valid for proof in site.proofs.values())

    @pytest.mark.parametrize("is_busy", [False, True])
    async def test_control_instance_that_the_leader_does_not_hear_is_left(
        self, autojump_clock: Any, tmp_path: Path, nursery: trio.Nursery, is_busy: bool
    ) -> None:
        """Guards against an instance that follows the only control instance without a proof."""
        site = Site(tmp_path, nursery)
        await site.start(is_busy)
        deaf = site.followers[0]
        site.group.faults[deaf].loses_replies = True
        for _ in range(300):
            await trio.sleep(0.05)
            assert all(proof.is_valid for proof in site.proofs.values())
        age_ms = site.group.controls[deaf].log.proof_age_ms()
        assert age_ms is not None
        assert age_ms > REVOCATION_MS

    async def test_steps_of_the_wall_clock_change_nothing(
        self, autojump_clock: Any, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against ages that are taken from a clock that can be set."""
        for step_ms in (3_600_000, -3_600_000):
            monkeypatch.setattr("time.time_ns", lambda step_ms=step_ms: (10**9 + step_ms) * 10**6)
            monkeypatch.setattr("time.time", lambda step_ms=step_ms: 10.0**6 + step_ms / 1000.0)
            for _ in range(40):
                await trio.sleep(0.1)
                assert all(0 <= p.age_ms < CALM_AGE_MS for p in site.proofs.values())

    async def test_slow_replies_count_their_time(self, autojump_clock: Any, site: Site) -> None:
        """Guards against a poll that looks as recent as its arrival."""
        for fault in site.group.faults.values():
            fault.reply_delay_s = 0.25
        await trio.sleep(3)
        for _ in range(40):
            await trio.sleep(0.1)
            assert all(250 <= p.age_ms < REVOCATION_MS * 0.95 for p in site.proofs.values())


class TestLeaderDies:
    """Row 1: proofs age until the next leader has committed an entry."""

    async def test_proof_ages_and_returns_below_the_bound(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against a gap in the service of requests with keys at each change of leader."""
        site.group.stop(site.leader)
        started_ms, oldest_ms = boot_ms(), 0.0
        for _ in range(160):
            await trio.sleep(0.05)
            oldest_ms = max(oldest_ms, *(p.age_ms for p in site.proofs.values()))
        assert oldest_ms < 0.95 * REVOCATION_MS
        assert all(p.as_of_ms() > started_ms + 2000.0 for p in site.proofs.values())

    async def test_key_revoked_under_the_next_leader_is_refused_in_time(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against an entry instance that holds on to what the former leader confirmed."""
        site.group.stop(site.leader)
        confirmed_ms = await revoke(site, site.followers)
        await check_revoked(site, confirmed_ms, set(ADDRESSES))


async def revoke(site: Site, names: list[str]) -> float:
    """Commit version 2 at one of some control instances; return when it was confirmed."""
    while True:
        for name in names:
            result = await site.group.controls[name].propose_configuration(2, b"{}")
            if result.is_ok():
                return boot_ms()
        await trio.sleep(0.05)


async def check_revoked(site: Site, confirmed_ms: float, returning: set[str]) -> None:
    """Check that version 1 is not usable after the bound, and that service returns.

    :param returning: entry instances that must have version 2 with a proof in the end.
    """
    while boot_ms() < confirmed_ms + 2 * REVOCATION_MS:
        await trio.sleep(0.02)
        if boot_ms() <= confirmed_ms + REVOCATION_MS:
            continue
        for name, entry in site.entries.items():
            assert entry.client.view.version == 2 or not site.proofs[name].is_valid
    for name in returning:
        assert site.entries[name].client.view.version == 2
        assert site.proofs[name].is_valid


class TestCutOff:
    """Rows 2 and 4: entry instances or control instances that are cut off."""

    async def test_entry_instance_without_control_instances(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against an entry instance that serves a revoked key while it is cut off."""
        for fault in site.group.faults.values():
            fault.is_silent = True
        cut_ms = boot_ms()
        confirmed_ms = await revoke(site, [site.leader])
        await check_revoked(site, confirmed_ms, set())
        assert all(proof.age_ms >= boot_ms() - cut_ms for proof in site.proofs.values())
        for fault in site.group.faults.values():
            fault.is_silent = False
        await trio.sleep(2)
        assert all(proof.is_valid for proof in site.proofs.values())
        assert all(entry.client.view.version == 2 for entry in site.entries.values())

    async def test_entry_instances_at_a_follower_that_is_cut_off(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against a proof from a control instance that hears no leader."""
        cut = site.followers[0]
        site.only(cut)
        site.group.faults[cut].is_cut_off = True
        confirmed_ms = await revoke(site, [site.leader])
        await check_revoked(site, confirmed_ms, set())

    async def test_entry_instances_at_a_leader_that_is_cut_off(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against a former leader that vouches for its state."""
        site.only(site.leader)
        site.group.faults[site.leader].is_cut_off = True
        confirmed_ms = await revoke(site, site.followers)
        await check_revoked(site, confirmed_ms, set())
        site.group.faults[site.leader].is_cut_off = False
        await trio.sleep(5)
        assert all(proof.is_valid for proof in site.proofs.values())


class TestFreeze:
    """Row 3: processes and machines that stand still."""

    async def test_entry_instance_wakes_with_an_old_proof(
        self, autojump_clock: Any, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a clock that stands still while the machine is suspended."""

        def later_ms() -> float:
            return boot_ms() + 10_000.0

        monkeypatch.setattr("briardyke.gateway.configuration_proof.boot_ms", later_ms)
        monkeypatch.setattr("briardyke.fleet.client.boot_ms", later_ms)
        assert not any(proof.is_valid for proof in site.proofs.values())
        await trio.sleep(2)
        assert all(proof.is_valid for proof in site.proofs.values())

    async def test_reply_that_waited_through_a_freeze_proves_little(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against a reply that was made before the freeze and read after it."""
        for fault in site.group.faults.values():
            fault.reply_delay_s = 8.0
        await trio.sleep(1.5)  # a poll is under way
        confirmed_ms = await revoke(site, [site.leader])
        await check_revoked(site, confirmed_ms, set())

    async def test_control_instance_that_was_suspended_gives_no_fresh_proof(
        self, autojump_clock: Any, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against control instances whose ages leave out the time of a suspension."""
        for fault in site.group.faults.values():
            fault.is_cut_off = True
        monkeypatch.setattr("briardyke.consensus.driver.boot_ms", lambda: boot_ms() + 10_000.0)
        assert all((c.log.proof_age_ms() or 0) > 10_000.0 for c in site.group.controls.values())


class TestStart:
    """Covers control instances that have just started."""

    async def test_configuration_from_the_disk_is_served_and_not_proven(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against a stored configuration that is older than a confirmed one."""
        for fault in site.group.faults.values():
            fault.is_cut_off = True
        await site.group.restart()
        proof = site.add_entry("late")
        await site.entries["late"].wait_in_force(1)
        await trio.sleep(1)
        assert site.entries["late"].client.view.is_synced
        assert proof.age_ms == float("inf")
        for fault in site.group.faults.values():
            fault.is_cut_off = False
        await trio.sleep(6)
        assert all(proof.is_valid for proof in site.proofs.values())

    async def test_unreadable_configuration_gives_no_proof(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against a proof for a configuration that the instance does not hold."""
        site.entries["a"].unreadable = {2}
        confirmed_ms = await revoke(site, [site.leader])
        await check_revoked(site, confirmed_ms, {"b", "c"})
        assert site.entries["a"].client.view.version == 1
        site.entries["a"].unreadable = set()
        await trio.sleep(2)
        assert site.proofs["a"].is_valid
