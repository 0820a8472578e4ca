"""Check the table of answers."""

from __future__ import annotations

from briardyke.errors import ANSWERS, ErrorKind, Ran


class TestAnswers:
    """Guards against an error kind without an answer, and against promising too much."""

    def test_every_kind_has_an_answer(self) -> None:
        assert set(ANSWERS) == set(ErrorKind)

    def test_client_errors_state_that_nothing_ran(self) -> None:
        for kind, answer in ANSWERS.items():
            if 400 <= answer.http_status < 500:
                assert answer.ran is Ran.NO, kind

    def test_gateway_errors_never_state_that_nothing_ran(self) -> None:
        for kind, answer in ANSWERS.items():
            if answer.http_status in (502, 504):
                assert answer.ran is Ran.UNKNOWN, kind
