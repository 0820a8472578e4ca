"""Reassembly of responses, compared with a simple oracle."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from briardyke.entry.reassembly import AnswerAssembler, Progress
from briardyke.http.sse import DONE, ServerSentEvent

LENGTH = 6
TOKENS = [f"t{i} " for i in range(LENGTH)]


def _event(attempt_id: str, offset: int, text: str, *, final: bool = False) -> ServerSentEvent:
    choice = {"delta": {"content": text}, "finish_reason": "length" if final else None}
    return ServerSentEvent(json.dumps({"id": attempt_id, "choices": [choice]}), id=str(offset))


def _stream(attempt_id: str, start: int) -> list[ServerSentEvent]:
    tokens = [_event(attempt_id, i + 1, TOKENS[i]) for i in range(start, LENGTH)]
    return [*tokens, _event(attempt_id, LENGTH, "", final=True), ServerSentEvent(DONE)]


# Each fault applies to one event of a stream.
_FAULTS = st.sampled_from(["keep", "keep", "keep", "drop", "duplicate", "cross", "swap", "cut"])


def _with_faults(events: list[ServerSentEvent], faults: list[str]) -> list[ServerSentEvent]:
    sent: list[ServerSentEvent] = []
    for event, fault in zip(events, faults, strict=False):
        if fault == "cut":
            return sent
        if fault == "cross":
            sent.append(_event("att-other", int(event.id or 1), "CROSSED "))
        if fault == "swap" and sent:
            sent.insert(-1, event)
        elif fault != "drop":
            sent += [event] * (2 if fault == "duplicate" else 1)
    return sent


class TestAssembler:
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.lists(st.lists(_FAULTS, min_size=LENGTH + 2, max_size=LENGTH + 2), max_size=5))
    def test_response_is_a_prefix_and_whole_only_when_complete(
        self, attempts: list[list[str]]
    ) -> None:
        """Guards against lost, repeated, crossed or reordered tokens and false completion."""
        assembler = AnswerAssembler("cmpl-1", 0)
        text, finals, complete = "", 0, False
        for number, faults in enumerate(attempts):
            attempt_id = f"att-{number}"
            assembler.begin(attempt_id)
            for event in _with_faults(_stream(attempt_id, assembler.offset), faults):
                progress, piece = assembler.take(event)
                if piece is not None:
                    assert piece.document["id"] == "cmpl-1"
                    text += piece.text
                    finals += progress is Progress.COMPLETE
                # The oracle: what was accepted is the true response's beginning, nothing else.
                assert text == "".join(TOKENS[: assembler.offset])
                if progress is not Progress.CONTINUES:
                    complete = progress is Progress.COMPLETE
                    break
            if complete:
                break
        assert finals == complete
        if complete:
            assert text == "".join(TOKENS)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.sampled_from(["keep", "duplicate", "cross"]), min_size=8, max_size=8))
    def test_faults_that_lose_nothing_still_complete(self, faults: list[str]) -> None:
        """Guards against an assembler that is safe because it never completes."""
        assembler = AnswerAssembler("cmpl-1", 0)
        assembler.begin("att-0")
        seen = [assembler.take(event)[0] for event in _with_faults(_stream("att-0", 0), faults)]
        assert Progress.COMPLETE in seen
        assert Progress.BROKEN not in seen[: seen.index(Progress.COMPLETE)]

    def test_events_with_the_bytes_of_the_first_still_have_their_ids_checked(self) -> None:
        """Guards against passing on events of another attempt, form or offset without parsing."""
        assembler = AnswerAssembler("cmpl-1", 0)
        assembler.begin("att-0")
        texts = ['"', "\\", "\n", "é\u2028", "att-0", "t5"]
        for offset, text in enumerate(texts, 1):
            assert assembler.take(_event("att-1", offset, "CROSSED"))[1] is None
            progress, piece = assembler.take(_event("att-0", offset, text))
            assert piece is not None
            assert (piece.text, piece.offset, piece.document["id"]) == (text, offset, "cmpl-1")
            assert b"\n" not in piece.encode().removesuffix(b"\n\n").partition(b"\n")[2]
            assert assembler.take(_event("att-0", offset, text))[1] is None
        assert assembler.dropped == 2 * len(texts)
        skipped = ServerSentEvent(_event("att-0", 9, "x").data, id="9")
        assert assembler.take(skipped) == (Progress.BROKEN, None)
        event = _event("att-0", 7, "x")
        broken = event.data.replace('"x"', '"x" "')
        assert assembler.take(ServerSentEvent(broken, id="7")) == (Progress.BROKEN, None)
        assembler.begin("att-1")
        assert assembler.take(event)[1] is None
