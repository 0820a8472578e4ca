"""Test streams through the relay from engine stand-ins with faults."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from relay_support import FakeTable, expected_text, model_job, receive, relay_testbed

from briardyke.addresses import Address
from briardyke.errors import ErrorKind, Failure
from briardyke.policy.types import AttemptOutcome

TWO_ENGINES = {"e1": {}, "e2": {}}


class TestStream:
    async def test_whole_response_has_one_id_offsets_and_done(self) -> None:
        """Guards against a stream that cannot be resumed or whose end cannot be recognised."""
        async with relay_testbed({"e1": {}}) as testbed:
            got = await receive(testbed.relay.stream(model_job()))
        assert got.text == expected_text()
        assert got.done
        assert {d["id"] for d in got.documents} == {"cmpl-req-1"}
        assert [e.id for e in got.events] == [*map(str, range(1, 21)), "20", ""]
        assert got.documents[-1]["usage"]["completion_tokens"] == 20
        assert testbed.table.outcomes == [("e1", AttemptOutcome.COMPLETED, 20)]

    @pytest.mark.parametrize(
        "faults",
        [
            {"break_after_tokens": 7, "stream_faults": 1},
            {"truncate_after_tokens": 7, "stream_faults": 1},
            {"stall_after_tokens": 7, "stream_faults": 1},
            {"break_after_tokens": 1, "stream_faults": 1},
            {"truncate_after_tokens": 20, "stream_faults": 1},
            {"wrong_attempt_ids": 1},
            {"duplicated_events": 1},
        ],
        ids=lambda faults: next(iter(faults.items())).__repr__(),
    )
    async def test_fault_on_first_upstream_does_not_change_the_response(
        self, faults: dict[str, int]
    ) -> None:
        """Guards against lost, repeated or foreign tokens when an attempt fails."""
        policy = {"idle_timeout_ms": 200.0} if "stall_after_tokens" in faults else {}
        async with relay_testbed(TWO_ENGINES, **policy) as testbed:
            await testbed.faults("e1", **faults)
            got = await receive(testbed.relay.stream(model_job()))
        assert got.text == expected_text()
        assert got.done
        assert len([d for d in got.documents if d["choices"][0]["finish_reason"]]) == 1

    @pytest.mark.parametrize("switch", ["truncate_after_tokens", "break_after_tokens"])
    async def test_without_retry_budget_a_truncated_response_ends_with_error(
        self, switch: str
    ) -> None:
        """Guards against a truncated response that looks complete."""
        async with relay_testbed(TWO_ENGINES) as testbed:
            testbed.budget.retries = 0
            await testbed.faults("e1", **{switch: 7})
            await testbed.faults("e2", **{switch: 5})
            got = await receive(testbed.relay.stream(model_job()))
        assert not got.done
        assert got.error is not None
        assert (got.error["kind"], got.error["ran"]) == ("answer_truncated", "unknown")
        assert expected_text().startswith(got.text)
        assert len(got.events) == 13  # 7 and 5 tokens, then the error
        assert (
            len(testbed.table.outcomes) == 2
        )  # the first resumption needs no budget, the second does

    async def test_resumes_from_last_event_id_through_another_relay(self) -> None:
        """Guards against losing a response when an entry process fails."""
        async with relay_testbed({"e1": {}}) as testbed:
            got = await receive(testbed.relay.stream(model_job(offset_tokens=12)))
        assert got.text == expected_text()[12 * 9 :]
        assert got.events[0].id == "13"
        assert {d["id"] for d in got.documents} == {"cmpl-req-1"}

    async def test_closing_the_stream_cancels_at_the_upstream(self) -> None:
        """Guards against accelerator time spent on a caller that has disconnected."""
        async with relay_testbed({"e1": {"request_tokens_per_second": "50"}}) as testbed:
            stream = testbed.relay.stream(model_job(tokens=10_000))
            await anext(stream)
            await stream.aclose()
            await testbed.until(
                lambda: testbed.counters("e1"), lambda counters: counters["cancelled"] == 1
            )
            assert testbed.table.outcomes[0][1] is AttemptOutcome.CANCELLED

    async def test_concurrent_streams_are_not_mixed_up(self) -> None:
        """Guards against tokens of one request in another one's response."""
        results: dict[str, str] = {}

        async def call_once(testbed: object, number: int) -> None:
            job = model_job(f"req-{number}")
            got = await receive(testbed.relay.stream(job))  # type: ignore
            results[job.request_id] = got.text

        async with relay_testbed(TWO_ENGINES) as testbed:
            await testbed.faults("e1", wrong_attempt_ids=5, duplicated_events=10)
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(call_once, testbed, number)
        assert results == {r: expected_text(r) for r in results}


class TestNotRun:
    """Covers failures that are reported as "not run": only those where no attempt can have run."""

    async def test_unreachable_upstream_is_not_run(self) -> None:
        """Guards against a needless "unknown", after which a caller does not retry."""
        async with relay_testbed() as testbed:
            testbed.table.addresses["gone"] = Address("127.0.0.1", 1)
            started = await testbed.relay.stream(model_job(wait_ms=300.0)).start()
        failure = started.unwrap_err()
        assert (failure.kind, failure.answer.ran.value) == (ErrorKind.UPSTREAM_UNREACHABLE, "no")

    async def test_refusal_by_the_engine_is_not_run_and_retried(self) -> None:
        """Guards against failed requests while an engine shuts down."""
        async with relay_testbed({"e1": {"leave_notice_ms": "5000"}, "e2": {}}) as testbed:
            testbed.stops["e1"].set()
            await trio.testing.wait_all_tasks_blocked()
            got = await receive(testbed.relay.stream(model_job()))
            del testbed.table.addresses["e2"]
            refused = await testbed.relay.complete(model_job(wait_ms=300.0))
        assert got.done
        assert refused.unwrap_err().kind is ErrorKind.UPSTREAM_REFUSED
        assert testbed.table.outcomes[0] == ("e1", AttemptOutcome.REFUSED, 0)

    @pytest.mark.parametrize("second", [ErrorKind.NO_UPSTREAM, ErrorKind.UPSTREAM_UNREACHABLE])
    async def test_failed_attempt_before_a_refusal_is_unknown(self, second: ErrorKind) -> None:
        """Guards against "not run" after an earlier attempt that reached an engine."""
        async with relay_testbed({"e1": {}}, first_token_timeout_ms=100.0) as testbed:
            await testbed.faults("e1", speed_factor=0.0)
            if second is ErrorKind.UPSTREAM_UNREACHABLE:
                testbed.table.addresses["gone"] = Address("127.0.0.1", 1)
                testbed.budget.retries = 1
            else:
                testbed.budget.retries = 1
                original = testbed.table.choose
                calls = iter([original])
                refuse = FakeTable({}).choose
                testbed.table.choose = lambda r, n: next(calls, refuse)(r, n)  # type: ignore
            failure = (await testbed.relay.complete(model_job())).unwrap_err()
        assert failure.kind is ErrorKind.UPSTREAM_FAILED
        assert failure.answer.ran.value == "unknown"


class TestDeadline:
    async def test_request_waits_while_the_model_loads(self) -> None:
        """Guards against failing a request for a model that will be loaded in time."""
        loading = Failure(ErrorKind.MODEL_LOADING, "loading")
        async with relay_testbed({"e1": {}}, loading_poll_ms=1.0) as testbed:
            testbed.table.refusals = [loading] * 5
            answer = (await testbed.relay.complete(model_job())).unwrap()
        assert answer.body["choices"][0]["message"]["content"] == expected_text()
        assert answer.body["object"] == "chat.completion"
        assert answer.tokens == 20

    async def test_loading_past_the_deadline_is_not_run(self) -> None:
        """Guards against a request that waits without limit."""
        async with relay_testbed({"e1": {}}, loading_poll_ms=1.0) as testbed:
            testbed.table.refusals = [Failure(ErrorKind.MODEL_LOADING, "loading")] * 100_000
            deadline_ms = trio.current_time() * 1000 + 30
            failure = (
                await testbed.relay.complete(model_job(deadline_ms=deadline_ms))
            ).unwrap_err()
            assert (await testbed.counters("e1"))["runs"] == {}
        assert failure.kind is ErrorKind.MODEL_LOADING

    async def test_nothing_is_dispatched_after_the_deadline(self) -> None:
        """Guards against work whose result nobody waits for."""
        async with relay_testbed({"e1": {}}) as testbed:
            failure = (await testbed.relay.complete(model_job(deadline_ms=0.0))).unwrap_err()
            assert (await testbed.counters("e1"))["runs"] == {}
        assert failure.kind is ErrorKind.DEADLINE_UNMEETABLE

    async def test_deadline_during_an_attempt_is_unknown(self) -> None:
        """Guards against "not run" for a request that an engine has received."""
        async with relay_testbed({"e1": {}}) as testbed:
            await testbed.faults("e1", speed_factor=0.0)
            deadline_ms = trio.current_time() * 1000 + 50
            failure = (
                await testbed.relay.complete(model_job(deadline_ms=deadline_ms))
            ).unwrap_err()
        assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


class TestFailedEngine:
    """Guards against failing requests while their model is loaded on another engine."""

    async def test_request_waits_for_another_engine(self) -> None:
        async with relay_testbed({"e1": {}}) as testbed, trio.open_nursery() as nursery:
            alive = testbed.table.addresses.pop("e1")
            testbed.table.addresses["gone"] = Address("127.0.0.1", 1)

            async def start_another_engine() -> None:
                await trio.sleep(0.6)
                testbed.table.addresses["e1"] = alive

            nursery.start_soon(start_another_engine)
            got = await receive(testbed.relay.stream(model_job()))
        assert got.text == expected_text()
        # Delays double, so that many waiting requests do not overload the failed engine.
        assert 2 <= len(testbed.table.outcomes) <= 12
