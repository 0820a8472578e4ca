"""Tests for the counters of quotas."""

from __future__ import annotations

from briardyke.quotas.use_counters import MAX_SHOWN, OTHERS, UseCounters


def counters(accounts: int) -> UseCounters:
    """Return the use of accounts that send one request more each than the one before."""
    found = UseCounters()
    for number in range(accounts):
        for _ in range(number + 1):
            found.admit(f"a{number}", 10.0)
    return found


class TestNumberOfRows:
    """Guards against pages and tables that grow with the number of accounts."""

    def test_largest_accounts_are_shown_and_the_rest_is_added_up(self) -> None:
        shown = counters(30).shown()
        assert len(shown) == MAX_SHOWN + 1
        assert "a29" in shown
        assert "a9" not in shown
        assert shown[OTHERS].admitted == sum(range(1, 11))
        assert shown[OTHERS].tokens == 10.0 * sum(range(1, 11))

    def test_memory_is_bounded(self) -> None:
        found = UseCounters()
        for number in range(5000):
            found.refuse(f"a{number}", "over_quota")
        assert len(found._rows) <= 1001
        assert sum(sum(row.refused.values()) for row in found.shown().values()) == 5000


class TestFigures:
    """Covers the rows of the metrics page."""

    def test_every_figure_of_an_account_has_a_row(self) -> None:
        found = UseCounters()
        found.admit("a", 1660.0)
        found.refuse("a", "over_quota")
        found.refund("a", 200.0)
        figures = found.figures({"a": 40.0, "unseen": 2.0})
        assert figures["gateway_account_admitted_total"] == [(1.0, {"account": "a"})]
        assert figures["gateway_account_refused_total"] == [
            (1.0, {"account": "a", "reason": "over_quota"})
        ]
        assert figures["gateway_account_tokens_total"] == [(1660.0, {"account": "a"})]
        assert figures["gateway_account_refunded_tokens_total"] == [(200.0, {"account": "a"})]
        assert figures["gateway_account_credits"] == [
            (40.0, {"account": "a"}),
            (2.0, {"account": OTHERS}),
        ]
