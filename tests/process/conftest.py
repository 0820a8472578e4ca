"""Provide running clusters to the process tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from cluster import Cluster

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path


@pytest.fixture
def start_cluster(tmp_path: Path) -> Iterator[Callable[..., Cluster]]:
    """Return a function that starts a cluster; it is ended after the test."""
    started: list[Cluster] = []

    def start(**options: Any) -> Cluster:
        cluster = Cluster(tmp_path, **options)
        started.append(cluster)
        return cluster.start()

    yield start
    for cluster in started:
        cluster.close()


@pytest.fixture(scope="module")
def shared_cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Return a configured cluster for tests that break nothing."""
    cluster = Cluster(tmp_path_factory.mktemp("cluster"), entries=2)
    try:
        cluster.start()
        cluster.configure()
        yield cluster
    finally:
        cluster.close()
