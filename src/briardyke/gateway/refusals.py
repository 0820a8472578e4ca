"""Tell a caller when to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.errors import Ran

if TYPE_CHECKING:
    import random

    from briardyke.errors import Failure
    from briardyke.http.exchange import Headers

# Without a better estimate, callers come back when a plain service has finished what it runs.
DEFAULT_RETRY_MS = 250.0
# Callers that were refused together must not return together.
_SPREAD = 0.5


def retry_after_s(failure: Failure, random: random.Random) -> float | None:
    """Return the time after which to ask again, or ``None`` where that is not promised.

    Load: a burst that is refused at once would come back at once, so the times are spread.
    """
    if failure.answer.ran is not Ran.NO or not failure.answer.retryable:
        return None
    base_ms = failure.retry_after_ms
    wait_ms = DEFAULT_RETRY_MS if base_ms is None else float(base_ms)
    return wait_ms * random.uniform(1.0, 1.0 + _SPREAD) / 1000.0


def refusal_headers(request_id: str, failure: Failure, wait_s: float | None) -> Headers:
    """Return the headers of an answer of our own."""
    headers = [(b"x-error-kind", failure.kind.value.encode("ascii"))]
    if wait_s is not None:
        headers.append((b"retry-after", b"%.3f" % wait_s))
    return headers
