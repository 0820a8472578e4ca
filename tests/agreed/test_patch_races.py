"""Check racing patches, resends and restarts against a simple oracle."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from briardyke.agreed.commands import PatchAccepted, PatchConfiguration
from briardyke.agreed.history import DAY_MS
from briardyke.agreed.machine import ControlMachine
from briardyke.wire.codec import decode, encode

NAMES = st.sampled_from(["shop", "club", "farm"])
KEYS = {"shop": "0" * 64, "club": "1" * 64, "farm": "2" * 64}


class PatchRaces(RuleBasedStateMachine):
    """Guards against lost updates, double application and versions that go back.

    The oracle keeps one weight for each caller, the current number, and what each request id was
    first told.
    """

    def __init__(self) -> None:
        super().__init__()
        self.machine = ControlMachine()
        self.log: list[bytes] = []
        self.snapshot, self.snapshot_index = self.machine.snapshot(), 0
        self.wall = 0
        self.version = 0
        self.weights: dict[str, float] = {}
        self.first: dict[str, tuple[PatchConfiguration, bytes, int]] = {}

    def submit(self, command: PatchConfiguration) -> bytes:
        self.log.append(encode(command))
        return self.machine.apply(len(self.log), self.log[-1])

    @rule(name=NAMES, weight=st.sampled_from([None, -1.0, 0.0, 1.0, 2.0]), lag=st.integers(-1, 2))
    def patch(self, name: str, weight: float | None, lag: int) -> None:
        fields = None if weight is None else {"api_key_sha256": KEYS[name], "weight": weight}
        request_id = f"r{len(self.log)}"
        command = PatchConfiguration(
            request_id, "ada", self.version - lag, {"callers": {name: fields}}, self.wall
        )
        self.decide(command, name, weight)

    def decide(self, command: PatchConfiguration, name: str, weight: float | None) -> None:
        raw = self.submit(command)
        outcome = decode(raw).unwrap()
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
        self.first[command.request_id] = (command, raw, self.wall)

    @precondition(lambda self: self.first)
    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.first)))
        command, raw, decided = self.first[request_id]
        command = attrs.evolve(command, wall_unix_ms=self.wall)
        if self.wall - decided < DAY_MS:
            assert self.submit(command) == raw
            return
        ((name, fields),) = command.patch["callers"].items()
        self.decide(command, name, fields and fields["weight"])

    @rule(hours=st.sampled_from([1, 13, 24]))
    def wait(self, hours: int) -> None:
        self.wall += hours * DAY_MS // 24

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
    def state_is_as_the_oracle_says(self) -> None:
        projection = self.machine.projection
        assert projection.version == self.version
        callers = projection.configuration.callers
        assert {name: c.weight for name, c in callers.items()} == self.weights


TestPatchRaces = PatchRaces.TestCase
TestPatchRaces.settings = settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=30
)
