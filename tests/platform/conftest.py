"""Fixtures for the tests of this folder."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import pytest
import trio
from platform_cluster import Cluster
from platform_site import Site, configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator
    from pathlib import Path

_NUMBERS = itertools.count(1)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """Return a cluster with addresses of its own, and end its processes afterwards."""
    found = Cluster(tmp_path, next(_NUMBERS))
    yield found
    found.stop()


@pytest.fixture
async def site(cluster: Cluster) -> AsyncIterator[Site]:
    """Start three control and two entry instances and wait until they serve."""
    found = Site(cluster)
    async with trio.open_nursery() as nursery:
        for worker in [*found.engines, *found.apps]:
            await nursery.start(worker.serve)
            nursery.start_soon(cluster.announce, worker)
        for name in ("control-1", "control-2", "control-3", "entry-1", "entry-2"):
            cluster.start(name)
        await cluster.put(configuration(5))
        await cluster.wait_ready(1)
        await cluster.wait_ready(2)
        await trio.sleep(1.0)
        yield found
        nursery.cancel_scope.cancel()
