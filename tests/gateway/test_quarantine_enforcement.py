"""Tests of quarantined parts that still reach engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import STREAM_HEAD, event

from briardyke.clock import now_ms
from briardyke.gateway.crash_detection import CrashDetector
from briardyke.gateway.dialect import RequestMetadata
from briardyke.gateway.quarantine import QuarantineGate, SharedVerdicts
from briardyke.quarantine.records import PartState, PartVerdict

if TYPE_CHECKING:
    from gateway_support import Gateway, ScriptedUpstream

    from briardyke.addresses import Address

BOTH = "first:9,deadly:9,own:9"


@attrs.define
class FakeControl:
    """Verdicts of control instances, which grant every trial."""

    shared: SharedVerdicts = attrs.field(factory=SharedVerdicts)
    trials: int = 0

    def current(self) -> SharedVerdicts:
        return self.shared

    async def request_trial(self, part: str) -> bool:
        await trio.lowlevel.checkpoint()
        self.trials += 1
        return True

    def publish(self, **next_trial_ms: float) -> None:
        rows = {
            part: PartVerdict(part, 1, 1, PartState.QUARANTINED, 0, now_ms() + next_ms)
            for part, next_ms in next_trial_ms.items()
        }
        self.shared = SharedVerdicts(rows, now_ms())


async def is_crashed(address: Address) -> bool:
    await trio.lowlevel.checkpoint()
    return True


async def respond(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await stream.send_all(STREAM_HEAD % request_id + event(1) + b"0\r\n\r\n")


async def crash(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    await trio.aclose_forcefully(stream)


async def begin_and_crash(
    upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
) -> None:
    await stream.send_all(STREAM_HEAD % request_id)
    await trio.aclose_forcefully(stream)


@pytest.fixture
def control(gateway: Gateway) -> FakeControl:
    control = FakeControl()
    gate = QuarantineGate("entry-1", control.current, control.request_trial)
    gate.detector = CrashDetector(is_crashed)
    gateway.state.quarantine = gate
    return control


class TestTrial:
    """Covers requests that may test a quarantined part."""

    async def test_request_without_an_upstream_does_not_use_up_the_trial(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """Guards against the next trial being minutes away although none took place."""
        control.publish(deadly=-1.0)
        assert (await gateway.send("/chat/x", "d-1", "m", prefix=BOTH)).status == 503
        assert control.trials == 0
        await gateway.add("pool", respond)
        assert (await gateway.send("/chat/x", "d-2", "m", prefix=BOTH)).status == 200
        assert control.trials == 1


class TestBypass:
    """Guards against requests that reach an engine although their part is quarantined."""

    async def test_trial_of_one_part_is_no_trial_of_another(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """Guards against a trial of a part that sends a request with a second quarantined part."""
        upstream = await gateway.add("pool", respond)
        control.publish(first=-1.0, deadly=60_000.0)
        assert (await gateway.send("/chat/x", "d-1", "m", prefix=BOTH)).status == 503
        assert upstream.requests == []

    async def test_crashed_stream_that_waits_when_its_part_is_quarantined_is_not_resumed(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """Guards against resuming a stream whose part was quarantined while it waited."""
        await gateway.add("pool", begin_and_crash)
        replies = []

        async def send() -> None:
            replies.append(await gateway.send("/chat/x", "d-1", "m", prefix=BOTH))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.3)
            control.publish(deadly=60_000.0)
            second = await gateway.add("pool", crash)
            gateway.state.changed.notify()
        assert second.requests == []
        assert replies[0].status == 502

    async def test_suspected_part_is_quarantined_by_own_crashes_without_control(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """Guards against a suspicion that keeps an instance without control from a quarantine."""
        suspected = PartVerdict("deadly", 1, 1, PartState.SUSPECTED)
        control.shared = SharedVerdicts({"deadly": suspected}, now_ms() - 60_000.0)
        for _ in range(6):
            await gateway.add("pool", crash)
        sound = await gateway.add("pool", respond)
        engines = [row for row in gateway.rows.values() if row.address != str(sound.address)]
        (answering,) = (row for row in gateway.rows.values() if row.address == str(sound.address))
        statuses = []
        for number, row in enumerate(engines):
            gateway.state.upstreams.update({row.upstream_id: row}, {})
            reply = await gateway.send("/chat/x", f"d-{number}", "m", prefix=BOTH)
            statuses.append(reply.status)
            gateway.state.upstreams.update({answering.upstream_id: answering}, {})
            other = await gateway.send("/chat/x", f"s-{number}", "m", prefix="first:9,own:9")
            assert other.status == 200
            await trio.sleep(0.15)
        assert statuses[-1] == 503

    async def test_stream_at_its_deadline_is_not_held_by_a_check_of_its_upstream(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """Guards against checking for a crash although the connection has not ended."""
        checks: list[Address] = []

        async def check(address: Address) -> bool:
            checks.append(address)
            await trio.sleep(0.25)  # a host that does not reply
            return False

        async def never(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id)
            await trio.sleep(30)

        gateway.state.quarantine.detector = CrashDetector(check)
        await gateway.add("pool", never)
        with trio.fail_after(9):
            await gateway.send("/chat/x", "s-1", "m", prefix=BOTH)
        assert checks == []

    async def test_stream_with_events_is_not_resumed_once_its_part_is_quarantined(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """Guards against streams that began before a part crashed engines and crash another one."""

        async def break_off(
            upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes
        ) -> None:
            await stream.send_all(STREAM_HEAD % request_id + event(1))
            await trio.sleep(0.3)
            await trio.aclose_forcefully(stream)

        upstreams = [await gateway.add("pool", break_off) for _ in range(2)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.send, "/chat/x", "d-1", "m", BOTH)
            await trio.sleep(0.15)
            control.publish(deadly=60_000.0)
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    async def test_crash_is_noticed_when_the_request_that_checks_for_it_is_cancelled(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """Guards against a caller that leaves during the check and hides the crash from others."""
        await gateway.add("pool", respond)
        (row,) = gateway.rows.values()

        async def check(address: Address) -> bool:
            await trio.sleep(0.05)
            return True

        detector = CrashDetector(check)
        first, second = (
            RequestMetadata("r-1", None),
            RequestMetadata("r-2", None, prefix_ids=("deadly", "own")),
        )
        async with trio.open_nursery() as nursery:
            leaving = trio.CancelScope()

            async def leave() -> None:
                with leaving:
                    await detector.investigate(row, first)

            nursery.start_soon(leave)
            await trio.sleep(0.02)
            nursery.start_soon(detector.investigate, row, second)
            await trio.sleep(0.01)
            leaving.cancel()
        assert [crash.depths for crash in detector.recent()] == [{"deadly": 0}]
