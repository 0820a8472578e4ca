"""Define what the gateway asks of the protocol that callers and upstreams speak."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from briardyke.http.exchange import Headers, HttpRequest


@attrs.frozen
class RequestMetadata:
    """Hold what a caller's headers say.

    :param request_id: id of this attempt of the caller.
    :param deadline_ms: time that the caller will wait, or ``None`` when it does not say.
    :param model: name of the model, or empty for a plain service.
    :param adapter: name of the model's adapter, or empty.
    :param prefix_ids: ids of the parts of the prompt, in order.
    :param prompt_tokens: tokens of the prompt, 0 when unknown.
    :param max_output_tokens: most tokens of the answer, 0 when unknown.
    :param last_event_id: last event that the caller has, or empty.
    """

    request_id: str
    deadline_ms: float | None
    model: str = ""
    adapter: str = ""
    prefix_ids: tuple[str, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""


@attrs.frozen
class LoadReport:
    """Describe an upstream's load as it reported it.

    :param running: requests that it runs.
    :param waiting: requests that wait in it.
    :param slots: requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class ForwardingMetadata:
    """Hold what the gateway adds to a request.

    :param upstream_id: upstream that it is meant for; any other must refuse it.
    :param remaining_ms: time left until the deadline.
    :param priority: rank; 0 is the most urgent.
    :param last_event_id: event after which a stream goes on, or empty.
    """

    upstream_id: str
    remaining_ms: float
    priority: int
    last_event_id: str = ""


@attrs.frozen
class ResponseMetadata:
    """Hold what an upstream's headers say.

    :param request_id: request that the answer belongs to, or empty when it does not say.
    :param is_refusal: whether the upstream states that it did not run the request.
    :param lacks_model: whether it refused because the model or adapter is not in its memory, or
        because it is another process than was meant.
    :param is_signed: whether the answer carries the upstream's signature.
    :param load: its load, or ``None`` when it does not say.
    """

    request_id: str
    is_refusal: bool
    is_signed: bool
    lacks_model: bool = False
    load: LoadReport | None = None


class Dialect(Protocol):
    """Translate headers between the protocol and the gateway's types."""

    def read_request(self, request: HttpRequest) -> RequestMetadata:
        """Return what a caller's headers say."""

    def upstream_headers(self, request: HttpRequest, call: ForwardingMetadata) -> Headers:
        """Return the headers to send to an upstream."""

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an upstream's headers say."""
