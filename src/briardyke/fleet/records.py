"""Define the soft state that control instances share and entry instances receive."""

from __future__ import annotations

import attrs

from briardyke.addresses import parse_address

READY = "ready"
DRAINING = "draining"
GONE = "gone"
SILENT = "silent"


@attrs.frozen
class LoadedModel:
    """Describe a model in an upstream's memory.

    :param name: name of the model.
    :param adapters: names of its adapters there.
    """

    name: str
    adapters: list[str] = attrs.field(factory=list)


@attrs.frozen
class Upstream:
    """Describe an upstream as it last announced itself.

    :param upstream_id: name that it gave itself.
    :param incarnation: Unix time of its start, in milliseconds; a later start replaces an earlier.
    :param sequence: number of the announcement within the incarnation.
    :param service: service that it belongs to.
    :param address: ``ip:port`` of its HTTP interface.
    :param data_centre: where it runs.
    :param lifecycle: ``ready``, ``draining`` or ``gone``; ``silent`` only towards entry instances.
    :param slots: requests that it runs at once.
    :param models: models in its memory.
    :param at_hand: models of which it keeps a copy on its own disk or in host memory.
    :param leaves_in_ms: time until it is taken away, 0 when unknown.
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

    @property
    def key(self) -> str:
        """Return the row's key."""
        return self.upstream_id

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what decides between two rows of one key; a departure is final in its start."""
        return (self.incarnation, int(self.lifecycle == GONE), self.sequence)

    def same_content(self, other: Upstream) -> bool:
        """Return whether another row differs in nothing but its number."""
        return attrs.evolve(self, sequence=other.sequence) == other


@attrs.frozen
class EntryInstance:
    """Describe an entry instance as it last reported.

    :param instance_id: name of the instance.
    :param incarnation: Unix time of its start, in milliseconds.
    :param sequence: number of the report within the incarnation.
    :param address: ``ip:port`` for callers.
    :param data_centre: where it runs.
    :param is_ready: whether callers may be sent to it.
    :param demand: requests a second by model, and by service for plain services, raised where they
        pile up.
    :param unreachable: ids of upstreams to which it can open no connection.
    :param capacity_per_s: requests a second that it could carry.
    :param carried_per_s: requests a second that it carries now.
    :param in_flight: its requests by upstream: all, and those that have not begun.
    :param wanted: models that its requests wait for and that nothing holds or loads.
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

    @property
    def key(self) -> str:
        """Return the row's key."""
        return self.instance_id

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what decides between two rows of one key."""
        return (self.incarnation, 0, self.sequence)

    def same_content(self, other: EntryInstance) -> bool:
        """Return whether callers would notice a difference."""
        return (self.address, self.data_centre, self.is_ready, self.capacity_per_s) == (
            other.address,
            other.data_centre,
            other.is_ready,
            other.capacity_per_s,
        )

    def without_activity(self) -> EntryInstance:
        """Return what other entry instances need to know of it."""
        return attrs.evolve(
            self, demand={}, unreachable=[], in_flight={}, wanted=[], carried_per_s=0.0
        )


@attrs.frozen
class ModelChanges:
    """Tell what the orders under way change in an upstream's memory.

    :param upstream_id: the upstream.
    :param term: term of the leader that decided it.
    :param sequence: number of the decision within the term.
    :param withheld: models that get no new requests, because they are being unloaded.
    :param arriving_ms: models on their way, with the time until they should be there.
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
        """Return what decides between two rows of one key."""
        return (self.term, 0, self.sequence)

    def same_content(self, other: ModelChanges) -> bool:
        """Return whether the same models come and go."""
        return (self.withheld, self.arriving_ms) == (other.withheld, other.arriving_ms)

    def aged(self, age_ms: float) -> ModelChanges:
        """Return the row as it holds some time after it was sent."""
        left_ms = {model: ms - age_ms for model, ms in self.arriving_ms.items()}
        return attrs.evolve(self, arriving_ms=left_ms)


def is_usable(row: Upstream) -> bool:
    """Return whether a row names an upstream that can be connected to."""
    try:
        parse_address(row.address)
    except ValueError:
        return False
    return bool(row.service) and row.incarnation > 0
