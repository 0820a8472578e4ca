"""Answer the platform's questions to an entry instance: readiness and addresses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from briardyke.clock import now_ms
from briardyke.gateway.directory import addresses_for

if TYPE_CHECKING:
    from briardyke.gateway.process import GatewayProcess
    from briardyke.http.exchange import Answer, HttpRequest

_READY = "/briardyke/ready"
_RESOLVE = "/briardyke/resolve"
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
        elif request.path == METRICS_PATH:
            memory = self._entry.memory.budget.figures(now_ms())
            page = self._entry.state.counters.prometheus_text(memory)
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
