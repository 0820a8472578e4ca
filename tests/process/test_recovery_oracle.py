"""Check that the oracle of the random faults notices each kind of broken promise."""

from __future__ import annotations

import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "bench"))

from recovery_load import Break, Ended, KeyRecord  # noqa: E402
from recovery_oracle import (
    Window,
    check_audit,
    check_keys,
    check_memory,
    check_requests,
)  # noqa: E402


def _load(**fields: Any) -> Any:
    empty = {"keys": {}, "told_not_run": set(), "ended": [], "breaks": [], "started_s": 0.0}
    return SimpleNamespace(**{**empty, **fields})


def _watch(**counters: dict[str, Any]) -> Any:
    return SimpleNamespace(counters={(name, 1): value for name, value in counters.items()})


def _service(*request_ids: str) -> dict[str, Any]:
    return {"runs_by_key": {}, "runs_by_request": dict.fromkeys(request_ids, 1)}


class TestKeys:
    """Guards against an oracle that overlooks a second run."""

    def test_two_counted_runs_of_a_key(self) -> None:
        load = _load(keys={"k": KeyRecord(["k.0", "k.1"])})
        assert check_keys(load, _watch(sales_1=_service("k.0"))) == []
        (problem,) = check_keys(load, _watch(sales_1=_service("k.0"), sales_2=_service("k.1")))
        assert problem.startswith("doubled")

    def test_a_run_whose_count_died_with_the_service_is_known_by_its_answer(self) -> None:
        load = _load(keys={"k": KeyRecord(["k.0", "k.1"], [{"request_id": "k.0"}])})
        (problem,) = check_keys(load, _watch(sales_1=_service("k.1")))
        assert problem.startswith("doubled")

    def test_a_refused_call_that_ran(self) -> None:
        load = _load(told_not_run={"r"})
        assert check_keys(load, _watch(sales_1=_service("s"))) == []
        assert len(check_keys(load, _watch(sales_1=_service("r")))) == 1
        assert len(check_keys(load, _watch(sorting_1={"runs": {"r": 1}}))) == 1


class TestMemoryAndAudit:
    """Guards against an oracle that overlooks overcommitted memory or a lost record."""

    def test_memory_beyond_the_capacity(self) -> None:
        right = {"overcommitted": 0, "peak_bytes": 4, "capacity_bytes": 4}
        assert check_memory(_watch(sorting_1=right)) == []
        assert len(check_memory(_watch(sorting_1={**right, "peak_bytes": 5}))) == 1
        assert len(check_memory(_watch(sorting_1={**right, "overcommitted": 1}))) == 1

    def test_missing_and_repeated_records(self) -> None:
        record = {"request_id": "p", "to_version": 1}
        for records, count in (([record], 0), ([], 1), ([record, record], 2)):
            answer = SimpleNamespace(json=lambda records=records: {"records": records})
            cluster: Any = SimpleNamespace(
                names=lambda prefix: ["control-1"],
                call=lambda *args, answer=answer: answer,
            )
            watch: Any = SimpleNamespace(accepted={"p": (1, 0.0)})
            assert len(check_audit(cluster, watch)) == count


class TestRequests:
    """Guards against an oracle that excuses requests which no fault hit."""

    def test_results_that_no_fault_excuses(self) -> None:
        hit = [Window("kill", "entry-1", 0.0, 100.0)]
        for result in ("wrong", "truncated", "lost"):
            ended = Ended("stream", "r", result, 1.0, 2.0)
            assert len(check_requests(_load(ended=[ended]), hit)) == 1

    def test_refusals_and_breaks_need_a_fault_other_than_a_planned_stop(self) -> None:
        load = _load(
            ended=[Ended("stream", "r", "refused", 1.0, 2.0)],
            breaks=[Break("entry-1", "r", 1.0, 2.0, listed=True, detail="reset")],
        )
        assert check_requests(load, [Window("kill", "entry-1", 0.0, 3.0)]) == []
        assert len(check_requests(load, [Window("stop", "entry-1", 0.0, 3.0)])) == 2
        assert len(check_requests(load, [])) == 2
