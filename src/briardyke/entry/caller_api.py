"""Serve callers: completions, models, plain services and address responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from briardyke.clock import now_ms, wall_unix_ms
from briardyke.entry.addresses import address_response
from briardyke.entry.authentication import authenticate
from briardyke.entry.requests import (
    ModelRequest,
    read_model_request,
    read_request_id,
    read_service_job,
)
from briardyke.errors import ErrorKind, Failure
from briardyke.http.app import (
    AnyResponse,
    HttpApp,
    Request,
    Response,
    StreamResponse,
    error_response,
    json_response,
)
from briardyke.http.sse import STREAM_HEADERS
from briardyke.logs import log_event
from briardyke.metrics import counter, histogram_ms
from briardyke.policy.types import AdmissionRequest, LimitRequest, Permit, RouteRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briardyke.entry.relay import Relay, RelayStream
    from briardyke.entry.state import EntryState

_UNCONFIRMED_RETRY_MS = 1000


class CallerApi:
    """Handle the routes for callers."""

    def __init__(self, state: EntryState, relay: Relay) -> None:
        """Use the state and the relay of the process."""
        self._state = state
        self._relay = relay
        self._requests = counter("entry_requests", "Requests by result.")
        self._duration = histogram_ms("entry_request_duration", "Time from arrival to the end.")
        self._first_token = histogram_ms("entry_first_token", "Time to the first token.")

    def register(self, app: HttpApp) -> None:
        """Register the routes."""
        for path in ("/v1/chat/completions", "/v1/completions"):
            app.route("POST", path, self._complete, cancel_on_disconnect=True)
        app.route("GET", "/v1/models", self._models)
        app.route("GET", "/v1/addresses", self._addresses)
        app.route("*", "/services/{name}/{path*}", self._service)

    async def _addresses(self, request: Request) -> Response:
        state = self._state
        is_excluded = state.draining or state.isolated() or not state.ready()
        body = address_response(
            state.view.listed,
            request.query.get("data_centre", ""),
            state.settings.address_ttl_ms,
            state.settings.instance_id if is_excluded else None,
        )
        return json_response(body, 200, {"cache-control": "no-store"})

    async def _models(self, request: Request) -> Response:
        authenticated = self._identify_caller(request)
        if authenticated.is_err():
            return error_response(authenticated.unwrap_err())
        configuration = self._state.configuration
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": "briardyke"}
            for name in configuration.models
        ]
        rows += [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "briardyke",
                "parent": adapter.model,
            }
            for name, adapter in configuration.adapters.items()
        ]
        return json_response({"object": "list", "data": rows})

    async def _complete(self, request: Request) -> AnyResponse:
        started_ms = now_ms()
        request_id = read_request_id(request)
        if request_id.is_err():
            return self._refuse_request(request_id.unwrap_err(), "")
        admitted = self._admit_model(request, request_id.unwrap())
        if admitted.is_err():
            return self._refuse_request(admitted.unwrap_err(), request_id.unwrap())
        model_request, permit = admitted.unwrap()
        finish = _RequestCompletion(self, permit, model_request, started_ms)
        if model_request.stream:
            return await self._start_stream(model_request, finish)
        try:
            result = await self._relay.complete(model_request.job)
        except BaseException:
            finish("cancelled", 0)
            raise
        if result.is_err():
            failure = result.unwrap_err()
            finish(failure.kind.value, 0)
            return error_response(failure, model_request.job.request_id)
        response = result.unwrap()
        finish("complete", response.tokens)
        body = {**response.body, "created": wall_unix_ms() // 1000}
        return json_response(body, 200, {"x-request-id": model_request.job.request_id})

    async def _start_stream(
        self, model_request: ModelRequest, finish: _RequestCompletion
    ) -> AnyResponse:
        stream = self._relay.stream(model_request.job)
        try:
            started = await stream.start()
        except BaseException:
            finish("cancelled", 0)
            raise
        if started.is_err():
            failure = started.unwrap_err()
            finish(failure.kind.value, 0)
            return error_response(failure, model_request.job.request_id)
        self._first_token.record(now_ms() - finish.started_ms)
        headers = {**STREAM_HEADERS, "x-request-id": model_request.job.request_id}
        return StreamResponse(_SettlingStream(stream, finish), 200, headers)

    async def _service(self, request: Request) -> Response:
        started_ms = now_ms()
        request_id = read_request_id(request)
        if request_id.is_err():
            return self._refuse_request(request_id.unwrap_err(), "")
        admitted = self._admit_service(request, request_id.unwrap())
        if admitted.is_err():
            return self._refuse_request(admitted.unwrap_err(), request_id.unwrap())
        job, permit = admitted.unwrap()
        self._state.in_flight += 1
        try:
            result = await self._relay.call_service(job)
        finally:
            self._state.in_flight -= 1
            self._state.request_limiter.release(permit, 0, now_ms())
        self._duration.record(now_ms() - started_ms)
        if result.is_err():
            return self._refuse_request(result.unwrap_err(), job.request_id)
        response = result.unwrap()
        self._requests.add(1, {"result": "complete"})
        headers = {**response.headers, "x-request-id": job.request_id}
        if response.replayed:
            headers["x-replayed"] = "true"
        return Response(response.status, response.body, headers)

    def _identify_caller(self, request: Request) -> Result[str, Failure]:
        if not self._state.ready():
            text = "this instance cannot confirm that its configuration is current"
            failure = Failure(
                ErrorKind.VERSION_UNCONFIRMED, text, retry_after_ms=_UNCONFIRMED_RETRY_MS
            )
            return Err(failure)
        return authenticate(request.headers, self._state.keys)

    def _admit_model(
        self, request: Request, request_id: str
    ) -> Result[tuple[ModelRequest, Permit], Failure]:
        caller = self._identify_caller(request)
        if caller.is_err():
            return Err(caller.unwrap_err())
        state = self._state
        read = read_model_request(
            request, request_id, state.configuration, state.settings.default_deadline_ms
        )
        if read.is_err():
            return Err(read.unwrap_err())
        model_request = read.unwrap()
        now = now_ms()
        state.demand.record(
            model_request.adapter or model_request.model, model_request.estimated_tokens, now
        )
        permit = self._permit(
            caller.unwrap(),
            model_request.job.route,
            model_request.estimated_tokens,
            model_request.job.deadline_ms,
        )
        return permit.map(lambda p: (model_request, p))

    def _admit_service(
        self, request: Request, request_id: str
    ) -> Result[tuple[Any, Permit], Failure]:
        caller = self._identify_caller(request)
        if caller.is_err():
            return Err(caller.unwrap_err())
        name = request.path_values["name"]
        service = self._state.configuration.services.get(name)
        if service is None:
            text = f"no service is named {name!r}"
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE, text, "name"))
        read = read_service_job(
            request,
            request_id,
            caller.unwrap(),
            service,
            self._state.settings.default_deadline_ms,
        )
        if read.is_err():
            return Err(read.unwrap_err())
        job = read.unwrap()
        permit = self._permit(caller.unwrap(), job.route, 0, job.deadline_ms)
        return permit.map(lambda p: (job, p))

    def _permit(
        self, caller: str, route: RouteRequest, tokens: int, deadline_ms: float
    ) -> Result[Permit, Failure]:
        """Check limits, then admission; if admission refuses, release what the limits granted."""
        state, now = self._state, now_ms()
        known = state.configuration.callers.get(caller)
        limit = LimitRequest(caller, route.model, route.adapter, tokens)
        permit = state.request_limiter.admit(limit, now)
        if permit.is_err():
            return Err(permit.unwrap_err())
        weight = known.weight if known else 1.0
        wanted = AdmissionRequest(caller, weight, route, tokens, deadline_ms)
        admitted = state.admission.admit(wanted, now)
        if admitted.is_err():
            state.request_limiter.release(permit.unwrap(), 0, now)
            return Err(admitted.unwrap_err())
        return Ok(permit.unwrap())

    def _refuse_request(self, failure: Failure, request_id: str) -> Response:
        self._requests.add(1, {"result": failure.kind.value})
        return error_response(failure, request_id)

    def finish(
        self, result: str, permit: Permit, tokens: int, started_ms: float, request_id: str
    ) -> None:
        """Settle the limits and record the result of a model request."""
        now = now_ms()
        self._state.in_flight -= 1
        self._state.request_limiter.release(permit, tokens, now)
        self._requests.add(1, {"result": result})
        self._duration.record(now - started_ms)
        if result != "complete":
            log_event("request_failed", request_id=request_id, result=result, tokens=tokens)


class _RequestCompletion:
    """Settle one model request exactly once."""

    def __init__(
        self, api: CallerApi, permit: Permit, model_request: ModelRequest, started_ms: float
    ) -> None:
        self._api = api
        self._permit = permit
        self._model_request = model_request
        self.started_ms = started_ms
        self._done = False
        api._state.in_flight += 1

    def __call__(self, result: str, generated_tokens: int) -> None:
        if self._done:
            return
        self._done = True
        tokens = self._model_request.prompt_tokens + generated_tokens if generated_tokens else 0
        self._api.finish(
            result, self._permit, tokens, self.started_ms, self._model_request.job.request_id
        )


class _SettlingStream:
    """Forward a stream and settle the request when it ends or the caller disconnects."""

    def __init__(self, stream: RelayStream, finish: _RequestCompletion) -> None:
        self._stream = stream
        self._finish = finish

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        try:
            return await self._stream.__anext__()
        except StopAsyncIteration:
            result = "complete" if self._stream.failure is None else self._stream.failure.kind.value
            self._finish(result, self._stream.tokens)
            raise

    async def aclose(self) -> None:
        await self._stream.aclose()
        self._finish("cancelled", self._stream.tokens)
