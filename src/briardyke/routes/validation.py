"""Check a serving configuration and report every reason against it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from briardyke.routes.configuration import Route, ServingConfiguration


def configuration_errors(configuration: ServingConfiguration) -> list[str]:
    """Return one sentence for each fault; an empty list accepts the configuration."""
    reasons = []
    places: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        reasons += _route_reasons(route, configuration)
        place = (route.host, route.path_prefix)
        if place in places:
            reasons.append(f"routes {places[place]} and {route.name} share host and prefix")
        places[place] = route.name
    return reasons


def _route_reasons(route: Route, configuration: ServingConfiguration) -> list[str]:
    reasons = []
    for target in route.targets:
        if target.service not in configuration.services:
            reasons.append(f"route {route.name} names unknown service {target.service}")
        if target.weight < 0:
            reasons.append(f"route {route.name} has a negative weight")
    if sum(target.weight for target in route.targets) <= 0:
        reasons.append(f"the weights of route {route.name} add up to 0")
    if route.timeout_ms <= 0:
        reasons.append(f"route {route.name} has no timeout")
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        reasons.append(f"the prefix of route {route.name} must begin and end with a slash")
    return reasons
