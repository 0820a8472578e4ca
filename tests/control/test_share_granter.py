"""Check how the statuses of a sync reach the share allocator."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

from briardyke.agreed.configuration import Limit
from briardyke.control.shares import ShareGranter
from briardyke.wire.messages import InstanceStatus, LimitShare, ShareDemand

if TYPE_CHECKING:
    from trio.testing import MockClock


def status(name: str, number: int, rate: float) -> InstanceStatus:
    """Return a report of an instance that holds a rate and wants more."""
    held = [LimitShare("l", caller, 1, rate, None, None) for caller in ("*", "x")]
    demand = [ShareDemand("l", "x", 50.0, 0.0, 0.0)]
    address = "127.0.0.1:1"
    return InstanceStatus(name, "dc", address, 1.0, "ready", 0.0, number, demand, held)


class TestShareGranter:
    """Guards against granting shares that another instance still holds."""

    async def test_a_repeated_older_report_is_ignored(self, autojump_clock: MockClock) -> None:
        """Guards against an older report that is taken as confirmation of a share in transit."""
        configuration = SimpleNamespace(limits={"l": Limit("*", "*", "*", 12.0, None)})
        granter = ShareGranter(SimpleNamespace(configuration=configuration, version=1), frozenset)
        granter.start_term(1)
        granter.grant([status("a", 1, 6.0)])
        granter.grant([status("a", 2, 12.0), status("b", 1, 0.0)])
        for _ in range(3):
            shares = granter.grant([status("a", 1, 6.0), status("b", 1, 0.0)])
            assert set(shares) == {"a", "b"}
            assert all(share.requests_per_second == 0.0 for share in shares["b"])
