"""Validate the requests of callers and convert them to jobs for the relay."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

import attrs
from result import Err, Ok, Result

from briardyke.clock import now_ms
from briardyke.entry.relay_jobs import ModelJob, ServiceJob
from briardyke.errors import ErrorKind, Failure
from briardyke.ids import new_id
from briardyke.policy.types import RouteRequest
from briardyke.prompts import count_tokens, prefix_hashes, prompt_text, token_limit

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.agreed.configuration import Configuration, Service
    from briardyke.http.app import Request

MAX_ID_LENGTH = 128
MAX_KEY_LENGTH = 256
_MAX_DEADLINE_MS = 3_600_000.0
_PRIORITY_RANGE = (-10, 10)
_FORWARDED_HEADERS = frozenset({"content-type", "accept", "x-priority"})


@attrs.frozen
class ModelRequest:
    """Request to a model in the form that limits, admission and relay need.

    :param job: the job for the relay.
    :param model: model name.
    :param adapter: adapter name, empty for none.
    :param estimated_tokens: prompt tokens plus the tokens that may be generated.
    :param prompt_tokens: tokens of the prompt.
    :param stream: whether the caller wants server-sent events.
    """

    job: ModelJob
    model: str
    adapter: str
    estimated_tokens: int
    prompt_tokens: int
    stream: bool


def read_request_id(request: Request) -> Result[str, Failure]:
    """Return the caller's request id, or a new one."""
    given = request.headers.get("x-request-id", "")
    if len(given) > MAX_ID_LENGTH or not given.isprintable():
        text = f"x-request-id must be at most {MAX_ID_LENGTH} printable characters"
        return Err(Failure(ErrorKind.FIELD_INVALID, text, "x-request-id"))
    return Ok(given or new_id("req"))


def read_model_request(
    request: Request, request_id: str, configuration: Configuration, default_deadline_ms: float
) -> Result[ModelRequest, Failure]:
    """Read a chat or completion request.

    :param request: HTTP request with a JSON body.
    :param request_id: identity of the request.
    :param configuration: configuration in force.
    :param default_deadline_ms: time to the first token when the caller names none.
    :return: the request, or a failure that names the field.
    """
    parsed = request.json_object()
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    body = parsed.unwrap()
    prompt, limit = prompt_text(body), token_limit(body)
    deadline, priority = _deadline(request, default_deadline_ms), _priority(request)
    offset, names = _resume_offset(request), _model_and_adapter(body, configuration)
    for checked in (names, prompt, limit, deadline, priority, offset, _check_stream(body)):
        if checked.is_err():
            return Err(checked.unwrap_err())
    model, adapter = names.unwrap()
    text = prompt.unwrap()
    prompt_tokens = count_tokens(text)
    route = RouteRequest(
        model=model,
        adapter=adapter,
        prefix_hashes=tuple(prefix_hashes(adapter or model, text)),
        prompt_tokens=prompt_tokens,
        priority=priority.unwrap(),
        patterns=configuration.models[model].instances,
    )
    job = ModelJob(request_id, request.path, body, route, deadline.unwrap(), offset.unwrap())
    estimated = prompt_tokens + max(0, limit.unwrap() - offset.unwrap())
    return Ok(
        ModelRequest(job, model, adapter, estimated, prompt_tokens, body.get("stream") is True)
    )


def read_service_job(
    request: Request,
    request_id: str,
    caller: str,
    service: Service,
    default_deadline_ms: float,
) -> Result[ServiceJob, Failure]:
    """Read a call of a plain service.

    A call is non-idempotent when its path is declared so, unless its method is safe, or when the
    caller says so with ``X-Idempotent: false``.
    """
    key = request.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        text = f"idempotency-key must be at most {MAX_KEY_LENGTH} printable characters"
        return Err(Failure(ErrorKind.FIELD_INVALID, text, "idempotency-key"))
    deadline, priority = _deadline(request, default_deadline_ms), _priority(request)
    for checked in (deadline, priority):
        if checked.is_err():
            return Err(checked.unwrap_err())
    path = "/" + request.path_values["path"]
    name = request.path_values["name"]
    declared = any(path.startswith(prefix) for prefix in service.non_idempotent_paths)
    marked_by_caller = request.headers.get("x-idempotent", "").lower() == "false"
    job = ServiceJob(
        request_id=request_id,
        caller=caller,
        method=request.method,
        target=quote(path) + _encode_query(request.query),
        headers={k: v for k, v in request.headers.items() if k in _FORWARDED_HEADERS},
        body=request.body,
        route=RouteRequest(
            service=name, priority=priority.unwrap(), patterns=tuple(service.instances)
        ),
        deadline_ms=deadline.unwrap(),
        non_idempotent=marked_by_caller
        or (declared and request.method not in ("GET", "HEAD", "OPTIONS")),
        key=key,
    )
    return Ok(job)


def _model_and_adapter(
    body: Mapping[str, Any], configuration: Configuration
) -> Result[Any, Failure]:
    name = body.get("model")
    if not isinstance(name, str):
        return Err(Failure(ErrorKind.FIELD_INVALID, "model must be a string", "model"))
    if name in configuration.models:
        return Ok((name, ""))
    adapter = configuration.adapters.get(name)
    if adapter is not None:
        return Ok((adapter.model, name))
    text = f"no model or adapter is named {name!r}"
    return Err(Failure(ErrorKind.UNKNOWN_MODEL, text, "model"))


def _check_stream(body: Mapping[str, Any]) -> Result[Any, Failure]:
    if not isinstance(body.get("stream", False), bool):
        return Err(Failure(ErrorKind.FIELD_INVALID, "stream must be true or false", "stream"))
    return Ok(None)


def _deadline(request: Request, default_ms: float) -> Result[float, Failure]:
    text = request.headers.get("x-deadline-ms")
    try:
        wait_ms = default_ms if text is None else float(text)
    except ValueError:
        wait_ms = math.nan
    if not 0 < wait_ms <= _MAX_DEADLINE_MS:
        message = f"x-deadline-ms must be above 0 and at most {_MAX_DEADLINE_MS:g}"
        return Err(Failure(ErrorKind.FIELD_INVALID, message, "x-deadline-ms"))
    return Ok(now_ms() + wait_ms)


def _priority(request: Request) -> Result[int, Failure]:
    text = request.headers.get("x-priority", "0")
    low, high = _PRIORITY_RANGE
    if not text.removeprefix("-").isdecimal() or not low <= int(text) <= high:
        message = f"x-priority must be an integer from {low} to {high}"
        return Err(Failure(ErrorKind.FIELD_INVALID, message, "x-priority"))
    return Ok(int(text))


def _resume_offset(request: Request) -> Result[int, Failure]:
    text = request.headers.get("last-event-id", "0")
    if not text.isdecimal() or len(text) > 9:
        message = "last-event-id must be the id of an event of this stream"
        return Err(Failure(ErrorKind.FIELD_INVALID, message, "last-event-id"))
    return Ok(int(text))


def _encode_query(query: Mapping[str, str]) -> str:
    return f"?{urlencode(query)}" if query else ""
