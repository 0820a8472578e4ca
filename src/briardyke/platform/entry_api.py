"""Answer questions to an entry instance: readiness, addresses and explanations."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from briardyke.errors import ErrorKind, Failure
from briardyke.gateway.directory import addresses_for
from briardyke.gateway.explanation import as_json
from briardyke.http.exchange import HttpRequest

if TYPE_CHECKING:
    from briardyke.gateway.process import GatewayProcess
    from briardyke.http.exchange import Answer

_READY = "/briardyke/ready"
_RESOLVE = "/briardyke/resolve"
EXPLAIN_PATH = "/briardyke/explain"
METRICS_PATH = "/metrics"
_JSON = [(b"content-type", b"application/json")]
# Callers keep an answer this long; a shorter time lets them follow a stop sooner.
ADDRESS_TTL_S = 2


class EntryApi:
    """Translate calls into questions to a :class:`GatewayProcess`."""

    def __init__(self, entry: GatewayProcess) -> None:
        """Serve an entry process."""
        self._entry = entry

    async def handle(self, request: HttpRequest, answer: Answer) -> None:
        """Answer one call."""
        if request.path == _READY:
            await answer.send_whole(200 if self._entry.is_ready else 503, [])
        elif request.path == _RESOLVE:
            await self._resolve(request, answer)
        elif request.path == EXPLAIN_PATH:
            await self._explain(request, answer)
        elif request.path == METRICS_PATH:
            page = self._entry.state.counters.prometheus_text()
            await answer.send_whole(200, [(b"content-type", b"text/plain")], page)
        else:
            await answer.send_whole(404, [])

    async def _resolve(self, request: HttpRequest, answer: Answer) -> None:
        query = parse_qs(request.target.partition("?")[2])
        data_centre = query.get("zone", [""])[0]
        addresses = addresses_for(
            data_centre, self._entry.client.view.entries, self._entry.carried_per_s
        )
        if not addresses:
            await answer.send_whole(503, [])
            return
        body = json.dumps({"addresses": addresses, "ttl_s": ADDRESS_TTL_S}).encode()
        await answer.send_whole(200, _JSON, body)

    async def _explain(self, request: HttpRequest, answer: Answer) -> None:
        query = {n: v[0] for n, v in parse_qs(request.target.partition("?")[2]).items()}
        described = _described_request(query)
        if isinstance(described, Failure):
            await _send_failure(answer, described)
            return
        explained = await self._entry.explainer.explain(described, query.get("account", ""))
        if explained.is_err():
            await _send_failure(answer, explained.unwrap_err())
            return
        body = json.dumps(as_json(explained.unwrap())).encode()
        await answer.send_whole(200, _JSON, body)


def _described_request(query: dict[str, str]) -> HttpRequest | Failure:
    """Return the request that a query describes, with the headers that a caller would send."""
    for name in ("host", "path"):
        if not query.get(name):
            return Failure(ErrorKind.FIELD_INVALID, f"{name} is required", name)
    texts = {b"host": query["host"]}
    if "model" in query:
        texts[b"model"] = query["model"]
    if "prompt_tokens" in query or "output_tokens" in query:
        sizes = query.get("prompt_tokens", ""), query.get("output_tokens", "")
        texts[b"token-usage"] = ",".join(sizes)
    if "prefix" in query:
        texts[b"prompt-prefix"] = query["prefix"]
    try:
        headers = [(name, text.encode("latin-1")) for name, text in texts.items()]
    except UnicodeEncodeError:
        return Failure(ErrorKind.FIELD_INVALID, "only Latin-1 characters fit into headers")
    return HttpRequest("GET", query["path"], headers, b"")


async def _send_failure(answer: Answer, failure: Failure) -> None:
    error = {"kind": failure.kind.value, "message": failure.message, "field": failure.field}
    body = json.dumps({"error": error}).encode()
    await answer.send_whole(failure.answer.http_status, _JSON, body)
