"""Hold the state of an entry instance that its parts share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.gateway.adapters import AdapterPlaces
from briardyke.gateway.admission import Admission
from briardyke.gateway.counters import Counters
from briardyke.gateway.demand import DemandMeter
from briardyke.gateway.tables import SUM_AGE_MS, UpstreamTable
from briardyke.gateway.wanted import WantedModels
from briardyke.policy.retries import RetryBudget
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.fleet.messages import AdapterReply, AdapterRequest
    from briardyke.gateway.dialect import Dialect
    from briardyke.routes.configuration import ModelSpec
    from briardyke.routes.matching import RouteTable

# Within one window a budget can spend what it has kept and what it earns, up to twice its rate, so
# half of the allowed rate keeps any window within the bound. The fixed part leaves a fifth for
# instances that have not learned yet of another one.
_RATIO_SHARE = 0.5
_SLACK_SHARE = 0.4
# Part of the fixed retries for all instances that callers are no longer, or not yet, told of.
_UNLISTED_SHARE = 0.1


@attrs.frozen
class RetryBounds:
    """Bound the repeats that all entry instances send to one service in a window.

    :param ratio: repeats for each request.
    :param slack: repeats beside the ratio.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class GatewayState:
    """Hold configuration, upstreams, budgets and figures of an entry instance."""

    def __init__(
        self,
        dialect: Dialect,
        data_centre: str,
        retries: RetryBounds,
        ask_for_adapter: Callable[[AdapterRequest], Awaitable[AdapterReply]],
    ) -> None:
        """Start without a configuration.

        :param dialect: protocol of callers and upstreams.
        :param data_centre: data centre of this instance.
        :param retries: repeats allowed over all entry instances.
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
        self._retries = retries
        self.wanted = WantedModels()
        self.listed_count = 1
        self.is_listed = False
        self.budget_part = 1.0
        self.is_stopping = False
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def version(self) -> int:
        """Return the number of the configuration in force, 0 for none."""
        return self.routes.configuration.version if self.routes else 0

    @property
    def is_busy(self) -> bool:
        """Return whether this instance carries a part of the traffic.

        Load: every ready instance also gets single requests that test its configuration. If those
        counted, all of hundreds would ask control for news several times a second.
        """
        return self.is_listed or self.demand.active_count > 1

    def budget(self, service: str) -> RetryBudget:
        """Return this instance's part of a service's retry budget."""
        bounds = self._retries
        per_second = bounds.slack * _SLACK_SHARE / bounds.window_s * self.budget_part
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(bounds.ratio * _RATIO_SHARE, per_second, bounds.window_s)
            self._budgets[service] = budget
        budget.per_second = per_second
        return budget

    def unseen_arrivals(self, name: str) -> float:
        """Return the requests for a model or service that other instances have just sent.

        They are as many as this instance sends, since callers spread over those they are told of.
        """
        rate = self.demand.rate(name) * (self.listed_count - 1)
        return rate * SUM_AGE_MS / 1000.0

    def divide_budget(self, instance_id: str, listed: set[str], count: int) -> None:
        """Take this instance's part of the fixed retries.

        Load: callers are told of some instances only. An equal part for all would leave those that
        carry the requests with almost nothing.

        :param listed: instances that callers are told of.
        :param count: all instances that are ready.
        """
        self.is_listed = instance_id in listed
        self.listed_count = max(1, len(listed))
        unlisted_part = _UNLISTED_SHARE / max(1, count)
        self.budget_part = 1.0 / self.listed_count if self.is_listed else unlisted_part

    def is_engine(self, service: str) -> bool:
        """Return whether a service runs models."""
        spec = self.routes.configuration.services.get(service) if self.routes else None
        return spec is not None and spec.engine is not None

    def model(self, service: str, name: str) -> ModelSpec | None:
        """Return a model of a service."""
        spec = self.routes.configuration.services.get(service) if self.routes else None
        return spec.engine.models.get(name) if spec and spec.engine else None
