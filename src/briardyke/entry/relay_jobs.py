"""Define the requests, responses and limits of the relay."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from briardyke.policy.types import RouteRequest


@attrs.frozen
class RelayPolicy:
    """Limits and delays of the relay; times are in milliseconds.

    :param attempt_limit: attempts for one request that may have run, the first included.
    :param first_token_timeout_ms: longest wait for the first event of an attempt.
    :param idle_timeout_ms: longest silence after the first event of an attempt.
    :param resume_timeout_ms: time within which an interrupted stream may be resumed.
    :param loading_poll_ms: time between checks whether a model has been loaded.
    :param retry_delay_ms: delay before an upstream that failed is tried again.
    :param max_retry_delay_ms: limit of that delay, which doubles while attempts cannot have run.
    :param budget_wait_ms: longest wait for the retry budget after an attempt that may have run.
    :param coalesce_ms: tokens that arrive within this time share one write. A write costs about
        0.1 ms of processor time; the target between tokens is 64 ms.
    :param buffer_limit_bytes: bytes buffered for a slow caller before the upstream is paused.
    :param claim_timeout_ms: longest wait for a reply to a claim.
    :param claim_poll_ms: time between claims of a key while another request with it is running.
    :param running_key_wait_ms: longest wait for that request; its entry process may have failed.
    """

    attempt_limit: int = 4
    first_token_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 1500.0
    resume_timeout_ms: float = 10_000.0
    loading_poll_ms: float = 25.0
    retry_delay_ms: float = 50.0
    max_retry_delay_ms: float = 1000.0
    budget_wait_ms: float = 1000.0
    coalesce_ms: float = 20.0
    buffer_limit_bytes: int = 256 * 1024
    claim_timeout_ms: float = 2000.0
    claim_poll_ms: float = 200.0
    running_key_wait_ms: float = 10_000.0


@attrs.frozen
class ModelJob:
    """Admitted request to a model.

    :param request_id: identity of the request; it is also the seed of the generation.
    :param path: ``/v1/chat/completions`` or ``/v1/completions``.
    :param body: parsed request body.
    :param route: what the request needs from an upstream.
    :param deadline_ms: latest useful time of the first token, on the runtime's clock.
    :param offset_tokens: tokens that the caller already has.
    """

    request_id: str
    path: str
    body: Mapping[str, Any]
    route: RouteRequest
    deadline_ms: float
    offset_tokens: int = 0

    @property
    def completion_id(self) -> str:
        """Return the id that the caller sees; it is the same at every entry process."""
        return f"cmpl-{self.request_id}"


@attrs.frozen
class ModelResponse:
    """Complete response that was not streamed.

    :param body: response in the OpenAI-compatible form.
    :param tokens: number of generated tokens.
    """

    body: Mapping[str, Any]
    tokens: int


@attrs.frozen
class ServiceJob:
    """Admitted call of a plain service.

    :param request_id: identity of the request.
    :param caller: caller name.
    :param method: HTTP method.
    :param target: path with query at the service.
    :param headers: headers to forward, by lower-case name.
    :param body: request body.
    :param route: what the request needs from an upstream.
    :param deadline_ms: latest useful time of the response, on the runtime's clock.
    :param non_idempotent: whether the call must run at most once.
    :param key: idempotency key, empty for none.
    """

    request_id: str
    caller: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    route: RouteRequest
    deadline_ms: float
    non_idempotent: bool = False
    key: str = ""


@attrs.frozen
class ServiceResponse:
    """Response of a service.

    :param status: HTTP status code.
    :param headers: headers by lower-case name.
    :param body: bytes of the body.
    :param replayed: whether it is the stored response of an earlier call with the same key.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    replayed: bool = False
