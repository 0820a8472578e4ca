"""Define the closed list of error kinds and the answer that belongs to each kind."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


class Ran(Enum):
    """State whether the request behind an error was run by an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """List every error kind that a process reports to a caller, operator or peer."""

    MALFORMED_REQUEST = "malformed_request"
    FIELD_INVALID = "field_invalid"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    VERSION_CONFLICT = "version_conflict"
    VERSION_MISSING = "version_missing"
    CONFIGURATION_INVALID = "configuration_invalid"
    KEY_REUSED = "key_reused"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    VERSION_UNCONFIRMED = "version_unconfirmed"
    DRAINING = "draining"
    MISDIRECTED = "misdirected"
    NO_UPSTREAM = "no_upstream"
    MODEL_LOADING = "model_loading"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_LIMITED = "upstream_limited"
    UPSTREAM_FAILED = "upstream_failed"
    ANSWER_TRUNCATED = "answer_truncated"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIMS_FULL = "claims_full"
    FENCED = "fenced"
    MEMORY_EXHAUSTED = "memory_exhausted"
    NOT_LEADER = "not_leader"
    NO_MAJORITY = "no_majority"
    MEMBER_CHANGE_REFUSED = "member_change_refused"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_TIMEOUT = "peer_timeout"
    PEER_SILENT = "peer_silent"
    PROTOCOL_MISMATCH = "protocol_mismatch"
    PROTOCOL_VIOLATION = "protocol_violation"
    LOG_CORRUPT = "log_corrupt"
    STORAGE_FAILED = "storage_failed"
    SETTINGS_INVALID = "settings_invalid"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """Describe how an error kind is reported to a caller.

    :param http_status: HTTP status code.
    :param retryable: whether sending the same request again can succeed.
    :param ran: whether an upstream ran the request.
    """

    http_status: int
    retryable: bool
    ran: Ran


ANSWERS: Mapping[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(400, False, Ran.NO),
    ErrorKind.FIELD_INVALID: Answer(400, False, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: Answer(413, False, Ran.NO),
    ErrorKind.BODY_TIMEOUT: Answer(408, True, Ran.NO),
    ErrorKind.UNAUTHENTICATED: Answer(401, False, Ran.NO),
    ErrorKind.NOT_FOUND: Answer(404, False, Ran.NO),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, False, Ran.NO),
    ErrorKind.UNKNOWN_MODEL: Answer(404, False, Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, False, Ran.NO),
    ErrorKind.VERSION_CONFLICT: Answer(412, False, Ran.NO),
    ErrorKind.VERSION_MISSING: Answer(428, False, Ran.NO),
    ErrorKind.CONFIGURATION_INVALID: Answer(422, False, Ran.NO),
    ErrorKind.KEY_REUSED: Answer(422, False, Ran.NO),
    ErrorKind.RATE_LIMITED: Answer(429, True, Ran.NO),
    ErrorKind.CONCURRENCY_LIMITED: Answer(429, True, Ran.NO),
    ErrorKind.OVERLOADED: Answer(503, True, Ran.NO),
    ErrorKind.DEADLINE_UNMEETABLE: Answer(503, True, Ran.NO),
    ErrorKind.VERSION_UNCONFIRMED: Answer(503, True, Ran.NO),
    ErrorKind.DRAINING: Answer(503, True, Ran.NO),
    ErrorKind.MISDIRECTED: Answer(421, True, Ran.NO),
    ErrorKind.NO_UPSTREAM: Answer(503, True, Ran.NO),
    ErrorKind.MODEL_LOADING: Answer(503, True, Ran.NO),
    ErrorKind.PROMPT_QUARANTINED: Answer(503, True, Ran.NO),
    ErrorKind.REQUEST_QUARANTINED: Answer(503, True, Ran.NO),
    ErrorKind.STREAM_NOT_RESUMABLE: Answer(503, False, Ran.NO),
    ErrorKind.UPSTREAM_UNREACHABLE: Answer(503, True, Ran.NO),
    ErrorKind.UPSTREAM_REFUSED: Answer(503, True, Ran.NO),
    ErrorKind.UPSTREAM_LIMITED: Answer(503, True, Ran.NO),
    ErrorKind.UPSTREAM_FAILED: Answer(502, False, Ran.UNKNOWN),
    ErrorKind.ANSWER_TRUNCATED: Answer(502, False, Ran.UNKNOWN),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, False, Ran.UNKNOWN),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, False, Ran.UNKNOWN),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, True, Ran.NO),
    ErrorKind.CLAIMS_FULL: Answer(503, True, Ran.NO),
    ErrorKind.FENCED: Answer(409, False, Ran.NO),
    ErrorKind.MEMORY_EXHAUSTED: Answer(409, False, Ran.NO),
    ErrorKind.NOT_LEADER: Answer(503, True, Ran.NO),
    ErrorKind.NO_MAJORITY: Answer(503, True, Ran.NO),
    ErrorKind.MEMBER_CHANGE_REFUSED: Answer(409, False, Ran.NO),
    ErrorKind.PEER_UNREACHABLE: Answer(503, True, Ran.NO),
    ErrorKind.PEER_TIMEOUT: Answer(504, True, Ran.UNKNOWN),
    ErrorKind.PEER_SILENT: Answer(504, True, Ran.UNKNOWN),
    ErrorKind.PROTOCOL_MISMATCH: Answer(400, False, Ran.NO),
    ErrorKind.PROTOCOL_VIOLATION: Answer(400, False, Ran.NO),
    ErrorKind.LOG_CORRUPT: Answer(500, False, Ran.NO),
    ErrorKind.STORAGE_FAILED: Answer(500, False, Ran.UNKNOWN),
    ErrorKind.SETTINGS_INVALID: Answer(500, False, Ran.NO),
    ErrorKind.INTERNAL: Answer(500, False, Ran.UNKNOWN),
}


@attrs.frozen
class Failure:
    """Carry one error with the place that it belongs to.

    :param kind: the error kind; its answer is found in :data:`ANSWERS`.
    :param message: one sentence for the reader of the answer.
    :param field: name of the offending input field, empty when none applies.
    :param retry_after_ms: earliest useful retry, in milliseconds.
    :param reasons: all reasons, when a check found more than one.
    """

    kind: ErrorKind
    message: str
    field: str = ""
    retry_after_ms: int | None = None
    reasons: tuple[str, ...] = ()

    @property
    def answer(self) -> Answer:
        """Return the answer that belongs to this failure's kind."""
        return ANSWERS[self.kind]
