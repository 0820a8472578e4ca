"""Test that a claimed request runs at most once, with retries, crashes and restarts."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from briardyke.claims.machine import (
    RETENTION_MS,
    ApplyClaimEnd,
    ApplyClaimRequest,
    ClaimLimits,
    ClaimMachine,
)
from briardyke.wire.codec import decode, encode
from briardyke.wire.messages import ClaimEnd, ClaimRequest

MAX_CLAIMS = 3
KEYS = st.integers(0, 4)
MINUTE_MS = 60_000


@attrs.define
class Attempt:
    """Attempt of one sender; a crash can remove it at any time."""

    name: str
    key: int
    granted: bool = False
    ran: bool = False


class ClaimRaces(RuleBasedStateMachine):
    """Guards against a second run of a request, and against lost claims in a full group.

    ``live`` holds when the claim of each key last changed, and ``runs`` how often its request ran.
    Attempts end long before the retention time, because requests have deadlines.
    """

    def __init__(self) -> None:
        super().__init__()
        self.machine = ClaimMachine(ClaimLimits(MAX_CLAIMS))
        self.snapshot = self.machine.snapshot()
        self.log: list[bytes] = []
        self.wall_ms = 0
        self.attempt_count = 0
        self.live: dict[int, int] = {}
        self.runs: dict[int, int] = {}
        self.attempts: list[Attempt] = []

    def apply(self, command: object) -> str:
        self.log.append(encode(command))
        return decode(self.machine.apply(len(self.log), self.log[-1])).unwrap().state

    def request(self, attempt: Attempt) -> str:
        request = ClaimRequest(attempt.key, "shop", "d", attempt.name)
        return self.apply(ApplyClaimRequest(request, self.wall_ms))

    def report(self, attempt: Attempt, outcome: str) -> str:
        end = ClaimEnd(attempt.key, "shop", attempt.name, outcome, b"x")
        return self.apply(ApplyClaimEnd(end, self.wall_ms))

    def pick(self, data: st.DataObject, granted: bool) -> Attempt | None:
        found = [a for a in self.attempts if a.granted is granted]
        return found[data.draw(st.integers(0, len(found) - 1))] if found else None

    @rule(key=KEYS)
    def send(self, key: int) -> None:
        self.attempt_count += 1
        attempt = Attempt(f"a{self.attempt_count}", key)
        state = self.request(attempt)
        if key in self.live:
            assert state in ("running", "completed", "unknown")
        elif len(self.live) >= MAX_CLAIMS:
            assert state == "full"
        else:
            assert state == "granted"
            attempt.granted = True
            self.live[key] = self.wall_ms
            self.runs[key] = 0
        self.attempts.append(attempt)

    @rule(data=st.data())
    def retry_after_a_lost_reply(self, data: st.DataObject) -> None:
        attempt = self.pick(data, granted=True)
        if attempt is not None:
            assert self.request(attempt) in ("granted", "unknown")

    @rule(data=st.data())
    def run(self, data: st.DataObject) -> None:
        attempt = self.pick(data, granted=True)
        if attempt is not None and not attempt.ran:
            attempt.ran = True
            self.runs[attempt.key] += 1
            assert self.runs[attempt.key] == 1

    @rule(data=st.data(), known=st.booleans(), copies=st.integers(1, 2))
    def finish(self, data: st.DataObject, known: bool, copies: int) -> None:
        attempt = self.pick(data, granted=True)
        if attempt is None:
            return
        self.attempts.remove(attempt)
        outcome = ("completed" if known else "unknown") if attempt.ran else "not_run"
        for _ in range(copies):
            assert self.report(attempt, outcome) == "ended"
        if attempt.ran:
            self.live[attempt.key] = self.wall_ms
        else:
            del self.live[attempt.key]

    @rule(data=st.data())
    def crash(self, data: st.DataObject) -> None:
        attempt = self.pick(data, granted=True)
        if attempt is not None:
            self.attempts.remove(attempt)

    @rule(data=st.data(), outcome=st.sampled_from(["not_run", "completed", "unknown"]))
    def end_by_an_attempt_without_the_claim(self, data: st.DataObject, outcome: str) -> None:
        attempt = self.pick(data, granted=False)
        if attempt is not None and attempt.key in self.live:
            assert self.report(attempt, outcome) != "ended"

    @rule(minutes=st.sampled_from([1, 11]))
    def wait(self, minutes: int) -> None:
        self.wall_ms += minutes * MINUTE_MS

    @rule(part=st.sampled_from([2, 1]))
    def wait_long(self, part: int) -> None:
        self.attempts.clear()
        self.wall_ms += RETENTION_MS // part
        self.live = {k: at for k, at in self.live.items() if self.wall_ms - at < RETENTION_MS}

    @rule(key=KEYS, attempt=st.integers(1, 50))
    def claim_with_an_earlier_leader_clock(self, key: int, attempt: int) -> None:
        if key in self.live:
            request = ClaimRequest(key, "shop", "d", f"late{attempt}")
            assert self.apply(ApplyClaimRequest(request, 0)) != "granted"

    @rule()
    def restart(self) -> None:
        restarted = ClaimMachine(ClaimLimits(MAX_CLAIMS))
        restarted.restore(self.snapshot)
        for index, command in enumerate(self.log, 1):
            restarted.apply(index, command)
        assert restarted.snapshot() == self.machine.snapshot()
        self.machine, self.snapshot = restarted, restarted.snapshot()
        self.log.clear()


TestClaimRaces = ClaimRaces.TestCase
TestClaimRaces.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
