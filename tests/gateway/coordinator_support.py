"""Control instances as an entry instance sees them."""

from __future__ import annotations

from typing import Any

import attrs
import trio
from result import Err, Ok, Result

from briardyke.addresses import Address
from briardyke.dispatch.messages import DispatchReply, DispatchReport, DispatchRequest, Outcome
from briardyke.errors import ErrorKind, Failure

CONTROLS = [Address(f"10.0.0.{n}", 7380) for n in range(1, 10)]
PLACED, QUEUED, REJECTED = Outcome.PLACED.value, Outcome.QUEUED.value, Outcome.REJECTED.value


@attrs.define
class FakeCoordinators:
    """Control instances that reply to all requests alike.

    :param reply: reply to each request; ``None`` declines it. A function computes it.
    :param silent: instances that do not answer.
    :param lost: instances to which no connection can be opened.
    :param requests: requests received, each with its receiver.
    :param reports: reports received, each with its receiver.
    """

    reply: Any = DispatchReply(PLACED, "u0", 100.0)
    delay_s: float = 0.002
    silent: set[Address] = attrs.field(factory=set)
    lost: set[Address] = attrs.field(factory=set)
    requests: list[tuple[Address, DispatchRequest]] = attrs.field(factory=list)
    reports: list[tuple[Address, DispatchReport]] = attrs.field(factory=list)

    def client(self, address: Address) -> Any:
        return _Peer(self, address)

    @property
    def seen(self) -> list[Any]:
        """Return all observations received."""
        messages = [m for _, m in self.requests] + [m for _, m in self.reports]
        return [o for message in messages for o in message.observations]

    @property
    def cancelled(self) -> list[str]:
        """Return the ids of all cancelled requests."""
        return [i for _, report in self.reports for i in report.cancelled_ids]

    def ended(self) -> list[str]:
        """Return the ids of the requests whose end was reported."""
        return [o.request_id for o in self.seen if o.kind == "ended"]


@attrs.define
class _Peer:
    coordinators: FakeCoordinators
    address: Address

    async def call(self, message: Any, timeout_ms: float) -> Result[Any, Failure]:
        fake = self.coordinators
        if self.address in fake.lost:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, "no connection"))
        with trio.move_on_after(timeout_ms / 1000.0):
            await trio.sleep(fake.delay_s)
            fake.requests.append((self.address, message))
            if self.address in fake.silent:
                await trio.sleep_forever()
            reply = fake.reply
            if callable(reply):
                reply = await reply(message)
            await trio.sleep(fake.delay_s)
            if reply is None:
                return Err(Failure(ErrorKind.PROTOCOL_VIOLATION, "message type has no reply"))
            return Ok(reply)
        return Err(Failure(ErrorKind.PEER_TIMEOUT, "no reply"))

    def send(self, message: Any) -> None:
        if self.address not in self.coordinators.lost | self.coordinators.silent:
            self.coordinators.reports.append((self.address, message))
