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
ITEMS = st.sampled_from(["m1", "m2"])


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

    @rule(name=ENGINES, item=ITEMS, sizes=st.lists(st.integers(0, 7), min_size=1, max_size=3))
    def order(self, name: str, item: str, sizes: list[int]) -> None:
        """Order loads of these sizes; 0 orders an unload."""
        engine = self.engines[name]
        for size in sizes:
            self.token += 1
            reserve = ReserveMemory(
                name, str(engine.incarnation), item, size, f"o{self.token}", self.token
            )
            if size == 0 or self.apply(reserve) == "":
                engine.sent.append(Order(item, size, self.token, unload=size == 0))

    @rule(picks=st.lists(st.integers(0, 5), min_size=1, max_size=6))
    def deliver(self, picks: list[int]) -> None:
        for pick in picks:
            for name, engine in self.engines.items():
                self.deliver_one(name, engine, pick)

    def deliver_one(self, name: str, engine: Engine, pick: int) -> None:
        if pick < len(engine.sent):
            order = engine.sent[-1 - pick]
            if engine.run(order) and order.unload:
                self.apply(EndReservation(name, str(engine.incarnation), order.item, order.token))
            self.true_memory_fits()

    @precondition(lambda self: any(len(e.sent) > 5 for e in self.engines.values()))
    @rule()
    def replace_the_busiest_process(self) -> None:
        # A process that has received few orders is kept: replacing it would tell nothing.
        name = max(self.engines, key=lambda n: (len(self.engines[n].sent), n))
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
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)
