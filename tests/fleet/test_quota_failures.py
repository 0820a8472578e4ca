"""Tests of quotas while control instances, entry instances and messages between them fail."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest
import trio
from control_group import ADDRESSES, ControlGroup

from briardyke.accounts.types import AccountQuota, ClientAccount
from briardyke.clock import boot_ms
from briardyke.errors import ErrorKind, Failure
from briardyke.fleet import control as control_module
from briardyke.fleet.client import FleetClient
from briardyke.quotas import credits as credits_module
from briardyke.quotas.bounds import QuotaBounds
from briardyke.quotas.credits import AccountCredits
from briardyke.quotas.granter import QuotaGranter
from briardyke.routes.configuration import ServingConfiguration

if TYPE_CHECKING:
    from pathlib import Path

    from result import Result

    from briardyke.quotas.ledger import Charge
    from briardyke.quotas.messages import QuotaReply, QuotaRequest

BOUNDS = QuotaBounds(8.0, 0.1, 11_000.0)
QUOTA = AccountQuota(4800.0, 4800.0, True, 200)
LOWERED = AccountQuota(1200.0, 1200.0, True, 200)
ALLOWANCE = BOUNDS.allowance(QUOTA)
MAX_WAIT_MS = 1500.0
SIZE = 400.0


@attrs.define(eq=False)
class Instance:
    """Entry instance that charges requests and runs those that are admitted.

    :param used: time and tokens of each request that ran.
    :param failures: reasons of those that did not.
    """

    site: Site
    client: FleetClient
    name: str
    messages: int = 0
    used: list[tuple[float, float]] = attrs.field(factory=list)
    failures: list[Failure] = attrs.field(factory=list)
    credits: AccountCredits = attrs.field(init=False)

    async def ask(self, request: QuotaRequest) -> QuotaReply | None:
        self.messages += 1
        return await self.client.leader_calls.request_quota(request)

    def start(self) -> None:
        """Start a process, without what an earlier one held."""
        self.credits = AccountCredits(self.name, BOUNDS, self.ask)
        self.credits.record_instance_count(len(ADDRESSES))
        self.site.nursery.start_soon(self.credits.run)

    async def send(self, tokens: float = SIZE) -> Result[Charge, Failure]:
        taken = await self.credits.take("a", self.site.quota, tokens, MAX_WAIT_MS)
        if taken.is_ok():
            self.used.append((boot_ms(), tokens))
        else:
            self.failures.append(taken.unwrap_err())
        return taken

    async def send_for(self, duration_s: float, per_s: float = 20.0) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(int(duration_s * per_s)):
                nursery.start_soon(self.send)
                await trio.sleep(1.0 / per_s)


@attrs.define(eq=False)
class Site:
    """Control instances with the quota of one account, and an entry instance beside each."""

    group: ControlGroup
    nursery: trio.Nursery
    leader: str
    quota: AccountQuota = QUOTA
    version: int = 1
    instances: list[Instance] = attrs.field(factory=list)

    @classmethod
    async def started(cls, directory: Path, nursery: trio.Nursery) -> Site:
        group = ControlGroup(directory, nursery)
        leader = await group.start()
        site = cls(group, nursery, leader)
        (await group.controls[leader].propose_configuration(1, b"{}")).unwrap()
        for name, control in group.controls.items():
            granter = QuotaGranter(control, site.configuration, BOUNDS)
            control.grant_quota = granter.grant
            nursery.start_soon(granter.run)
            instance = Instance(site, group.add_entry(name, is_busy=True).client, name)
            instance.start()
            site.instances.append(instance)
        await trio.sleep(12)
        return site

    def configuration(self) -> ServingConfiguration:
        account = ClientAccount("a", (), quota=self.quota)
        return ServingConfiguration(self.version, (), {}, accounts=(account,))

    def change_quota(self, quota: AccountQuota) -> None:
        self.quota, self.version = quota, self.version + 1

    async def load(self, duration_s: float, per_s: float = 20.0) -> None:
        async with trio.open_nursery() as nursery:
            for instance in self.instances:
                nursery.start_soon(instance.send_for, duration_s, per_s)

    def most_in_window(self, since_ms: float = 0.0) -> float:
        rows = sorted(row for instance in self.instances for row in instance.used)
        starts = [at_ms for at_ms, _ in rows if at_ms >= since_ms]
        window_ms = BOUNDS.window_ms
        return max(
            (sum(n for at, n in rows if start <= at <= start + window_ms) for start in starts),
            default=0.0,
        )

    def used_since(self, since_ms: float) -> float:
        rows = (row for instance in self.instances for row in instance.used)
        return sum(tokens for at_ms, tokens in rows if at_ms >= since_ms)


@pytest.fixture
async def site(autojump_clock: Any, tmp_path: Path, nursery: trio.Nursery) -> Site:
    """Return a site whose buckets are full."""
    return await Site.started(tmp_path, nursery)


class TestControlInstances:
    """Covers leaders that go, freeze and return."""

    async def test_next_leader_grants_again_and_the_bound_holds(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against a second burst, and against accounts that stay refused."""
        await site.load(4.0)
        site.group.stop(site.leader)
        await site.load(4.0)
        since_ms = boot_ms()
        await site.load(6.0)
        assert site.used_since(since_ms) >= 4800.0 * 5.0
        assert site.most_in_window() <= BOUNDS.largest_use(QUOTA)

    async def test_without_any_leader_only_the_emergency_allowance_is_used(
        self, autojump_clock: Any, site: Site
    ) -> None:
        await site.load(2.0)
        for name in list(site.group.controls):
            site.group.stop(name)
        await trio.sleep(1.0)
        since_ms = boot_ms()
        await site.load(7.0, per_s=5.0)
        assert 0.0 < site.used_since(since_ms) <= ALLOWANCE.emergency
        kinds = {failure.kind for instance in site.instances for failure in instance.failures[-9:]}
        assert kinds == {ErrorKind.NO_MAJORITY}
        assert site.most_in_window() <= BOUNDS.largest_use(QUOTA)

    async def test_request_waits_for_the_next_leader(self, autojump_clock: Any, site: Site) -> None:
        """Guards against refusals during an election, which takes about a second."""
        site.group.stop(site.leader)
        instance = next(i for i in site.instances if i.name != site.leader)
        waited_ms = []

        async def send() -> None:
            sent_ms = boot_ms()
            # More than one instance may use without a leader; the next bucket is empty at first.
            if (await instance.send(ALLOWANCE.emergency / 3.0)).is_ok():
                waited_ms.append(boot_ms() - sent_ms)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(send)
                await trio.sleep(0.25)
        assert max(waited_ms) > 300.0

    async def test_leader_that_was_frozen_grants_nothing_until_it_leads_again(
        self, autojump_clock: Any, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against grants beside those of a leader that was elected meanwhile."""
        leader = site.group.controls[site.leader]
        monkeypatch.setattr(control_module, "suspended_ms", lambda: 60_000.0)
        assert leader.leading_term() is None
        since_ms = boot_ms()
        await site.instances[0].send()
        assert site.used_since(since_ms) <= SIZE
        await site.load(8.0)
        assert site.used_since(since_ms + 4000.0) >= 4800.0 * 3.0
        assert site.most_in_window() <= BOUNDS.largest_use(QUOTA)

    async def test_leader_that_is_cut_off_and_its_successor_keep_the_bound(
        self, autojump_clock: Any, site: Site
    ) -> None:
        await site.load(3.0)
        site.group.faults[site.leader].is_cut_off = True
        await site.load(10.0)
        assert site.most_in_window() <= BOUNDS.largest_use(QUOTA)
        assert site.used_since(boot_ms() - 4000.0) >= 4800.0 * 3.0


class TestEntryInstances:
    """Covers entry instances that restart, stand still or lose replies."""

    async def test_restarts_keep_the_bound(self, autojump_clock: Any, site: Site) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.load, 10.0)
            for _ in range(20):
                await trio.sleep(0.5)
                for instance in site.instances:
                    instance.start()
        assert site.most_in_window() <= BOUNDS.largest_use(QUOTA)
        assert site.used_since(boot_ms() - 8000.0) >= 4800.0 * 7.0

    async def test_frozen_instance_has_no_credits_on_waking(
        self, autojump_clock: Any, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against credits on a clock that stands still while the machine is suspended."""
        instance = site.instances[0]
        for _ in range(8):
            await instance.send(100.0)
        held = instance.credits.held()["a"]
        assert held > 0.0
        monkeypatch.setattr(credits_module, "boot_ms", lambda: boot_ms() + 5000.0)
        assert instance.credits.held()["a"] == 0.0

    async def test_lost_replies_cost_their_tokens_and_nothing_else(
        self, autojump_clock: Any, site: Site
    ) -> None:
        """Guards against tokens that are granted again, and against a stuck instance."""
        fault = site.group.faults[site.leader]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.load, 10.0)
            for _ in range(10):
                fault.reply_delay_s = 0.4
                await trio.sleep(0.4)
                fault.reply_delay_s = 0.0
                await trio.sleep(0.6)
        assert site.most_in_window() <= BOUNDS.largest_use(QUOTA)
        since_ms = boot_ms()
        await site.load(6.0)
        assert site.used_since(since_ms) >= 4800.0 * 5.5


class TestConfiguration:
    """Covers quotas that change under load, and accounts without one."""

    async def test_lowered_quota_binds_after_a_window(
        self, autojump_clock: Any, site: Site
    ) -> None:
        await site.load(4.0)
        site.change_quota(LOWERED)
        changed_ms = boot_ms()
        await site.load(18.0)
        assert site.most_in_window(changed_ms + 1000.0) <= BOUNDS.largest_use(LOWERED)
        assert site.used_since(changed_ms + 8000.0) >= 1200.0 * 9.0

    async def test_removed_quota_limits_nothing(self, autojump_clock: Any, site: Site) -> None:
        """The leader knows of it before the entry instances do."""
        await site.load(2.0)
        site.change_quota(attrs.evolve(QUOTA, rate_per_s=0.0))
        await trio.sleep(0.5)
        for _ in range(20):
            for instance in site.instances:
                charged = await instance.credits.take("a", QUOTA, 4000.0, MAX_WAIT_MS)
                assert charged.is_ok()
