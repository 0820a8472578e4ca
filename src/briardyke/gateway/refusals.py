"""Build the headers of rejections, with the time after which to retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.errors import ErrorKind, Ran

if TYPE_CHECKING:
    import random

    from briardyke.errors import Failure
    from briardyke.http.exchange import Headers

# Used without a better estimate; a plain service finishes its running requests in about this time.
DEFAULT_RETRY_AFTER_MS = 250.0
# Random extension of the delay, so that callers rejected together do not retry together.
_JITTER = 0.5


def retry_after_s(failure: Failure, random: random.Random) -> float | None:
    """Return the delay before a retry, or ``None`` if the request should not be retried.

    A burst that is rejected at once would be retried at once, so the delays are randomized.
    """
    if failure.answer.ran is not Ran.NO or not failure.answer.retryable:
        return None
    base_ms = failure.retry_after_ms
    wait_ms = DEFAULT_RETRY_AFTER_MS if base_ms is None else float(base_ms)
    return wait_ms * random.uniform(1.0, 1.0 + _JITTER) / 1000.0


def refusal_headers(request_id: str, failure: Failure, wait_s: float | None) -> Headers:
    """Return the headers of a response that the gateway generates."""
    headers = [(b"x-error-kind", failure.kind.value.encode("ascii"))]
    if failure.kind is ErrorKind.UNAUTHENTICATED:
        headers.append((b"www-authenticate", b"Bearer"))
    if wait_s is not None:
        headers.append((b"retry-after", b"%.3f" % wait_s))
    return headers
