"""Hold the state of an entry instance that its parts share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.gateway.adapters import AdapterPlaces
from briardyke.gateway.admission import Admission
from briardyke.gateway.counters import Counters
from briardyke.gateway.demand import DemandMeter
from briardyke.gateway.tables import UpstreamTable
from briardyke.policy.retries import RetryBudget
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.fleet.messages import AdapterReply, AdapterRequest
    from briardyke.gateway.dialect import Dialect
    from briardyke.routes.configuration import ModelSpec
    from briardyke.routes.matching import RouteTable

# Part of the retries allowed over all entry instances that they use together, so that requests
# counted in another window or lost on their way leave the budget whole.
_BUDGET_SHARE = 0.7


class GatewayState:
    """Hold configuration, upstreams, budgets and figures of an entry instance."""

    def __init__(
        self,
        dialect: Dialect,
        data_centre: str,
        retry_ratio: float,
        ask_for_adapter: Callable[[AdapterRequest], Awaitable[AdapterReply]],
    ) -> None:
        """Start without a configuration.

        :param dialect: protocol of callers and upstreams.
        :param data_centre: data centre of this instance.
        :param retry_ratio: repeats allowed for each request over all entry instances.
        :param ask_for_adapter: asks the control instances for an adapter.
        """
        self.dialect = dialect
        self.data_centre = data_centre
        self.routes: RouteTable | None = None
        self.upstreams = UpstreamTable()
        self.demand = DemandMeter()
        self.counters = Counters()
        self.changed = Notifier()
        self.admission = Admission()
        self.adapters = AdapterPlaces(self, ask_for_adapter)
        self._retry_ratio = retry_ratio
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def version(self) -> int:
        """Return the number of the configuration in force, 0 for none."""
        return self.routes.configuration.version if self.routes else 0

    def budget(self, service: str) -> RetryBudget:
        """Return this instance's part of a service's retry budget."""
        if service not in self._budgets:
            ratio = self._retry_ratio * _BUDGET_SHARE
            self._budgets[service] = RetryBudget(ratio=ratio, per_second=0.3)
        return self._budgets[service]

    def is_engine(self, service: str) -> bool:
        """Return whether a service runs models."""
        spec = self.routes.configuration.services.get(service) if self.routes else None
        return spec is not None and spec.engine is not None

    def model(self, service: str, name: str) -> ModelSpec | None:
        """Return a model of a service."""
        spec = self.routes.configuration.services.get(service) if self.routes else None
        return spec.engine.models.get(name) if spec and spec.engine else None
