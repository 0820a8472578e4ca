"""Tests for matching routes and selecting services."""

from __future__ import annotations

import random

import pytest

from briardyke.routes.configuration import RequestKind, Route, ServingConfiguration, Target
from briardyke.routes.matching import RouteTable, choose_service


def route(name: str, prefix: str, *targets: Target, host: str = "a.example") -> Route:
    return Route(
        name, host, prefix, RequestKind.IDEMPOTENT, 1000.0, 100.0, 0, targets or (Target("s"),)
    )


class TestRouteTable:
    """Covers the matching of routes."""

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("a.example", "/x/y/z", "deep"),
            ("a.example", "/x/y/", "deep"),
            ("a.example", "/x/y", "shallow"),
            ("a.example", "/x/other", "shallow"),
            ("A.Example:80", "/x/", "shallow"),
            ("a.example", "/x/?next=/x/y/", "shallow"),
            ("a.example", "/xx/", None),
            ("a.example", "/x", None),
            ("b.example", "/x/", None),
        ],
    )
    def test_longest_prefix_of_the_host_wins(
        self, host: str, path: str, expected: str | None
    ) -> None:
        rows = (route("shallow", "/x/"), route("deep", "/x/y/"))
        found = RouteTable(ServingConfiguration(1, rows, {})).find(host, path)
        assert (found.name if found else None) == expected


class TestChooseService:
    """Covers weighted splits between services."""

    def test_weights_divide_the_requests(self) -> None:
        split = route("r", "/x/", Target("big", 90), Target("small", 10))
        source = random.Random(7)
        drawn = [choose_service(split, {"big", "small"}, source) for _ in range(2000)]
        assert 130 < drawn.count("small") < 280

    def test_service_without_upstreams_is_skipped(self) -> None:
        split = route("r", "/x/", Target("big", 90), Target("small", 10))
        assert choose_service(split, {"small"}, random.Random(1)) == "small"

    def test_service_of_weight_zero_gets_no_requests(self) -> None:
        split = route("r", "/x/", Target("old", 0), Target("new", 10))
        assert choose_service(split, {"old"}, random.Random(1)) == "new"
