"""Check concurrent patches, resent patches and restarts against a simple model."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from briardyke.agreed.commands import PatchAccepted, PatchConfiguration
from briardyke.agreed.history import DAY_MS
from briardyke.agreed.machine import ControlMachine
from briardyke.wire.codec import decode, encode

CALLERS = st.sampled_from(["shop", "club", "farm"])
KEYS = {"shop": "0" * 64, "club": "1" * 64, "farm": "2" * 64}


class PatchRaces(RuleBasedStateMachine):
    """Guards against lost updates, double application and versions that go back.

    The model keeps the weight of each caller, the current version, and the first outcome of each
    request id.
    """

    def __init__(self) -> None:
        super().__init__()
        self.machine = ControlMachine()
        self.log: list[bytes] = []
        self.snapshot, self.snapshot_index = self.machine.snapshot(), 0
        self.wall_ms = 0
        self.version = 0
        self.weights: dict[str, float] = {}
        self.first_outcomes: dict[str, tuple[PatchConfiguration, bytes, int]] = {}

    def submit(self, command: PatchConfiguration) -> bytes:
        self.log.append(encode(command))
        return self.machine.apply(len(self.log), self.log[-1])

    @rule(
        name=CALLERS,
        weight=st.sampled_from([None, -1.0, 0.0, 1.0, 2.0]),
        versions_behind=st.integers(-1, 2),
    )
    def patch(self, name: str, weight: float | None, versions_behind: int) -> None:
        fields = None if weight is None else {"api_key_sha256": KEYS[name], "weight": weight}
        request_id = f"r{len(self.log)}"
        command = PatchConfiguration(
            request_id,
            "ada",
            self.version - versions_behind,
            {"callers": {name: fields}},
            self.wall_ms,
        )
        self.submit_and_check(command, name, weight)

    def submit_and_check(
        self, command: PatchConfiguration, name: str, weight: float | None
    ) -> None:
        encoded = self.submit(command)
        outcome = decode(encoded).unwrap()
        if command.base_version != self.version:
            assert outcome.kind == "version_conflict"
            assert outcome.current_version == self.version
        elif weight is not None and weight <= 0:
            assert outcome.kind == "configuration_invalid"
        else:
            self.version += 1
            assert outcome == PatchAccepted(self.version)
            self.weights.pop(name, None)
            if weight is not None:
                self.weights[name] = weight
        self.first_outcomes[command.request_id] = (command, encoded, self.wall_ms)

    @precondition(lambda self: self.first_outcomes)
    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.first_outcomes)))
        command, first_outcome, decided_ms = self.first_outcomes[request_id]
        command = attrs.evolve(command, wall_unix_ms=self.wall_ms)
        if self.wall_ms - decided_ms < DAY_MS:
            assert self.submit(command) == first_outcome
            return
        ((name, fields),) = command.patch["callers"].items()
        self.submit_and_check(command, name, fields and fields["weight"])

    @rule(hours=st.sampled_from([1, 13, 24]))
    def wait(self, hours: int) -> None:
        self.wall_ms += hours * DAY_MS // 24

    @rule()
    def take_snapshot(self) -> None:
        self.snapshot, self.snapshot_index = self.machine.snapshot(), len(self.log)

    @rule()
    def restart(self) -> None:
        restarted = ControlMachine()
        restarted.restore(self.snapshot)
        for index in range(self.snapshot_index, len(self.log)):
            restarted.apply(index + 1, self.log[index])
        assert restarted.snapshot() == self.machine.snapshot()
        self.machine = restarted

    @invariant()
    def state_equals_the_model(self) -> None:
        projection = self.machine.projection
        assert projection.version == self.version
        callers = projection.configuration.callers
        assert {name: c.weight for name, c in callers.items()} == self.weights


TestPatchRaces = PatchRaces.TestCase
TestPatchRaces.settings = settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=30
)
