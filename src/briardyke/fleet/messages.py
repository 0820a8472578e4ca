"""Define the messages between control instances and between entry and control instances."""

from __future__ import annotations

import attrs

from briardyke.fleet.records import EntryInstance, ModelChanges, Upstream
from briardyke.quarantine.records import CrashReport, PartVerdict
from briardyke.software_versions.records import StreamVersion
from briardyke.upstream_limits.statements import LimitStatement
from briardyke.wire.codec import message


@message
@attrs.define
class Activity:
    """Summed activity of the entry instances that report to one control instance.

    :param control: control instance that they report to.
    :param incarnation: start of its process, in Unix milliseconds.
    :param sequence: number of the sum within the incarnation.
    :param ready: number of entry instances that are ready.
    :param demand: requests per second by model, and by service for services without models.
    :param carried_per_s: requests per second by data centre of the entry instances.
    :param unreachable: number of entry instances that cannot reach an upstream, by upstream.
    :param in_flight: their requests by upstream: all, and those whose response has not begun.
    :param wanted: models that requests wait for and that no upstream has loaded or is loading.
    :param event_interval_ms: sum of the shortest usual times between two events of a stream, and
        the number of entry instances that observed one, by upstream.
    """

    control: str
    incarnation: int
    sequence: int
    ready: int = 0
    demand: dict[str, float] = attrs.field(factory=dict)
    carried_per_s: dict[str, float] = attrs.field(factory=dict)
    unreachable: dict[str, int] = attrs.field(factory=dict)
    in_flight: dict[str, list[int]] = attrs.field(factory=dict)
    wanted: list[str] = attrs.field(factory=list)
    event_interval_ms: dict[str, list[float]] = attrs.field(factory=dict)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key between sums of one control instance."""
        return (self.incarnation, self.sequence)


@message
@attrs.frozen
class RowsUpdate:
    """Rows sent to another control instance; one-way.

    :param upstreams: upstream rows.
    :param upstream_ages_ms: time since each was sent by its owner.
    :param entries: entry rows.
    :param entry_ages_ms: time since each was sent by its owner.
    :param changes: pending changes to the loaded models of upstreams.
    :param repeated_upstreams: incarnations by id of upstreams that repeated an unchanged row.
    :param repeated_entries: the same for entry instances.
    :param activity: activity sum of the sender's entry instances.
    :param crashes: crashes of upstreams that entry instances reported to the sender.
    :param sound_ages_ms: time since the last response to a prompt with each suspected part.
    :param verdicts: verdicts on parts of prompts.
    :param limits: limits of upstreams in responses that the sender's entry instances received.
    :param version_ages_ms: time since each software version of each service was last seen.
    """

    upstreams: list[Upstream]
    upstream_ages_ms: list[float]
    entries: list[EntryInstance]
    entry_ages_ms: list[float]
    changes: list[ModelChanges] = attrs.field(factory=list)
    repeated_upstreams: dict[str, int] = attrs.field(factory=dict)
    repeated_entries: dict[str, int] = attrs.field(factory=dict)
    activity: Activity | None = None
    crashes: list[CrashReport] = attrs.field(factory=list)
    sound_ages_ms: dict[str, float] = attrs.field(factory=dict)
    verdicts: list[PartVerdict] = attrs.field(factory=list)
    limits: list[LimitStatement] = attrs.field(factory=list)
    version_ages_ms: dict[str, dict[str, float]] = attrs.field(factory=dict)


@message
@attrs.frozen
class RowsRequest:
    """Request for all rows of a control instance; the reply is a :class:`RowsUpdate`."""


@message
@attrs.frozen
class PlaceRequest:
    """Request for the data centre of a control instance; the reply is a :class:`PlaceReply`."""


@message
@attrs.frozen
class PlaceReply:
    """Reply to a :class:`PlaceRequest`.

    :param data_centre: data centre of the control instance.
    """

    data_centre: str


@message
@attrs.frozen
class FleetRequest:
    """Report of an entry instance's state and request for all newer data than it holds.

    :param entry: the sender's own row.
    :param held_version: configuration version that it holds, -1 for none.
    :param table_id: identity of the replying control process in the last reply, or empty.
    :param held_upstreams: sequence of the upstream table that it holds.
    :param held_entries: sequence of the entry table that it holds.
    :param held_changes: sequence of the table of model changes that it holds.
    :param wait_ms: longest time to hold the reply while nothing is new.
    :param held_verdicts: sequence of the table of verdicts that it holds.
    :param unlisted_verdicts: verdicts that it holds and the last whole reply did not list.
    :param held_limits: sequence of the limits of upstreams that it holds.
    """

    entry: EntryInstance
    held_version: int
    table_id: str
    held_upstreams: int
    held_entries: int
    held_changes: int
    wait_ms: float
    held_verdicts: int = 0
    unlisted_verdicts: list[PartVerdict] = attrs.field(factory=list)
    held_limits: int = 0


@message
@attrs.frozen
class FleetReply:
    """Reply to a :class:`FleetRequest`.

    :param is_current: whether this control instance has recent contact with a leader and complete
        rows; otherwise the rest may be stale.
    :param is_starting: whether it has just started; its configuration is committed but may be old.
    :param version: number of the newest configuration known here.
    :param configuration: its compressed document, or ``None`` when the sender holds it.
    :param table_id: identity of this control process.
    :param upstreams: rows that changed after the held sequence.
    :param upstream_sequence: sequence of the upstream table.
    :param entries: entry instances that may be advertised to callers, or ``None`` when unchanged.
    :param entry_sequence: sequence of the entry table.
    :param leader: peer address of the leader, empty when unknown.
    :param controls: peer addresses of all members of the control group.
    :param changes: pending changes to loaded models that are new to the sender.
    :param change_sequence: sequence of the table of model changes.
    :param is_whole: whether ``upstreams`` lists all upstreams known here.
    :param others: requests of other entry instances by upstream: all, and those whose response has
        not begun.
    :param carried_per_s: requests per second that entry instances serve, by their data centre.
    :param verdicts: verdicts on parts of prompts that are new to the sender.
    :param verdict_sequence: sequence of the table of verdicts.
    :param limits: newest statements of upstreams of their limits.
    :param limit_sequence: sequence of the limits.
    :param service_versions: software versions that may have begun a stream, by service.
    :param waited_ms: time from the arrival of the request to this reply, or less.
    :param proof_age_ms: age of the proof that this control instance's configuration is current,
        ``None`` without proof.
    """

    is_current: bool
    is_starting: bool
    version: int
    configuration: bytes | None
    table_id: str
    upstreams: list[Upstream]
    upstream_sequence: int
    entries: list[EntryInstance] | None
    entry_sequence: int
    leader: str
    controls: list[str]
    changes: list[ModelChanges]
    change_sequence: int
    is_whole: bool
    others: dict[str, list[int]] = attrs.field(factory=dict)
    carried_per_s: dict[str, float] = attrs.field(factory=dict)
    verdicts: list[PartVerdict] = attrs.field(factory=list)
    verdict_sequence: int = 0
    limits: list[LimitStatement] = attrs.field(factory=list)
    limit_sequence: int = 0
    service_versions: dict[str, list[str]] = attrs.field(factory=dict)
    waited_ms: float = 0.0
    proof_age_ms: float | None = None


@message
@attrs.frozen
class StreamReport:
    """Report of streams to a control instance that keeps their versions.

    :param streams: software version that began each stream.
    """

    streams: list[StreamVersion]


@message
@attrs.frozen
class StreamReportReply:
    """Acknowledgement of a :class:`StreamReport`."""


@message
@attrs.frozen
class StreamRequest:
    """Request for the software version that began a stream.

    :param request_id: id of the caller's attempt that received the first event.
    :param service: service of its upstream.
    """

    request_id: str
    service: str


@message
@attrs.frozen
class StreamReply:
    """Reply to a :class:`StreamRequest`.

    :param software_version: the version, or ``None`` when it is not known here.
    :param service_versions: software versions of the service that may have begun a stream.
    :param is_current: whether this control instance is in touch with a leader and complete.
    """

    software_version: str | None
    service_versions: list[str]
    is_current: bool


@message
@attrs.frozen
class TrialRequest:
    """Request to the leader to let one request test a quarantined part of its prompt.

    :param part: id of the part.
    """

    part: str


@message
@attrs.frozen
class TrialReply:
    """Reply to a :class:`TrialRequest`.

    :param is_granted: whether the request may be sent to an upstream.
    """

    is_granted: bool


@message
@attrs.frozen
class PermitRequest:
    """Request to the leader for a permit at an upstream that has stated a limit.

    :param upstream_id: the upstream.
    :param incarnation: start of its process, in Unix milliseconds.
    :param limit_per_s: its limit in requests per second, as far as the sender knows.
    :param max_wait_ms: longest time that the request can wait for the permit.
    """

    upstream_id: str
    incarnation: int
    limit_per_s: float
    max_wait_ms: float


@message
@attrs.frozen
class PermitReply:
    """Reply to a :class:`PermitRequest`.

    :param is_granted: whether one request may be sent, after the wait.
    :param wait_ms: time until the permit is valid; without a grant, until the next one is.
    """

    is_granted: bool
    wait_ms: float


@message
@attrs.frozen
class AdapterRequest:
    """Request to the leader to load an adapter on an upstream that holds its model.

    :param model: name of the model.
    :param adapter: name of the adapter.
    :param upstream_ids: upstreams that hold the model and could take it, best first.
    :param lacking_ids: those of them that have just refused a request for lack of the adapter.
    """

    model: str
    adapter: str
    upstream_ids: list[str]
    lacking_ids: list[str] = attrs.field(factory=list)


@message
@attrs.frozen
class AdapterReply:
    """Reply to an :class:`AdapterRequest`.

    :param upstream_id: upstream that holds the adapter now, or empty.
    :param reason: why no upstream holds it.
    """

    upstream_id: str
    reason: str = ""
