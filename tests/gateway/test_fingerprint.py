"""Tests for recognizing a request that is sent again."""

from __future__ import annotations

import attrs
import pytest

from briardyke.gateway.dialect import RequestMetadata
from briardyke.gateway.fingerprint import request_fingerprint
from briardyke.http.exchange import Headers, HttpRequest
from briardyke.quarantine.records import is_fingerprint

METADATA = RequestMetadata("r-1", 1000.0, "m", "a1", ("first", "own"))


def request(body: bytes = b"abc", target: str = "/buy/1", host: bytes = b"h") -> HttpRequest:
    headers: Headers = [(b"host", host), (b"request-id", b"r-1")]
    return HttpRequest("POST", target, headers, body, 0.0)


class TestSameRequest:
    """Covers what differs between two attempts of one request."""

    def test_id_deadline_and_last_event_do_not_count(self) -> None:
        again = attrs.evolve(METADATA, request_id="r-2", deadline_ms=20.0, last_event_id="4")
        assert request_fingerprint(request(), METADATA) == request_fingerprint(request(), again)
        assert is_fingerprint(request_fingerprint(request(), METADATA))


class TestOtherRequest:
    """Covers requests that must not be taken for the same."""

    @pytest.mark.parametrize(
        "other", [request(b"abd"), request(target="/buy/2"), request(host=b"g"), request(b"")]
    )
    def test_body_target_and_host_count(self, other: HttpRequest) -> None:
        assert request_fingerprint(other, METADATA) != request_fingerprint(request(), METADATA)

    @pytest.mark.parametrize("change", [{"model": "n"}, {"adapter": ""}, {"prefix_ids": ()}])
    def test_model_adapter_and_prompt_count(self, change: dict[str, object]) -> None:
        other = attrs.evolve(METADATA, **change)  # type: ignore[arg-type]
        assert request_fingerprint(request(), other) != request_fingerprint(request(), METADATA)
