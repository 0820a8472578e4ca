"""Find the route of a request and a service of the route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from briardyke.routes.configuration import Route, ServingConfiguration


class RouteTable:
    """Find routes by host and longest prefix, in time linear in the path's segments."""

    def __init__(self, configuration: ServingConfiguration) -> None:
        """Index the routes of a configuration."""
        self.configuration = configuration
        self._routes = {(r.host, r.path_prefix): r for r in configuration.routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or ``None``.

        :param host: value of the ``Host`` header; case and port are ignored.
        :param path: request target; a query is ignored.
        """
        host = host.partition(":")[0].lower()
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def choose_service(route: Route, usable: set[str], random: random.Random) -> str:
    """Draw a service by weight; one without a usable upstream is drawn only if none has any.

    Load: a split whose smaller part has lost its upstreams must not fail its share of the
    requests while another allowed service is up.

    :param usable: services that have an upstream that could take the request.
    """
    weighted = [t for t in route.targets if t.weight > 0]
    candidates = [t for t in weighted if t.service in usable] or weighted
    if len(candidates) == 1:
        return candidates[0].service
    weights = [t.weight for t in candidates]
    return random.choices(candidates, weights)[0].service
