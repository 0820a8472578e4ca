"""Define the soft-state rows that control instances share and entry instances receive."""

from __future__ import annotations

import attrs

from briardyke.addresses import parse_address
from briardyke.quarantine.records import CrashReport
from briardyke.upstream_limits.statements import LimitStatement

READY = "ready"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"


@attrs.frozen
class LoadedModel:
    """Model loaded on an upstream.

    :param name: name of the model.
    :param adapters: names of its loaded adapters.
    """

    name: str
    adapters: list[str] = attrs.field(factory=list)


@attrs.frozen
class Upstream:
    """Last announcement of an upstream.

    :param upstream_id: name that the upstream announces.
    :param incarnation: Unix time of its start, in milliseconds; a later start replaces an earlier.
    :param sequence: number of the announcement within the incarnation.
    :param service: service that it belongs to.
    :param address: ``ip:port`` of its HTTP interface.
    :param data_centre: where it runs.
    :param lifecycle: ``ready``, ``draining`` or ``gone``; ``silent`` only in replies to entry
        instances.
    :param slots: number of requests that it runs concurrently.
    :param models: models loaded in its memory.
    :param at_hand: models that it has on local disk or in host memory.
    :param leaves_in_ms: time until it is scheduled to stop, 0 when unknown.
    :param software_version: version of its software, not of its weights; versions have no order.
    """

    upstream_id: str
    incarnation: int
    sequence: int
    service: str = ""
    address: str = ""
    data_centre: str = ""
    lifecycle: str = GONE
    slots: int = 1
    models: list[LoadedModel] = attrs.field(factory=list)
    at_hand: list[str] = attrs.field(factory=list)
    leaves_in_ms: float = 0.0
    software_version: str = ""

    @property
    def key(self) -> str:
        """Return the row's key."""
        return self.upstream_id

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key between rows of one key; a departure is final for an incarnation."""
        return (self.incarnation, int(self.lifecycle == GONE), self.sequence)

    def same_content(self, other: Upstream) -> bool:
        """Return whether another row differs in its sequence at most."""
        return attrs.evolve(self, sequence=other.sequence) == other


@attrs.frozen
class EntryInstance:
    """Last report of an entry instance.

    :param instance_id: name of the instance.
    :param incarnation: Unix time of its start, in milliseconds.
    :param sequence: number of the report within the incarnation.
    :param address: ``ip:port`` for callers.
    :param data_centre: where it runs.
    :param is_ready: whether it may be advertised to callers.
    :param demand: requests per second by model, and by service for services without models, raised
        where requests queue up.
    :param unreachable: ids of upstreams to which it can open no connection.
    :param capacity_per_s: requests per second that it can serve.
    :param carried_per_s: requests per second that it serves now.
    :param in_flight: its requests by upstream: all, and those whose response has not begun.
    :param wanted: models that its requests wait for and that no upstream has loaded or is loading.
    :param event_interval_ms: shortest usual time between two events of a stream, by upstream.
    :param crashes: recent crashes of upstreams while its requests were waiting on them.
    :param sound_ages_ms: time since the last response to a prompt with each suspected part.
    :param limits: recent statements of upstreams, in responses that it received, of their limits.
    :param reaches_upstreams: whether it has links to upstreams.
    """

    instance_id: str
    incarnation: int
    sequence: int
    address: str
    data_centre: str
    is_ready: bool
    demand: dict[str, float] = attrs.field(factory=dict)
    unreachable: list[str] = attrs.field(factory=list)
    capacity_per_s: float = 0.0
    carried_per_s: float = 0.0
    in_flight: dict[str, list[int]] = attrs.field(factory=dict)
    wanted: list[str] = attrs.field(factory=list)
    event_interval_ms: dict[str, float] = attrs.field(factory=dict)
    crashes: list[CrashReport] = attrs.field(factory=list)
    sound_ages_ms: dict[str, float] = attrs.field(factory=dict)
    limits: list[LimitStatement] = attrs.field(factory=list)
    reaches_upstreams: bool = True

    @property
    def key(self) -> str:
        """Return the row's key."""
        return self.instance_id

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key between rows of one key."""
        return (self.incarnation, 0, self.sequence)

    def same_content(self, other: EntryInstance) -> bool:
        """Return whether no field that matters for routing callers differs."""
        return self._routing() == other._routing()

    def _routing(self) -> tuple[str, str, bool, float, bool]:
        return (
            self.address,
            self.data_centre,
            self.is_ready,
            self.capacity_per_s,
            self.reaches_upstreams,
        )

    def without_activity(self) -> EntryInstance:
        """Return the row without its activity, for other entry instances."""
        return attrs.evolve(
            self,
            demand={},
            unreachable=[],
            in_flight={},
            wanted=[],
            carried_per_s=0.0,
            event_interval_ms={},
            crashes=[],
            sound_ages_ms={},
            limits=[],
        )


@attrs.frozen
class ModelChanges:
    """Pending changes to an upstream's loaded models.

    :param upstream_id: the upstream.
    :param term: term of the leader that decided it.
    :param sequence: number of the change within the term.
    :param withheld: models that get no new requests, because they are being unloaded.
    :param arriving_ms: models being loaded, with the expected time until they are ready.
    """

    upstream_id: str
    term: int
    sequence: int
    withheld: list[str]
    arriving_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def key(self) -> str:
        """Return the row's key."""
        return self.upstream_id

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key between rows of one key."""
        return (self.term, 0, self.sequence)

    def same_content(self, other: ModelChanges) -> bool:
        """Return whether the pending changes are the same."""
        return (self.withheld, self.arriving_ms) == (other.withheld, other.arriving_ms)

    def aged(self, age_ms: float) -> ModelChanges:
        """Return the row with its remaining times reduced by the time since it was sent."""
        left_ms = {model: ms - age_ms for model, ms in self.arriving_ms.items()}
        return attrs.evolve(self, arriving_ms=left_ms)


def is_valid_upstream(row: Upstream) -> bool:
    """Return whether a row has a valid address, a service and an incarnation."""
    try:
        address = parse_address(row.address)
    except ValueError:
        return False
    return address.port > 0 and bool(row.service) and row.incarnation > 0
