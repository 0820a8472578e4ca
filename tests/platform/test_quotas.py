"""Tests of the quota of an account over real control and entry processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
from platform_cluster import call
from platform_site import configuration

from briardyke.http.exchange import header
from briardyke.http.h11_client import UpstreamError

if TYPE_CHECKING:
    from platform_site import Site

pytestmark = pytest.mark.process
KEY = "asnmgkcuyj8pjbvk9m68"
RATE_PER_S = 1000.0
TOKENS = 200
# The settings of these processes state no slack.
LARGEST_USE = (RATE_PER_S * 8.0 + RATE_PER_S) * 1.1
TENANT = {
    "name": "hule930",
    "api_keys": [KEY],
    "unit": "tokens",
    "plain_tokens": TOKENS,
    "rate_per_s": RATE_PER_S,
    "burst": RATE_PER_S,
}


class TestQuotaOfAllInstances:
    """Guards against quotas that hold for each entry instance by itself, or for each leader."""

    async def test_account_uses_its_quota_and_no_more_through_two_instances_and_leaders(
        self, site: Site
    ) -> None:
        await site.cluster.put(configuration(6, tenants=[TENANT]))
        await trio.sleep(3.0)
        admitted_s: list[float] = []
        refused: list[bool] = []

        async def send(number: int) -> None:
            headers = {"Host": "h.example", "Request-Id": f"q-{number}", "Deadline-Ms": "8000"}
            headers["Authorization"] = f"Bearer {KEY}"
            sent_s = trio.current_time()
            entry = site.cluster.entry(1 + number % 2)
            try:
                reply = await call(entry, "POST", "/see/1", headers, b"abc")
            except (OSError, UpstreamError):
                return
            if reply.status == 200:
                admitted_s.append(sent_s)
            else:
                assert reply.status in (429, 503)
                refused.append(header(reply.headers, b"retry-after") is not None)

        async with trio.open_nursery() as nursery:
            for number in range(240):
                nursery.start_soon(send, number)
                await trio.sleep(0.05)
                if number == 80:
                    site.cluster.kill("control-1")
        assert refused
        assert all(refused)
        most = max(sum(s <= t <= s + 8.0 for t in admitted_s) for s in admitted_s)
        assert most * TOKENS <= LARGEST_USE
        last_s = max(admitted_s) - 3.0
        assert sum(s >= last_s for s in admitted_s) * TOKENS >= RATE_PER_S * 2.5
