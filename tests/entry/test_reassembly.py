"""Test the assembly of responses against a simple reference."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from briardyke.entry.reassembly import Progress, ResponseAssembler
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
_FAULTS = st.sampled_from(
    ["keep", "keep", "keep", "drop", "duplicate", "other_attempt", "swap", "truncate"]
)


def _with_faults(events: list[ServerSentEvent], faults: list[str]) -> list[ServerSentEvent]:
    sent: list[ServerSentEvent] = []
    for event, fault in zip(events, faults, strict=False):
        if fault == "truncate":
            return sent
        if fault == "other_attempt":
            sent.append(_event("att-other", int(event.id or 1), "OTHER "))
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
        """Guards against lost, repeated, foreign or reordered tokens and false completion."""
        assembler = ResponseAssembler("cmpl-1", 0)
        text, finals, complete = "", 0, False
        for number, faults in enumerate(attempts):
            attempt_id = f"att-{number}"
            assembler.begin(attempt_id)
            for event in _with_faults(_stream(attempt_id, assembler.offset), faults):
                progress, caller_event = assembler.accept(event)
                if caller_event is not None:
                    assert caller_event.document["id"] == "cmpl-1"
                    text += caller_event.text
                    finals += progress is Progress.COMPLETE
                # Reference: the accepted text is always a prefix of the correct response.
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
    @given(
        st.lists(st.sampled_from(["keep", "duplicate", "other_attempt"]), min_size=8, max_size=8)
    )
    def test_response_completes_when_no_event_is_lost(self, faults: list[str]) -> None:
        """Guards against an assembler that rejects every response."""
        assembler = ResponseAssembler("cmpl-1", 0)
        assembler.begin("att-0")
        seen = [assembler.accept(event)[0] for event in _with_faults(_stream("att-0", 0), faults)]
        assert Progress.COMPLETE in seen
        assert Progress.BROKEN not in seen[: seen.index(Progress.COMPLETE)]

    def test_events_that_match_the_template_have_their_ids_and_offsets_checked(self) -> None:
        """Guards against events of another attempt, form or offset that skip parsing."""
        assembler = ResponseAssembler("cmpl-1", 0)
        assembler.begin("att-0")
        texts = ['"', "\\", "\n", "é\u2028", "att-0", "t5"]
        for offset, text in enumerate(texts, 1):
            assert assembler.accept(_event("att-1", offset, "OTHER"))[1] is None
            progress, caller_event = assembler.accept(_event("att-0", offset, text))
            assert caller_event is not None
            assert (caller_event.text, caller_event.offset, caller_event.document["id"]) == (
                text,
                offset,
                "cmpl-1",
            )
            assert b"\n" not in caller_event.encode().removesuffix(b"\n\n").partition(b"\n")[2]
            assert assembler.accept(_event("att-0", offset, text))[1] is None
        assert assembler.dropped == 2 * len(texts)
        skipped = ServerSentEvent(_event("att-0", 9, "x").data, id="9")
        assert assembler.accept(skipped) == (Progress.BROKEN, None)
        event = _event("att-0", 7, "x")
        broken = event.data.replace('"x"', '"x" "')
        assert assembler.accept(ServerSentEvent(broken, id="7")) == (Progress.BROKEN, None)
        assembler.begin("att-1")
        assert assembler.accept(event)[1] is None
