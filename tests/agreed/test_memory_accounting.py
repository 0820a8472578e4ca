"""Check reservations against engines that execute orders late, twice and out of order."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from briardyke.agreed.commands import EndReservation, RegisterUpstream, ReserveMemory
from briardyke.agreed.machine import ControlMachine
from briardyke.wire.codec import decode, encode

CAPACITY = 10
ENGINES = st.sampled_from(["fencing", "ignoring"])
ITEMS = st.sampled_from(["m1", "m2"])


@attrs.frozen
class Order:
    """A sent order, which the network may deliver at any time and any number of times."""

    item: str
    size: int
    token: int
    unload: bool = False


@attrs.define
class Engine:
    """Track the memory that one engine process actually uses."""

    fencing: bool
    incarnation: int = 0
    highest_token: int = 0
    loaded: dict[str, int] = attrs.field(factory=dict)
    sent: list[Order] = attrs.field(factory=list)

    def execute(self, order: Order) -> bool:
        if self.fencing and order.token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, order.token)
        if order.unload:
            self.loaded.pop(order.item, None)
        else:
            self.loaded[order.item] = order.size
        return True


class MemoryAccounting(RuleBasedStateMachine):
    """Guards against reservations that let an engine load more than its memory holds.

    This happens when memory is freed while an earlier load order can still be executed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.machine = ControlMachine()
        self.index = 0
        self.token = 0
        self.engines = {"fencing": Engine(True), "ignoring": Engine(False)}
        for name in self.engines:
            self.register(name)

    def apply(self, command: object) -> str:
        self.index += 1
        outcome = decode(self.machine.apply(self.index, encode(command))).unwrap()
        return getattr(outcome, "kind", "")

    def register(self, name: str) -> None:
        engine = self.engines[name]
        command = RegisterUpstream(
            name, str(engine.incarnation), "engine", CAPACITY, engine.fencing
        )
        assert self.apply(command) == ""

    @rule(name=ENGINES, item=ITEMS, sizes=st.lists(st.integers(0, 7), min_size=1, max_size=3))
    def order(self, name: str, item: str, sizes: list[int]) -> None:
        """Send load orders of these sizes; size 0 sends an unload order."""
        engine = self.engines[name]
        for size in sizes:
            self.token += 1
            reservation = ReserveMemory(
                name, str(engine.incarnation), item, size, f"o{self.token}", self.token
            )
            if size == 0 or self.apply(reservation) == "":
                engine.sent.append(Order(item, size, self.token, unload=size == 0))

    @rule(offsets=st.lists(st.integers(0, 5), min_size=1, max_size=6))
    def deliver(self, offsets: list[int]) -> None:
        for offset in offsets:
            for name, engine in self.engines.items():
                self.deliver_one(name, engine, offset)

    def deliver_one(self, name: str, engine: Engine, offset: int) -> None:
        if offset < len(engine.sent):
            order = engine.sent[-1 - offset]
            if engine.execute(order) and order.unload:
                self.apply(EndReservation(name, str(engine.incarnation), order.item, order.token))
            self.used_memory_is_reserved()

    @precondition(lambda self: any(len(e.sent) > 5 for e in self.engines.values()))
    @rule()
    def replace_engine_with_most_orders(self) -> None:
        # Replacing a process that was sent few orders would not exercise late orders.
        name = max(self.engines, key=lambda n: (len(self.engines[n].sent), n))
        engine = self.engines[name]
        self.engines[name] = Engine(engine.fencing, engine.incarnation + 1)
        self.register(name)
        assert self.machine.reserved_bytes(name) == 0

    @precondition(lambda self: any(e.incarnation for e in self.engines.values()))
    @rule(name=ENGINES, item=ITEMS, end=st.booleans())
    def late_command_of_old_incarnation(self, name: str, item: str, end: bool) -> None:
        engine = self.engines[name]
        if engine.incarnation == 0:
            return
        old, reserved = str(engine.incarnation - 1), self.machine.reserved_bytes(name)
        token = self.token + 1
        late = ReserveMemory(name, old, item, 1, "late", token)
        assert self.apply(EndReservation(name, old, item, token) if end else late) == "fenced"
        assert self.machine.reserved_bytes(name) == reserved

    @rule()
    def restart_control(self) -> None:
        restarted = ControlMachine()
        restarted.restore(self.machine.snapshot())
        self.machine = restarted

    @invariant()
    def used_memory_is_reserved(self) -> None:
        for name, engine in self.engines.items():
            assert sum(engine.loaded.values()) <= CAPACITY
            assert sum(engine.loaded.values()) <= self.machine.reserved_bytes(name) <= CAPACITY


TestMemoryAccounting = MemoryAccounting.TestCase
TestMemoryAccounting.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)
