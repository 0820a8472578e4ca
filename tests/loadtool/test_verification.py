"""The load tool's verification of responses."""

from __future__ import annotations

import json

import pytest

from briardyke.http.sse import DONE, ServerSentEvent
from briardyke.loadtool.verification import ResponseVerifier
from briardyke.standins.generation import seed_of, token_text

SEED = seed_of("r1", "m1", "p")


def _token(position: int, *, offset: int = 0, seed: int = SEED, id: str = "c") -> ServerSentEvent:
    choice = {"delta": {"content": token_text(seed, position)}, "finish_reason": None}
    data = json.dumps({"id": id, "choices": [choice]})
    return ServerSentEvent(data, id=str(offset or position + 1))


FINAL = ServerSentEvent(
    json.dumps({"id": "c", "choices": [{"delta": {}, "finish_reason": "length"}]}), id="3"
)
END = ServerSentEvent(DONE)
THREE = [_token(0), _token(1), _token(2)]


class TestResponseVerifier:
    @pytest.mark.parametrize(
        ("events", "wrong"),
        [
            ([*THREE, FINAL, END], ""),
            ([*THREE, END], "[DONE] after 3"),
            ([_token(0), FINAL, END], "[DONE] after 1"),
            ([_token(0), _token(0)], "token 1"),
            ([_token(0), _token(2)], "token 1"),
            ([_token(0), _token(1, seed=seed_of("r2", "m1", "p"))], "token 1"),
            ([_token(0, offset=2)], "token 0"),
            ([_token(0), _token(1, id="other")], "completion id"),
            ([ServerSentEvent("{")], "no JSON"),
            ([ServerSentEvent("{}")], "no chat completion"),
        ],
        ids=[
            "whole",
            "no finish reason",
            "short",
            "repeated",
            "lost",
            "crossed",
            "wrong offset",
            "changed id",
            "no JSON",
            "no chunk",
        ],
    )
    def test_only_the_whole_right_response_passes(
        self, events: list[ServerSentEvent], wrong: str
    ) -> None:
        """Guards against a load test that passes over a lost, repeated or crossed token (P3)."""
        verifier = ResponseVerifier("r1", "m1", "p", 3)
        for event in events:
            verifier.take(event)
        assert verifier.wrong.startswith(wrong) or wrong in verifier.wrong
        assert bool(verifier.wrong) is bool(wrong)
        assert verifier.done is (events[-1] is END)
