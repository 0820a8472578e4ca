"""Tests of the explanation of decisions."""

from __future__ import annotations

from test_dispatcher import SPEC, request, row

from briardyke.dispatch.dispatcher import Dispatcher
from briardyke.dispatch.explanation import explain
from briardyke.dispatch.messages import Observation, ObservationKind, Outcome


def dispatcher(*slots: int) -> Dispatcher:
    found = Dispatcher()
    rows = [row(name, count) for name, count in zip("abc", slots, strict=False)]
    found.update_engines(rows, SPEC, 0.0)
    return found


class TestExplanation:
    def test_named_engine_is_the_one_that_is_chosen(self):
        """Guards against an explanation by other rules than those of the choice."""
        decides = dispatcher(4, 4, 4)
        for number in range(6):
            asked = request(str(number), "a", "b", "c")
            decision = explain(decides, asked, 10.0 * number).decision
            reply = decides.submit(asked, 10.0 * number)
            if reply.outcome == Outcome.PLACED.value:
                assert decision == f"would be placed on {reply.upstream_id}"
            else:
                assert decision.startswith("waits for")

    def test_each_excluded_engine_has_its_rule(self):
        """Guards against an operator who cannot tell why an engine gets no requests."""
        decides = dispatcher(1, 8, 8)
        decides.submit(request("1", "a"), 0.0)
        slow = Observation(ObservationKind.LOAD.value, "b", 0.0, slots=8, slowness=6.0)
        decides.submit(request("2", "b"), 0.0)
        decides.observe("entry-1", slow, 1.0)
        found = explain(decides, request("3", "a", "b", "c", "gone"), 1.0)
        rules = {candidate.upstream_id: candidate.rule for candidate in found.candidates}
        assert rules == {
            "a": "no free slot",
            "b": "running streams would pause for too long",
            "c": "",
        }
        assert found.candidates[0].upstream_id == "c" and found.unknown_ids == ["gone"]
        assert len(found.lines()) == 5 and "no free slot" in "\n".join(found.lines())

    def test_explaining_changes_nothing(self):
        """Guards against a look that takes a slot or a place in the queue."""
        decides = dispatcher(1)
        explain(decides, request("1", "a"), 0.0)
        assert not decides.counts and not decides.pool.engines["a"].dispatches
        decides.submit(request("1", "a"), 0.0)
        decides.submit(request("2", "a"), 0.0)
        assert explain(decides, request("1", "a"), 1.0).decision == "placed on a"
        assert explain(decides, request("2", "a"), 1.0).decision.startswith("waits for a")
        assert len(decides.queue) == 1
