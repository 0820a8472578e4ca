"""Receive the announcements of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.clock import now_ms
from briardyke.entry.announcements import parse_announcement
from briardyke.errors import ErrorKind, Failure
from briardyke.http.app import HttpApp, Request, Response, error_response, json_response

if TYPE_CHECKING:
    from briardyke.entry.state import EntryState


class UpstreamApi:
    """Handle the route for announcements of upstreams."""

    def __init__(self, state: EntryState) -> None:
        """Use the state of the process."""
        self._state = state

    def register(self, app: HttpApp) -> None:
        """Register the route."""
        app.route("POST", "/v1/upstreams/announce", self._announce)

    async def _announce(self, request: Request) -> Response:
        parsed = parse_announcement(request.body, 0.0)
        if parsed.is_err():
            return error_response(parsed.unwrap_err())
        view = self._state.view
        before = view.digest.lifecycle_sequence
        view.digest.observe_for_forwarding(parsed.unwrap(), now_ms())
        if view.digest.lifecycle_sequence != before:
            view.changed.notify()
        if self._state.isolated() or self._state.draining:
            # This instance uses the row, but another one can forward it to the leader sooner.
            text = (
                "this instance has no recent contact with the leader; announce to another instance"
            )
            return error_response(Failure(ErrorKind.VERSION_UNCONFIRMED, text))
        return json_response({"accepted": True})
