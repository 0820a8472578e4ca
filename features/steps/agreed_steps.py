"""Implement the steps about the replicated state of the control group."""

from __future__ import annotations

import json
from typing import Any

import attrs
from behave import given, then, when

from briardyke.agreed.commands import (
    CommandRefused,
    EndReservation,
    PatchConfiguration,
    RegisterUpstream,
    ReserveMemory,
)
from briardyke.agreed.machine import ControlMachine
from briardyke.wire.codec import decode, encode


def apply(context: Any, command: Any) -> None:
    if not hasattr(context, "machine"):
        context.machine, context.index, context.first_outcomes = ControlMachine(), 0, {}
    context.index += 1
    context.outcome = decode(context.machine.apply(context.index, encode(command))).unwrap()


def patch(context: Any, operator: str, base: int, request_id: str, document: Any) -> None:
    apply(context, PatchConfiguration(request_id, operator, base, document, 0))
    context.first_outcomes.setdefault(request_id, context.outcome)


@given('an engine "{name}" with {capacity:d} bytes that {support} fencing tokens')
def register_engine(context: Any, name: str, capacity: int, support: str) -> None:
    context.engine = RegisterUpstream(name, "i1", "engine", capacity, support == "checks")
    apply(context, context.engine)


@given('a caller "{name}" in version 1')
def add_caller(context: Any, name: str) -> None:
    patch(context, "ada", 0, "r1", {"callers": {name: {"api_key_sha256": "0" * 64}}})


@when(
    '"{operator}" patches version {base:d} as "{request_id}"'
    ' setting the weight of "{name}" to {weight:d}'
)
def patch_weight(
    context: Any, operator: str, base: int, request_id: str, name: str, weight: int
) -> None:
    patch(context, operator, base, request_id, {"callers": {name: {"weight": weight}}})


@when('"{operator}" sends this patch against version {base:d} as "{request_id}":')
def patch_document(context: Any, operator: str, base: int, request_id: str) -> None:
    patch(context, operator, base, request_id, json.loads(context.text))


@when("the state machine restarts from a snapshot")
def restart(context: Any) -> None:
    snapshot = context.machine.snapshot()
    context.machine = ControlMachine()
    context.machine.restore(snapshot)


@given('{size:d} bytes of "{name}" are reserved for "{item}" with token {token:d}')
@when('{size:d} bytes of "{name}" are reserved for "{item}" with token {token:d}')
def reserve(context: Any, size: int, name: str, item: str, token: int) -> None:
    apply(context, ReserveMemory(name, "i1", item, size, f"o{token}", token))


@when('the reservation of "{item}" on "{name}" ends with token {token:d}')
def end_reservation(context: Any, item: str, name: str, token: int) -> None:
    apply(context, EndReservation(name, "i1", item, token))


@when('"{name}" returns as a new incarnation')
def register_new_incarnation(context: Any, name: str) -> None:
    apply(context, attrs.evolve(context.engine, incarnation="i2"))


@then('the outcome is the first outcome of "{request_id}"')
def check_first_outcome(context: Any, request_id: str) -> None:
    assert context.outcome == context.first_outcomes[request_id], context.outcome


@then("the outcome is {expected:w}")
def check_outcome(context: Any, expected: str) -> None:
    refused = isinstance(context.outcome, CommandRefused)
    assert (context.outcome.kind if refused else "accepted") == expected, context.outcome


@then("the current version is {version:d}")
def check_version(context: Any, version: int) -> None:
    assert context.machine.projection.version == version


@then("the reasons are:")
def check_reasons(context: Any) -> None:
    expected = [row["reason"] for row in context.table]
    assert context.outcome.reasons == expected, context.outcome.reasons


@then('the audit trail ends with a refused patch of "{operator}" from version {base:d}')
def check_audit(context: Any, operator: str, base: int) -> None:
    (record,) = context.machine.audit_records(1)
    assert (record.operator, record.from_version, record.to_version) == (operator, base, None)
    assert record.reasons == context.outcome.reasons


@then('{reserved:d} bytes of "{name}" are reserved')
def check_reserved_bytes(context: Any, reserved: int, name: str) -> None:
    assert context.machine.reserved_bytes(name) == reserved
