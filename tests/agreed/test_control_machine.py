"""Check the control group's state machine."""

from __future__ import annotations

import os
from typing import Any

import attrs
import pytest

from briardyke.agreed.audit import AuditLog, AuditRecord, pack_record
from briardyke.agreed.commands import (
    CommandRefused,
    EndReservation,
    ForgetUpstream,
    PatchAccepted,
    PatchConfiguration,
    RegisterUpstream,
    ReservationEnded,
    ReserveMemory,
    replace_wall_time,
)
from briardyke.agreed.history import DAY_MS, Retention
from briardyke.agreed.machine import ControlMachine
from briardyke.agreed.merge_patch import merge_patch
from briardyke.agreed.projection import Projection
from briardyke.errors import ErrorKind
from briardyke.wire.codec import decode, encode
from briardyke.wire.messages import ClaimReply

KEY = "0" * 64


class Driver:
    """Apply commands to a state machine with consecutive log indexes."""

    def __init__(self, **arguments: Any) -> None:
        self.machine = ControlMachine(**arguments)
        self.index = 0

    def apply(self, command: Any) -> Any:
        self.index += 1
        return decode(self.machine.apply(self.index, encode(command))).unwrap()

    def patch(self, request_id: str, base: int, patch: dict[str, Any], wall_ms: int = 0) -> Any:
        return self.apply(PatchConfiguration(request_id, "ada", base, patch, wall_ms))


def caller(weight: float) -> dict[str, Any]:
    return {"callers": {"shop": {"api_key_sha256": KEY, "weight": weight}}}


def engine(incarnation: str, fencing: bool = True, capacity: int = 100) -> RegisterUpstream:
    return RegisterUpstream("e1", incarnation, "engine", capacity, fencing)


def reserve(item: str, size: int, token: int, incarnation: str = "i1") -> ReserveMemory:
    return ReserveMemory("e1", incarnation, item, size, f"o{token}", token)


class TestPatches:
    """Guards against lost updates, patches applied twice and retries with a different outcome."""

    def test_only_a_patch_against_the_current_version_is_accepted(self) -> None:
        driver = Driver()
        assert driver.patch("r1", 0, caller(1)) == PatchAccepted(1)
        refused = driver.patch("r2", 0, caller(2))
        assert (refused.kind, refused.current_version) == ("version_conflict", 1)
        assert driver.machine.projection.configuration.callers["shop"].weight == 1

    def test_a_retry_gets_the_first_outcome_even_when_it_would_now_be_accepted(self) -> None:
        driver = Driver()
        patch = {"services": {"s": {"instances": ["s-*"]}}}
        refused = driver.patch("r1", 0, patch)
        driver.apply(RegisterUpstream("s-1", "i", "service", 0, True))
        assert driver.patch("r1", 0, patch, wall_ms=DAY_MS - 1) == refused
        assert driver.patch("r2", 0, patch) == PatchAccepted(1)

    def test_a_request_id_cannot_be_reused_for_another_patch(self) -> None:
        driver = Driver()
        driver.patch("r1", 0, caller(1))
        assert driver.patch("r1", 1, caller(2)).kind == "key_reused"
        assert driver.machine.projection.version == 1

    @pytest.mark.parametrize(
        ("retention", "wall_ms"),
        [
            (Retention(), DAY_MS),
            (Retention(max_outcomes=1), 0),
            (Retention(max_outcome_bytes=1), 0),
        ],
    )
    def test_outcomes_are_dropped_by_age_count_and_size(
        self, retention: Retention, wall_ms: int
    ) -> None:
        driver = Driver(retention=retention)
        driver.patch("r1", 0, caller(1))
        driver.patch("r2", 1, caller(2), wall_ms)
        assert driver.patch("r1", 0, caller(1), wall_ms).kind == "version_conflict"

    def test_old_versions_are_dropped(self) -> None:
        driver = Driver()
        for base in range(70):
            driver.patch(f"r{base}", base, caller(base + 1))
        kept = [v for v in range(71) if driver.machine.document(v) is not None]
        assert kept == list(range(7, 71))

    def test_a_deeply_nested_patch_and_an_unreadable_command_change_nothing(self) -> None:
        driver = Driver()
        nested: dict[str, Any] = {}
        for _ in range(200):
            nested = {"models": nested}
        assert driver.patch("r1", 0, nested).kind == "malformed_request"
        for command in (b"", b"\xff\xff", encode(ClaimReply("full"))):
            outcome = decode(driver.machine.apply(9, command)).unwrap()
            assert outcome.kind == "protocol_violation"
        assert driver.machine.projection.version == 0

    def test_the_leader_replaces_the_senders_wall_time(self) -> None:
        command = PatchConfiguration("r", "ada", 0, {}, 1)
        assert decode(replace_wall_time(encode(command), 7)).unwrap() == attrs.evolve(
            command, wall_unix_ms=7
        )
        assert replace_wall_time(encode(engine("i1")), 7) == encode(engine("i1"))

    @pytest.mark.parametrize(
        ("target", "patch", "expected"),
        [
            ({"a": "b"}, {"a": None, "b": [1]}, {"b": [1]}),
            ({"a": [1]}, {"a": {"b": {"c": None}}}, {"a": {"b": {}}}),
            ({"a": {"b": 1, "c": 2}}, {"a": {"b": None}}, {"a": {"c": 2}}),
            ("text", {"a": 1}, {"a": 1}),
        ],
    )
    def test_merge_patches_follow_rfc_7396(self, target: Any, patch: Any, expected: Any) -> None:
        assert merge_patch(target, patch) == expected


class TestUpstreamsAndPatches:
    """Guards against a cached feasibility check that is used after the upstreams have changed."""

    def test_a_patch_is_checked_against_the_current_upstreams(self) -> None:
        driver = Driver()
        models = {"models": {"m": {"size_bytes": 60, "instances": ["e*"]}}}
        steps: list[tuple[Any, str]] = [
            (engine("i1", capacity=50), "configuration_invalid"),
            (engine("i2", capacity=60), ""),
            (engine("i3", capacity=59), "configuration_invalid"),
            (engine("i4"), ""),
            (ForgetUpstream("e1", "i4"), "configuration_invalid"),
            (engine("i4"), ""),
            (attrs.evolve(engine("i5"), kind="service"), "configuration_invalid"),
        ]
        for number, (command, expected) in enumerate(steps):
            driver.apply(command)
            restored = ControlMachine()
            restored.restore(driver.machine.snapshot())
            base = driver.machine.projection.version
            outcome = driver.patch(f"r{number}", base, models)
            assert getattr(outcome, "kind", "") == expected
            command_bytes = encode(PatchConfiguration(f"r{number}", "ada", base, models, 0))
            assert decode(restored.apply(driver.index, command_bytes)).unwrap() == outcome


class TestMemory:
    """Guards against reservations beyond the capacity of an engine."""

    def test_reserved_memory_never_exceeds_the_capacity(self) -> None:
        driver = Driver()
        driver.apply(engine("i1"))
        driver.apply(reserve("m1", 60, 1))
        assert driver.apply(reserve("m2", 41, 2)).kind == "memory_exhausted"
        assert not isinstance(driver.apply(reserve("m2", 40, 3)), CommandRefused)

    def test_an_item_is_counted_once_with_its_largest_size(self) -> None:
        driver = Driver()
        driver.apply(engine("i1"))
        for size, token in ((60, 1), (100, 2), (10, 3)):
            driver.apply(reserve("m1", size, token))
        assert driver.machine.reserved_bytes("e1") == 100
        reservation = driver.machine.projection.reservations["e1", "m1"]
        assert (reservation.order_id, reservation.fencing_token) == ("o3", 3)
        assert driver.apply(reserve("m1", 10, 2)).kind == "fenced"

    @pytest.mark.parametrize(
        ("fencing", "token", "expected"), [(True, 6, 0), (True, 5, 60), (False, 6, 60)]
    )
    def test_memory_is_freed_only_if_no_earlier_order_can_be_executed(
        self, fencing: bool, token: int, expected: int
    ) -> None:
        driver = Driver()
        driver.apply(engine("i1", fencing))
        driver.apply(reserve("m1", 60, 5))
        outcome = driver.apply(EndReservation("e1", "i1", "m1", token))
        assert driver.machine.reserved_bytes("e1") == expected
        assert (outcome == ReservationEnded(True)) == (expected == 0)

    def test_a_new_incarnation_ends_reservations_of_the_old_one_and_fences_it(self) -> None:
        driver = Driver()
        driver.apply(engine("i1", fencing=False))
        driver.apply(reserve("m1", 60, 1))
        driver.apply(engine("i2", fencing=False))
        assert driver.machine.reserved_bytes("e1") == 0
        for late in (
            reserve("m1", 1, 9),
            EndReservation("e1", "i1", "m1", 9),
            ForgetUpstream("e1", "i1"),
            engine("i1", fencing=False),
        ):
            assert driver.apply(late).kind == "fenced"
        assert driver.machine.projection.upstreams["e1"].incarnation == "i2"

    def test_a_removed_incarnation_gets_its_reservations_back_when_it_registers_again(self) -> None:
        driver = Driver()
        driver.apply(engine("i1", fencing=False))
        driver.apply(reserve("m1", 60, 1))
        driver.apply(ForgetUpstream("e1", "i1"))
        assert not driver.machine.projection.upstreams
        driver.machine.restore(driver.machine.snapshot())
        driver.apply(engine("i1", fencing=False))
        assert driver.machine.reserved_bytes("e1") == 60

    @pytest.mark.parametrize(
        "command",
        [
            engine("i1", fencing=False),
            engine("i1", capacity=200),
            attrs.evolve(engine("i2"), kind="tool"),
            attrs.evolve(engine("i2"), upstream_id=""),
            engine("i2", capacity=-1),
            reserve("m1", -1, 1),
        ],
    )
    def test_invalid_registrations_and_sizes_are_refused(self, command: Any) -> None:
        driver = Driver()
        driver.apply(engine("i1"))
        before = driver.machine.projection.upstreams["e1"]
        assert driver.apply(command).kind == "field_invalid"
        assert driver.machine.projection.upstreams["e1"] == before


class TestSnapshots:
    """Guards against members whose states differ after one has restarted."""

    def test_a_restored_machine_has_an_equal_state_and_applies_commands_alike(self) -> None:
        driver, other = Driver(), ControlMachine()
        driver.apply(engine("i1"))
        driver.apply(reserve("m1", 60, 1))
        driver.patch("r1", 0, caller(2))
        driver.patch("r2", 0, caller(3))
        projection = other.projection
        other.restore(driver.machine.snapshot())
        assert other.snapshot() == driver.machine.snapshot()
        assert projection.configuration.callers["shop"].weight == 2
        assert (projection.version, projection.applied_index) == (1, 4)
        command = encode(reserve("m2", 41, 2))
        assert other.apply(5, command) == driver.machine.apply(5, command)
        with pytest.raises(ValueError, match="schema"):
            other.restore(driver.machine.snapshot().replace(b"\xa6schema\x01", b"\xa6schema\x02"))


class TestAudit:
    """Guards against patches without an audit record, also after many patches and restarts."""

    def test_accepted_and_refused_patches_are_recorded(self) -> None:
        driver = Driver()
        driver.patch("r1", 0, caller(1), wall_ms=5)
        driver.patch("r2", 1, {"callers": {"shop": {"weight": -1}}}, wall_ms=6)
        refused, accepted = driver.machine.audit_records(10)
        assert (accepted.operator, accepted.wall_unix_ms) == ("ada", 5)
        assert (accepted.from_version, accepted.to_version, accepted.patch) == (0, 1, caller(1))
        assert (refused.to_version, refused.refused) == (None, "configuration_invalid")
        assert refused.reasons == ["callers.shop.weight: must not be negative"]
        assert driver.machine.audit_records(10, before=2) == [accepted]

    def test_old_records_are_moved_to_the_file_exactly_once_across_restarts(
        self, tmp_path: Any
    ) -> None:
        retention = Retention(max_audit_records=3, audit_batch_records=2)
        audit_log = AuditLog(tmp_path)
        driver = Driver(audit_sink=audit_log.append, retention=retention)
        initial = driver.machine.snapshot()
        commands = [PatchConfiguration(f"r{n}", "ada", n, caller(n + 1), n) for n in range(10)]
        for command in commands:
            driver.apply(command)
        audit_log.close()
        with audit_log.path.open("ab") as file:
            file.write(b'{"number": 99')  # incomplete line, as a crash during a write leaves it
        reopened = AuditLog(tmp_path)
        replay = Driver(audit_sink=reopened.append, retention=retention)
        replay.machine.restore(initial)
        for command in commands:
            replay.apply(command)
        reopened.close()
        numbers = [int(line.split(b":")[1].split(b",")[0]) for line in audit_log.path.open("rb")]
        kept = [record.number for record in replay.machine.audit_records(10)]
        assert numbers + kept[::-1] == list(range(1, 11))

    def test_the_size_of_the_records_in_the_state_is_bounded(self) -> None:
        evicted: list[AuditRecord] = []
        driver = Driver(audit_sink=evicted.extend, retention=Retention(max_audit_bytes=400))
        for base in range(10):
            driver.patch(f"r{base}", base, caller(1))
        kept = driver.machine.audit_records(10)
        assert sum(len(pack_record(record)) for record in kept) <= 400
        assert kept and evicted
        assert len(kept) + len(evicted) == 10

    def test_append_syncs_records_to_disk_before_it_returns(
        self, tmp_path: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        log = AuditLog(tmp_path)
        synced_sizes: list[int] = []
        monkeypatch.setattr(os, "fsync", lambda fd: synced_sizes.append(os.fstat(fd).st_size))
        log.append([AuditRecord(1, "r1", "ada", 0, 0, 1, {})])
        assert synced_sizes == [log.path.stat().st_size]
        log.close()


class TestProjection:
    """Guards against going back to an older version or adopting an unreadable one."""

    def test_only_newer_readable_versions_are_adopted(self) -> None:
        projection = Projection()
        assert projection.accept(2, caller(2)).unwrap() is True
        adopted = projection.configuration
        assert projection.accept(2, caller(2)).unwrap() is False
        assert projection.accept(1, caller(1)).unwrap() is False
        assert projection.configuration is adopted
        failure = projection.accept(3, {"later": {}}).unwrap_err()
        assert failure.kind is ErrorKind.PROTOCOL_MISMATCH
        assert (projection.version, projection.configuration) == (2, adopted)
