"""Decide from the result of an attempt whether the request may have run and may be retried."""

from __future__ import annotations

import json

import attrs

from briardyke.errors import ErrorKind, Failure, Ran
from briardyke.policy.types import AttemptOutcome

_FIRST_SERVER_ERROR_STATUS = 500


@attrs.frozen
class AttemptResult:
    """Result of an attempt.

    :param outcome: outcome for the routing table.
    :param failure: what went wrong; ``None`` after a complete response.
    :param may_have_run: whether the upstream can have run the request.
    :param retryable: whether another attempt can succeed.
    """

    outcome: AttemptOutcome
    failure: Failure | None = None
    may_have_run: bool = True
    retryable: bool = True


def interrupted_result(failure: Failure) -> AttemptResult:
    """Return the result of an attempt whose connection failed or timed out.

    :param failure: its kind is ``upstream_unreachable`` only when no byte can have been sent.
    """
    if failure.kind is ErrorKind.UPSTREAM_UNREACHABLE:
        return AttemptResult(AttemptOutcome.UNREACHABLE, failure, may_have_run=False)
    return AttemptResult(AttemptOutcome.FAILED, failure)


def refusal_result(status: int, body: bytes) -> AttemptResult | None:
    """Return the result of an attempt that the upstream reports as not run.

    :param status: HTTP status code.
    :param body: bytes of the body.
    :return: ``None`` when the body does not state ``ran`` as ``no``.
    """
    if status < 400:
        return None
    try:
        error = json.loads(body)["error"]
        ran, retryable = error["ran"], bool(error["retryable"])
        kind, message = ErrorKind(error["kind"]), str(error["message"])
        field = str(error.get("field", ""))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    if ran != Ran.NO.value:
        return None
    failure = Failure(kind, message, field)
    if failure.answer.ran is not Ran.NO:
        failure = Failure(ErrorKind.UPSTREAM_REFUSED, message, field)
    return AttemptResult(AttemptOutcome.REFUSED, failure, may_have_run=False, retryable=retryable)


def error_status_result(status: int, body: bytes) -> AttemptResult:
    """Return the result of an attempt whose response had an error status."""
    failure = Failure(ErrorKind.UPSTREAM_FAILED, f"upstream responded with status {status}")
    refusal = refusal_result(status, body)
    retryable = status >= _FIRST_SERVER_ERROR_STATUS
    return refusal or AttemptResult(AttemptOutcome.FAILED, failure, retryable=retryable)


def final_failure(failure: Failure, *, may_have_run: bool, tokens: int = 0) -> Failure:
    """Return the failure to report after the last attempt.

    A kind that means "not run" is kept only when no attempt can have run.

    :param failure: the last failure.
    :param may_have_run: whether any attempt can have run.
    :param tokens: tokens that were delivered to the caller.
    """
    if tokens:
        text = f"response ended after {tokens} tokens: {failure.message}"
        return Failure(ErrorKind.ANSWER_TRUNCATED, text)
    if not may_have_run or failure.answer.ran is not Ran.NO:
        return failure
    if failure.kind is ErrorKind.DEADLINE_UNMEETABLE:
        return Failure(
            ErrorKind.DEADLINE_EXCEEDED, "deadline passed after an attempt that may have run"
        )
    text = f"an earlier attempt may have run; last failure: {failure.message}"
    return Failure(ErrorKind.UPSTREAM_FAILED, text)
