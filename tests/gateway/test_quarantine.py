"""Tests of requests whose prompts contain a part that crashes engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio
from gateway_support import STREAM_HEAD, event

from briardyke.clock import now_ms
from briardyke.gateway.crash_detection import CrashDetector
from briardyke.gateway.quarantine import CONTROL_LOST_MS, QuarantineGate, SharedVerdicts
from briardyke.quarantine.records import PartState, PartVerdict, is_fingerprint

if TYPE_CHECKING:
    from gateway_support import Gateway, Reply, ScriptedUpstream

    from briardyke.addresses import Address

DEADLY = "first:9,deadly:9,own-%d:9"
# An engine reads the prompt before it crashes.
_PROMPT_S = 0.06
SOUND = "first:9,sound:9,own-%d:9"


@attrs.define
class FakeControl:
    """Verdicts of control instances and their answers to requests for a trial."""

    shared: SharedVerdicts = attrs.field(factory=SharedVerdicts)
    grants: int = 0

    def current(self) -> SharedVerdicts:
        return self.shared

    async def request_trial(self, part: str) -> bool:
        self.grants -= 1
        return self.grants >= 0

    def publish(self, state: PartState, next_trial_ms: float = 60_000.0) -> None:
        row = PartVerdict("deadly", 1, 1, state, 0, now_ms() + next_trial_ms)
        self.shared = SharedVerdicts({"deadly": row}, now_ms())


async def is_crashed(address: Address) -> bool:
    return True


async def respond(upstream: ScriptedUpstream, stream: trio.SocketStream, request_id: bytes) -> None:
    """End the process for requests named after the deadly part, else respond."""
    if request_id.startswith(b"d"):
        await trio.sleep(_PROMPT_S)
        await trio.aclose_forcefully(stream)
        return
    await stream.send_all(STREAM_HEAD % request_id + event(1) + b"0\r\n\r\n")


@pytest.fixture
def control(gateway: Gateway) -> FakeControl:
    control = FakeControl()
    gate = QuarantineGate("entry-1", control.current, control.request_trial)
    gate.detector = CrashDetector(is_crashed)
    gateway.state.quarantine = gate
    return control


async def send_deadly(gateway: Gateway, number: int) -> Reply:
    return await gateway.send("/chat/x", f"d-{number}", "m", prefix=DEADLY % number)


async def send_sound(gateway: Gateway, number: int) -> Reply:
    return await gateway.send("/chat/x", f"s-{number}", "m", prefix=SOUND % number)


class TestCrashingRequests:
    """Guards against requests of one kind that crash engines one after the other."""

    async def test_entry_instance_without_control_stops_after_three_crashes(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        for _ in range(6):
            await gateway.add("pool", respond)
        engines = list(gateway.rows.values())
        for number in range(6):
            # Each crashed engine returns as another process.
            gateway.rows = {
                row.upstream_id: attrs.evolve(row, incarnation=number + 1) for row in engines
            }
            gateway.state.upstreams.update(gateway.rows, {})
            deadly = await send_deadly(gateway, number)
            assert (await send_sound(gateway, number)).is_complete
            await trio.sleep(0.15)
        crashes = [c for c in gateway.state.quarantine.crash_reports() if c.parts]
        assert len(crashes) <= 4
        assert deadly.status == 503
        assert float(deadly.headers[b"retry-after"]) >= 1.0

    async def test_quarantined_part_is_rejected_at_once_and_its_first_part_is_served(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        upstream = await gateway.add("pool", respond)
        control.publish(PartState.QUARANTINED)
        assert (await send_deadly(gateway, 1)).status == 503
        assert (await send_sound(gateway, 1)).is_complete
        assert upstream.requests == [b"s-1"]

    async def test_request_that_waits_when_its_part_is_quarantined_is_not_sent(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        replies = []

        async def send() -> None:
            replies.append(await send_deadly(gateway, 1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.1)
            control.publish(PartState.QUARANTINED)
            upstream = await gateway.add("pool", respond)
            gateway.state.changed.notify()
        assert replies[0].status == 503
        assert upstream.requests == []

    async def test_crashed_request_with_a_suspected_part_is_not_repeated(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        upstreams = [await gateway.add("pool", respond) for _ in range(2)]
        control.publish(PartState.SUSPECTED)
        assert (await send_deadly(gateway, 1)).status == 502
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    async def test_trial_is_sent_only_with_the_leaders_consent(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        upstream = await gateway.add("pool", respond)
        control.publish(PartState.QUARANTINED, next_trial_ms=-1.0)
        control.grants = 1
        statuses = [(await send_deadly(gateway, number)).status for number in range(3)]
        assert statuses == [502, 503, 503]
        assert upstream.requests == [b"d-0"]


class TestReports:
    """Covers what control instances learn."""

    async def test_report_names_waiting_parts_with_their_last_responses(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        await gateway.add("pool", respond)
        control.publish(PartState.SUSPECTED)
        await send_sound(gateway, 1)
        await send_deadly(gateway, 1)
        (report,) = gateway.state.quarantine.crash_reports()
        ages = {waiting.part: waiting.sound_age_ms for waiting in report.parts}
        (fingerprint,) = (part for part in ages if is_fingerprint(part))
        assert ages.keys() == {"first", "deadly", fingerprint}
        assert ages[fingerprint] is None
        assert ages["first"] is not None and 0 <= ages["first"] < 1000
        assert ages["deadly"] is None
        assert gateway.state.quarantine.sound_ages_ms() == {}

    async def test_response_before_a_verdict_is_not_reported_as_a_response_to_it(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        """A report that is delayed on its way would end the quarantine."""
        await gateway.add("pool", respond)
        await gateway.send("/chat/x", "s-1", "m", prefix=DEADLY % 1)
        control.publish(PartState.QUARANTINED, next_trial_ms=-1.0)
        control.shared = attrs.evolve(control.shared, since_ms={"deadly": now_ms()})
        assert gateway.state.quarantine.sound_ages_ms() == {}
        control.grants = 1
        assert (await gateway.send("/chat/x", "s-2", "m", prefix=DEADLY % 2)).is_complete
        assert gateway.state.quarantine.sound_ages_ms().keys() == {"deadly"}

    async def test_own_observations_do_not_count_while_control_is_reached(
        self, gateway: Gateway, control: FakeControl
    ) -> None:
        control.shared = SharedVerdicts({}, now_ms() + CONTROL_LOST_MS)
        for _ in range(2):
            await gateway.add("pool", respond)
        for number in range(4):
            await send_deadly(gateway, number)
        assert (await send_deadly(gateway, 9)).status == 502
