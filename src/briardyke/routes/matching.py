"""Find the route of a request and select one of its services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.accounts.key_table import KeyTable
from briardyke.accounts.ranks import PriorityRanks

if TYPE_CHECKING:
    import random

    from briardyke.routes.configuration import Route, ServingConfiguration


class RouteTable:
    """Find routes by host and longest path prefix, in time linear in the number of segments.

    The client accounts of the same configuration are in :attr:`keys`, so that a request never sees
    the routes of one version and the keys of another.
    """

    def __init__(self, configuration: ServingConfiguration) -> None:
        """Index the routes and keys of a configuration."""
        self.configuration = configuration
        self.keys = KeyTable(configuration.accounts)
        self.ranks = PriorityRanks(
            configuration.accounts, [route.priority for route in configuration.routes]
        )
        self._routes = {(r.host, r.path_prefix): r for r in configuration.routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or ``None``.

        :param host: value of the ``Host`` header; case and port are ignored.
        :param path: request target; a query string is ignored.
        """
        host = host.partition(":")[0].lower()
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


def choose_service(route: Route, usable: set[str], random: random.Random) -> str:
    """Select a service at random by weight, preferring services with usable upstreams.

    If the smaller service of a split has lost its upstreams, its share of the requests must not
    fail while another target is available. Services without usable upstreams are selected only if
    no target has any.

    :param usable: services with an upstream that can accept the request.
    """
    weighted = [t for t in route.targets if t.weight > 0]
    candidates = [t for t in weighted if t.service in usable] or weighted
    if len(candidates) == 1:
        return candidates[0].service
    weights = [t.weight for t in candidates]
    return random.choices(candidates, weights)[0].service
