"""Define how the gateway reads and writes the headers of callers and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from briardyke.http.exchange import Headers, HttpRequest


@attrs.frozen
class RequestMetadata:
    """Values from the headers of a caller's request.

    :param request_id: id of this attempt of the caller.
    :param deadline_ms: time that the caller will wait, or ``None`` if not stated.
    :param model: name of the model, or empty for a plain service.
    :param adapter: name of the model's adapter, or empty.
    :param prefix_ids: ids of the leading parts of the prompt, in order.
    :param prompt_tokens: tokens of the prompt, 0 when unknown.
    :param max_output_tokens: largest number of tokens in the response, 0 when unknown.
    :param last_event_id: id of the last event that the caller received, or empty.
    :param resumed_request_id: id of the caller's attempt that received the first event of the
        stream that this one continues, or empty.
    :param fingerprint: id of what the request asks for, or empty when it was not computed.
    :param prefix_tokens: tokens of each part in ``prefix_ids``.
    :param stated_tokens: tokens of the prompt and of the longest response together, or ``None``
        when the caller states no readable size.
    :param key_digest: digest of the caller's API key, or ``None`` without a well-formed one.
    :param relayed_by: id of the entry instance that relays the request, empty for a caller.
    :param relayed_version: version of the configuration that is in force there.
    :param relayed_attempts: attempts that upstreams have received from there.
    """

    request_id: str
    deadline_ms: float | None
    model: str = ""
    adapter: str = ""
    prefix_ids: tuple[str, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""
    resumed_request_id: str = ""
    fingerprint: str = ""
    prefix_tokens: tuple[int, ...] = ()
    stated_tokens: int | None = None
    key_digest: bytes | None = attrs.field(default=None, repr=False)
    relayed_by: str = ""
    relayed_version: int = 0
    relayed_attempts: int = 0

    @property
    def shared_prefix_ids(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may have in common with this one."""
        return self.prefix_ids[:-1]

    @property
    def blamable_ids(self) -> tuple[str, ...]:
        """Return what may be blamed for a crash: shared parts of the prompt, and the request."""
        return (*self.shared_prefix_ids, *((self.fingerprint,) if self.fingerprint else ()))


@attrs.frozen
class LoadReport:
    """Load that an upstream reported.

    :param running: requests that it is running.
    :param waiting: requests in its queue.
    :param slots: requests that it can run at the same time.
    :param slowness: time that its work takes now, relative to the usual time, or ``None`` if not
        stated.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@attrs.frozen
class ForwardingMetadata:
    """Values of the headers that the gateway sets on a forwarded request.

    :param upstream_id: intended upstream; any other one must reject the request.
    :param remaining_ms: time left until the deadline.
    :param priority: rank; 0 is the most urgent.
    :param last_event_id: id of the event after which a stream resumes, or empty.
    :param account: name of the caller's account, empty for an anonymous caller; ``None`` without
        client accounts, when what the caller says of itself is passed on.
    """

    upstream_id: str
    remaining_ms: float
    priority: int
    last_event_id: str = ""
    account: str | None = None


@attrs.frozen
class RelayedCall:
    """Values of the headers that an entry instance sets on a request to another one.

    :param instance_id: id of the relaying instance.
    :param version: version of the configuration in force there.
    :param remaining_ms: time left until the deadline.
    :param last_event_id: id of the event after which a stream resumes, or empty.
    :param resumed_request_id: id of the caller's attempt that received its first event, or empty.
    :param sent_attempts: attempts that upstreams have received already.
    """

    instance_id: str
    version: int
    remaining_ms: float
    last_event_id: str = ""
    resumed_request_id: str = ""
    sent_attempts: int = 0


@attrs.frozen
class ResponseMetadata:
    """Values from the headers of an upstream's response.

    :param request_id: id of the request that the response belongs to, or empty if not stated.
    :param is_refusal: whether the upstream states that it did not run the request.
    :param lacks_model: whether it rejected the request because the model or adapter is not in its
        memory, or because it is not the intended process.
    :param is_signed: whether the response has the upstream's signature.
    :param load: its load, or ``None`` if not stated.
    :param limit_per_s: requests per second that it accepts from all instances together, or ``None``
        if it states no limit.
    :param is_leaving: whether it states that it is shutting down.
    :param retry_after_ms: time for which it wants no request from this instance, or ``None``.
    :param brittle_per_s: refusals in a second beyond which it fails, ``None`` if it states none.
    :param answered_by: id of the upstream whose response another entry instance has relayed.
    """

    request_id: str
    is_refusal: bool
    is_signed: bool
    lacks_model: bool = False
    load: LoadReport | None = None
    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_ms: float | None = None
    brittle_per_s: float | None = None
    answered_by: str = ""


class Dialect(Protocol):
    """Translate between headers and the gateway's types."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Read the headers of a caller's request."""

    def upstream_headers(self, request: HttpRequest, call: ForwardingMetadata) -> Headers:
        """Return the headers of the request to an upstream."""

    def relayed_headers(self, request: HttpRequest, call: RelayedCall) -> Headers:
        """Return the headers of the request to another entry instance."""

    def answered_by(self, upstream_id: str) -> Headers:
        """Return the headers that tell a relaying instance which upstream has responded."""

    def without_relay_headers(self, headers: Headers) -> Headers:
        """Return headers without those between entry instances."""

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Read the headers of an upstream's response."""
