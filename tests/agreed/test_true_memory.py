"""Check the memory rules against engines that run orders late, twice and out of order."""

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
ITEMS = st.sampled_from(["m1", "m2", "m3"])


@attrs.frozen
class Order:
    """An order that has been sent; the network may deliver it at any time, any number of times."""

    item: str
    size: int
    token: int
    unload: bool = False


@attrs.define
class Engine:
    """Count the true memory of one engine process."""

    fencing: bool
    incarnation: int = 0
    highest_token: int = 0
    loaded: dict[str, int] = attrs.field(factory=dict)
    sent: list[Order] = attrs.field(factory=list)

    def run(self, order: Order) -> bool:
        if self.fencing and order.token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, order.token)
        if order.unload:
            self.loaded.pop(order.item, None)
        else:
            self.loaded[order.item] = order.size
        return True


class TrueMemory(RuleBasedStateMachine):
    """Guards against reservations that allow more true memory than an engine has."""

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

    @rule(name=ENGINES, item=ITEMS, size=st.integers(1, 7))
    def order_load(self, name: str, item: str, size: int) -> None:
        engine = self.engines[name]
        self.token += 1
        command = ReserveMemory(
            name, str(engine.incarnation), item, size, f"o{self.token}", self.token
        )
        if self.apply(command) == "":
            engine.sent.append(Order(item, size, self.token))

    @rule(name=ENGINES, item=ITEMS)
    def order_unload(self, name: str, item: str) -> None:
        self.token += 1
        self.engines[name].sent.append(Order(item, 0, self.token, unload=True))

    @rule(name=ENGINES, data=st.data())
    def deliver(self, name: str, data: st.DataObject) -> None:
        engine = self.engines[name]
        if not engine.sent:
            return
        order = data.draw(st.sampled_from(engine.sent))
        if engine.run(order) and order.unload:
            self.apply(EndReservation(name, str(engine.incarnation), order.item, order.token))

    @rule(name=ENGINES)
    def replace_process(self, name: str) -> None:
        engine = self.engines[name]
        self.engines[name] = Engine(engine.fencing, engine.incarnation + 1)
        self.register(name)
        assert self.machine.held_bytes(name) == 0

    @precondition(lambda self: any(e.incarnation for e in self.engines.values()))
    @rule(name=ENGINES, item=ITEMS, end=st.booleans())
    def late_command_of_an_old_incarnation(self, name: str, item: str, end: bool) -> None:
        engine = self.engines[name]
        if engine.incarnation == 0:
            return
        old, held = str(engine.incarnation - 1), self.machine.held_bytes(name)
        token = self.token + 1
        late = ReserveMemory(name, old, item, 1, "late", token)
        assert self.apply(EndReservation(name, old, item, token) if end else late) == "fenced"
        assert self.machine.held_bytes(name) == held

    @rule()
    def restart_control(self) -> None:
        restarted = ControlMachine()
        restarted.restore(self.machine.snapshot())
        self.machine = restarted

    @invariant()
    def true_memory_fits(self) -> None:
        for name, engine in self.engines.items():
            assert sum(engine.loaded.values()) <= CAPACITY
            assert sum(engine.loaded.values()) <= self.machine.held_bytes(name) <= CAPACITY


TestTrueMemory = TrueMemory.TestCase
TestTrueMemory.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
