"""State that the components of an entry instance share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from briardyke.connectivity.monitor import ConnectivityMonitor
from briardyke.gateway.adapters import AdapterRouter
from briardyke.gateway.admission import Admission
from briardyke.gateway.configuration_proof import ConfigurationProof
from briardyke.gateway.counters import Counters
from briardyke.gateway.demand import DemandMeter
from briardyke.gateway.limited_upstreams import LimitedUpstreams
from briardyke.gateway.missing_models import MissingModels
from briardyke.gateway.quarantine import QuarantineGate, SharedVerdicts
from briardyke.gateway.stream_versions import StreamVersions
from briardyke.gateway.upstream_table import UpstreamTable
from briardyke.gateway.upstreams import AGGREGATED_LOAD_AGE_MS
from briardyke.http.buffers import BufferBudget
from briardyke.policy.retries import RetryBudget
from briardyke.quotas.bounds import QuotaBounds
from briardyke.quotas.credits import AccountCredits
from briardyke.quotas.use_counters import UseCounters
from briardyke.routes.configuration import NO_VERSION
from briardyke.sync.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from briardyke.fleet.messages import AdapterReply, AdapterRequest, PermitReply, PermitRequest
    from briardyke.gateway.dialect import Dialect
    from briardyke.gateway.dispatch_client import DispatchClient
    from briardyke.gateway.limited_upstreams import RequestPermit
    from briardyke.gateway.stream_versions import Directory
    from briardyke.http.memory_budget import MemoryBudget
    from briardyke.peer_relay.relay import PeerRelay
    from briardyke.quotas.messages import QuotaReply, QuotaRequest
    from briardyke.routes.configuration import ModelSpec
    from briardyke.routes.matching import RouteTable

# Within one window a budget can spend both its saved and its newly earned retries, up to twice its
# rate, so half of the allowed rate keeps any window within the limit. The fixed part leaves a fifth
# for instances that have not yet learned of another one.
_RATIO_FRACTION = 0.5
_SLACK_FRACTION = 0.4
# Beyond this many engines, entry instances choose alone: a coordinator that cannot keep up takes
# the others and the leader with it. 300 engines take a fifth of a control instance; with 1,000, all
# control instances were busy and nothing was served.
MAX_COORDINATED_ENGINES = 320
# Fraction of the fixed retries that all instances not, or no longer, listed for callers share.
_UNLISTED_FRACTION = 0.1


@attrs.frozen
class RetryBounds:
    """Limits on the retries that all entry instances send to one service in a window.

    :param ratio: retries allowed per request.
    :param slack: retries allowed in addition, regardless of the number of requests.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class GatewayState:
    """Configuration, upstreams, retry budgets and counters of an entry instance."""

    def __init__(
        self,
        dialect: Dialect,
        data_centre: str,
        retries: RetryBounds,
        request_adapter: Callable[[AdapterRequest], Awaitable[AdapterReply]],
        quarantine: QuarantineGate | None = None,
        request_permit: RequestPermit | None = None,
        stream_directory: Directory | None = None,
        is_informed: Callable[[], bool] = lambda: True,
        proof: ConfigurationProof | None = None,
        account_credits: AccountCredits | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Start without a configuration.

        :param dialect: translates the headers of callers and upstreams.
        :param data_centre: data centre of this instance.
        :param retries: limits on the retries of all entry instances together.
        :param request_adapter: requests an adapter from the control instances.
        :param quarantine: stops requests that crash engines; by default from the crashes that this
            instance observes alone.
        :param request_permit: asks the leader for a permit for a request to an upstream with a
            limit; by default none is granted.
        :param stream_directory: control instances that know the software versions of streams.
        :param is_informed: returns whether the known upstreams are as of now.
        :param proof: age of the configuration; by default one of any age may be used.
        :param account_credits: charges the quotas of accounts; by default no leader is asked.
        :param memory: budget of the process, which counts buffered responses too.
        """
        self.dialect = dialect
        self.data_centre = data_centre
        self.routes: RouteTable | None = None
        self.upstreams = UpstreamTable()
        self.demand = DemandMeter()
        self.counters = Counters()
        self.connectivity = ConnectivityMonitor(
            self.upstreams, self.counters, lambda: self.is_listed
        )
        self.peers: PeerRelay | None = None
        self.response_buffers = BufferBudget(memory=memory)
        self.limits = LimitedUpstreams(request_permit or _deny_permit, self.counters)
        self.quarantine = quarantine or QuarantineGate("", SharedVerdicts, _deny_trial)
        self.quarantine.detector.has_links = self.connectivity.has_links
        self.service_versions: dict[str, list[str]] = {}
        self.streams = StreamVersions(stream_directory, self.software_versions, is_informed)
        self.credits = account_credits or AccountCredits("", QuotaBounds(), _grant_nothing)
        self.account_use = UseCounters()
        self.counters.tables.append(lambda: self.account_use.figures(self.credits.held()))
        self.changed = Notifier()
        self.proof = proof or ConfigurationProof()
        if self.proof.revocation_ms is not None:
            self.counters.gauges["gateway_configuration_proof_age_ms"] = lambda: self.proof.age_ms
        self.admission = Admission()
        self.adapters = AdapterRouter(self, request_adapter)
        self.dispatch: DispatchClient | None = None
        self._retries = retries
        self.missing_models = MissingModels()
        self.listed_count = 1
        self.is_listed = False
        self.fixed_budget_share = 1.0
        self.is_stopping = False
        self.stop_ms = float("inf")
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, ``NO_VERSION`` for none."""
        return self.routes.configuration.version if self.routes else NO_VERSION

    @property
    def is_busy(self) -> bool:
        """Return whether this instance receives regular traffic.

        Every ready instance also receives single requests that test its configuration. If those
        counted, hundreds of instances would poll control instances several times per second.
        """
        return self.is_listed or self.demand.active_count > 1

    def budget(self, service: str) -> RetryBudget:
        """Return this instance's share of a service's retry budget."""
        bounds = self._retries
        per_second = bounds.slack * _SLACK_FRACTION / bounds.window_s * self.fixed_budget_share
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(bounds.ratio * _RATIO_FRACTION, per_second, bounds.window_s)
            self._budgets[service] = budget
        budget.per_second = per_second
        return budget

    def unreported_requests(self, name: str) -> float:
        """Estimate the requests that other instances have sent since their last reports.

        Each listed instance sends about as many as this one, since callers spread over all of them.
        """
        rate = self.demand.rate(name) * (self.listed_count - 1)
        return rate * AGGREGATED_LOAD_AGE_MS / 1000.0

    def update_listing(self, instance_id: str, listed: set[str], count: int) -> None:
        """Update whether this instance is listed, and its share of the fixed retries.

        Callers use only the listed instances. Equal shares for all instances would leave those that
        process the requests with almost none.

        :param listed: ids of the instances that are listed for callers.
        :param count: number of all ready instances.
        """
        self.is_listed = instance_id in listed
        self.listed_count = max(1, len(listed))
        unlisted_share = _UNLISTED_FRACTION / max(1, count)
        self.fixed_budget_share = 1.0 / self.listed_count if self.is_listed else unlisted_share

    def is_engine(self, service: str) -> bool:
        """Return whether a service runs models."""
        spec = self.routes.configuration.services.get(service) if self.routes else None
        return spec is not None and spec.engine is not None

    def is_coordinated(self, service: str) -> bool:
        """Return whether the streams of a service are given engines by its coordinator.

        Its engines share their machines with other programs and state how slow they are, or client
        accounts compete for them.
        """
        if self.routes is None or not self.is_engine(service):
            return False
        upstreams = self.upstreams.usable(service)
        if len(upstreams) > MAX_COORDINATED_ENGINES:
            return False
        return bool(self.routes.configuration.accounts) or any(
            state.slowness is not None for state in upstreams
        )

    def software_versions(self, service: str) -> set[str]:
        """Return the software versions of a service that may have begun a stream."""
        listed = self.service_versions.get(service, ())
        return self.upstreams.software_versions(service).union(listed)

    def model(self, service: str, name: str) -> ModelSpec | None:
        """Return a model of a service."""
        spec = self.routes.configuration.services.get(service) if self.routes else None
        return spec.engine.models.get(name) if spec and spec.engine else None


async def _deny_permit(request: PermitRequest) -> PermitReply | None:
    return None


async def _grant_nothing(request: QuotaRequest) -> QuotaReply | None:
    return None


async def _deny_trial(part: str) -> bool:
    return False
