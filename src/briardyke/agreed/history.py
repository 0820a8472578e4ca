"""Keep configuration versions, the outcomes of operator requests and audit records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from result import Err, Ok, Result

from briardyke.agreed.audit import AuditRecord, pack_record, unpack_record
from briardyke.agreed.commands import (
    CommandRefused,
    PatchAccepted,
    PatchConfiguration,
    refuse,
)
from briardyke.agreed.merge_patch import MAX_DEPTH, content_digest, exceeds_max_depth, merge_patch
from briardyke.agreed.validation import check_document
from briardyke.errors import ErrorKind
from briardyke.wire.codec import encode

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from briardyke.agreed.configuration import Configuration
    from briardyke.agreed.feasibility import FeasibilityChecker

DAY_MS = 24 * 60 * 60 * 1000
# A document is sent in one frame (at most 16 MiB), and 64 versions of it are kept in memory.
MAX_DOCUMENT_BYTES = 2 * 1024 * 1024
MAX_REASONS = 200
MAX_REQUEST_ID_LENGTH = 128


@attrs.frozen
class Retention:
    """Limit what the history keeps; all members of a group must use the same values.

    :param max_versions: configuration versions kept in full.
    :param max_outcomes: operator requests whose outcome is kept.
    :param max_outcome_age_ms: time for which an outcome is kept, in milliseconds.
    :param max_outcome_bytes: total size of the kept outcomes.
    :param max_audit_records: audit records in the replicated state.
    :param max_audit_bytes: total size of these records.
    :param audit_batch_records: records that are moved to the audit log with one sync to disk.
    """

    max_versions: int = 64
    max_outcomes: int = 200_000
    max_outcome_age_ms: int = DAY_MS
    max_outcome_bytes: int = 64 * 1024 * 1024
    max_audit_records: int = 100_000
    max_audit_bytes: int = 64 * 1024 * 1024
    audit_batch_records: int = 100


@attrs.frozen
class KeptOutcome:
    """Keep the first outcome of an operator request.

    :param digest: hash of the base version and the patch.
    :param outcome: encoded outcome.
    :param wall_ms: wall time when it was decided, in milliseconds since the Unix epoch.
    """

    digest: str
    outcome: bytes
    wall_ms: int


class ConfigurationHistory:
    """Apply patches, and keep the versions, outcomes and audit records that they produce."""

    def __init__(
        self,
        retention: Retention,
        audit_sink: Callable[[Sequence[AuditRecord]], None] | None = None,
    ) -> None:
        """Start at version 0 with an empty document.

        :param retention: limits on what is kept.
        :param audit_sink: receives audit records that are evicted from the replicated state.
        """
        self.version = 0
        self.versions: dict[int, dict[str, Any]] = {0: {}}
        self.configuration: Configuration | None = None
        self.audit: dict[int, bytes] = {}
        self._next_audit_number = 1
        self._audit_bytes = 0
        self._outcomes: dict[str, KeptOutcome] = {}
        self._outcome_bytes = 0
        # Leaders' clocks differ; keeping the latest timestamp prevents time from going backwards.
        self._latest_wall_ms = 0
        self._retention = retention
        self._audit_sink = audit_sink

    def patch(self, command: PatchConfiguration, feasibility: FeasibilityChecker) -> bytes:
        """Apply a patch, or return the first outcome if the request is a retry.

        :param command: the command.
        :param feasibility: checker against the registered upstreams.
        :return: the encoded outcome.
        """
        self._latest_wall_ms = max(self._latest_wall_ms, command.wall_unix_ms)
        self._expire_outcomes()
        if exceeds_max_depth(command.patch):
            text = f"patch is nested deeper than {MAX_DEPTH} levels"
            return encode(refuse(ErrorKind.MALFORMED_REQUEST, text, "patch"))
        if not 0 < len(command.request_id) <= MAX_REQUEST_ID_LENGTH:
            text = "request id is empty or too long"
            return encode(refuse(ErrorKind.FIELD_INVALID, text, "request_id"))
        digest = content_digest([command.base_version, command.patch])
        kept = self._outcomes.get(command.request_id)
        if kept is not None:
            if kept.digest == digest:
                return kept.outcome
            text = "request id was used for a different patch"
            return encode(refuse(ErrorKind.KEY_REUSED, text, "request_id"))
        result = self._apply_patch(command, feasibility)
        outcome = encode(result.unwrap_or_else(lambda refusal: refusal))
        self._keep_outcome(command.request_id, KeptOutcome(digest, outcome, self._latest_wall_ms))
        self._append_audit_record(command, result)
        return outcome

    def _apply_patch(
        self, command: PatchConfiguration, feasibility: FeasibilityChecker
    ) -> Result[PatchAccepted, CommandRefused]:
        if command.base_version != self.version:
            text = f"version {command.base_version} is not current; {self.version} is"
            refusal = refuse(ErrorKind.VERSION_CONFLICT, text, "base_version")
            return Err(attrs.evolve(refusal, current_version=self.version))
        document = merge_patch(self.versions[self.version], command.patch)
        validated = check_document(document, feasibility)
        reasons = validated.err() or ()
        if not reasons and len(msgpack.packb(document)) > MAX_DOCUMENT_BYTES:
            reasons = (f"document: is over {MAX_DOCUMENT_BYTES} bytes",)
        if reasons:
            text = f"{len(reasons)} reason(s): {reasons[0]}"
            refusal = refuse(ErrorKind.CONFIGURATION_INVALID, text, reasons[0].partition(":")[0])
            return Err(
                attrs.evolve(refusal, reasons=_truncate(reasons), current_version=self.version)
            )
        self.version += 1
        self.configuration = validated.unwrap()
        self.versions[self.version] = document
        self.versions.pop(self.version - self._retention.max_versions, None)
        return Ok(PatchAccepted(self.version))

    def _keep_outcome(self, request_id: str, kept: KeptOutcome) -> None:
        self._outcomes[request_id] = kept
        self._outcome_bytes += len(kept.outcome)
        while (
            len(self._outcomes) > self._retention.max_outcomes
            or self._outcome_bytes > self._retention.max_outcome_bytes
        ):
            self._drop_oldest_outcome()

    def _expire_outcomes(self) -> None:
        cutoff_ms = self._latest_wall_ms - self._retention.max_outcome_age_ms
        while self._outcomes and next(iter(self._outcomes.values())).wall_ms <= cutoff_ms:
            self._drop_oldest_outcome()

    def _drop_oldest_outcome(self) -> None:
        kept = self._outcomes.pop(next(iter(self._outcomes)))
        self._outcome_bytes -= len(kept.outcome)

    def _append_audit_record(
        self,
        command: PatchConfiguration,
        result: Result[PatchAccepted, CommandRefused],
    ) -> None:
        refusal = result.err()
        record = AuditRecord(
            number=self._next_audit_number,
            request_id=command.request_id,
            operator=command.operator,
            wall_unix_ms=command.wall_unix_ms,
            from_version=command.base_version,
            to_version=None if refusal else self.version,
            patch=command.patch,
            refused=refusal.kind if refusal else "",
            reasons=(refusal.reasons or [refusal.message]) if refusal else [],
        )
        self._next_audit_number += 1
        packed = pack_record(record)
        self.audit[record.number] = packed
        self._audit_bytes += len(packed)
        if (
            len(self.audit)
            >= self._retention.max_audit_records + self._retention.audit_batch_records
            or self._audit_bytes > self._retention.max_audit_bytes
        ):
            self._evict_audit_records()

    def _evict_audit_records(self) -> None:
        evicted = []
        while (
            len(self.audit) > self._retention.max_audit_records
            or self._audit_bytes > self._retention.max_audit_bytes
        ):
            packed = self.audit.pop(next(iter(self.audit)))
            self._audit_bytes -= len(packed)
            evicted.append(unpack_record(packed))
        if self._audit_sink is not None:
            self._audit_sink(evicted)

    def dump(self) -> dict[str, Any]:
        """Return the history as plain values for a snapshot."""
        return {
            "version": self.version,
            "versions": self.versions,
            "audit": list(self.audit.values()),
            "next_audit": self._next_audit_number,
            "outcomes": {i: [k.digest, k.outcome, k.wall_ms] for i, k in self._outcomes.items()},
            "wall_ms": self._latest_wall_ms,
        }

    def load(self, values: dict[str, Any]) -> None:
        """Replace the history with the output of :meth:`dump`."""
        self.version = values["version"]
        self.configuration = None
        self.versions = values["versions"]
        self._next_audit_number = values["next_audit"]
        first_number = self._next_audit_number - len(values["audit"])
        self.audit = dict(enumerate(values["audit"], first_number))
        self._audit_bytes = sum(map(len, values["audit"]))
        self._outcomes = {i: KeptOutcome(*kept) for i, kept in values["outcomes"].items()}
        self._outcome_bytes = sum(len(k.outcome) for k in self._outcomes.values())
        self._latest_wall_ms = values["wall_ms"]


def _truncate(reasons: tuple[str, ...]) -> list[str]:
    if len(reasons) <= MAX_REASONS:
        return list(reasons)
    return [*reasons[:MAX_REASONS], f"and {len(reasons) - MAX_REASONS} more"]
