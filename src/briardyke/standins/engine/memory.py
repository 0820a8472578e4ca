"""Count accelerator memory and execute load and unload orders, without I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure
from briardyke.wire.messages import LoadedItem

if TYPE_CHECKING:
    from collections.abc import Callable

_KEPT_ENDED_ORDERS = 64


@attrs.frozen
class MemorySettings:
    """Describe memory and the duration of changes.

    :param capacity_bytes: accelerator memory.
    :param store_bytes_per_second: speed at which a model is loaded.
    :param adapter_max_bytes: items up to this size are adapters.
    :param adapter_load_ms: time to load an adapter.
    :param unload_ms: time to unload an item.
    :param checks_fencing: refuse orders with an old fencing token or another incarnation.
    :param checks_memory: refuse loads beyond the capacity.
    """

    capacity_bytes: int
    store_bytes_per_second: float
    adapter_max_bytes: int
    adapter_load_ms: float
    unload_ms: float
    checks_fencing: bool
    checks_memory: bool


@attrs.frozen
class Order:
    """Ask an engine to load or unload an item; fields as in the HTTP body."""

    order_id: str
    fencing_token: int
    incarnation: str
    kind: str
    item: str
    size_bytes: int


def parse_order(body: dict[str, Any]) -> Result[Order, Failure]:
    """Return the order in a request body, or a failure that names the bad field."""
    for field in attrs.fields(Order):
        expected = int if field.name in ("fencing_token", "size_bytes") else str
        value = body.get(field.name, 0 if field.name == "size_bytes" else None)
        if type(value) is not expected:
            text = f"{field.name} must be of type {expected.__name__}"
            return Err(Failure(ErrorKind.FIELD_INVALID, text, field.name))
    if body["kind"] not in ("load", "unload") or body.get("size_bytes", 0) < 0:
        text = "kind must be load or unload and size_bytes at least 0"
        return Err(Failure(ErrorKind.FIELD_INVALID, text, "kind"))
    return Ok(Order(**{f.name: body.get(f.name, 0) for f in attrs.fields(Order)}))


@attrs.define
class _Item:
    name: str
    size_bytes: int
    order_id: str
    state: str
    change_at_ms: float = 0.0


class AcceleratorMemory:
    """Hold the items that occupy memory; loading and unloading ones count in full."""

    def __init__(self, settings: MemorySettings, incarnation: str) -> None:
        """Start empty.

        :param settings: sizes, durations and checks.
        :param incarnation: identity of this engine process.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._items: dict[str, _Item] = {}
        self.ended_order_ids: deque[str] = deque(maxlen=_KEPT_ENDED_ORDERS)
        self.highest_fencing_token = 0
        self.overcommitted = 0
        self.peak_bytes = 0
        self.executed: list[str] = []

    @property
    def committed_bytes(self) -> int:
        """Return the memory in use."""
        return sum(item.size_bytes for item in self._items.values())

    def preload(self, name: str, size_bytes: int) -> None:
        """Put an item into memory at the start."""
        self._items[name] = _Item(name, size_bytes, "", "loaded")
        self.peak_bytes = max(self.peak_bytes, self.committed_bytes)

    def loaded(self, name: str) -> bool:
        """Return whether new requests can use an item."""
        return name in self._items and self._items[name].state == "loaded"

    def items(self) -> list[LoadedItem]:
        """Return all items that occupy memory."""
        return [LoadedItem(i.name, i.size_bytes, i.order_id, i.state) for i in self._items.values()]

    def take(self, order: Order, now_ms: float) -> Result[None, Failure]:
        """Execute an order.

        :param order: the order.
        :param now_ms: current time.
        :return: ``fenced`` or ``memory_exhausted`` when it was refused.
        """
        if self._settings.checks_fencing:
            if order.incarnation != self._incarnation:
                return Err(Failure(ErrorKind.FENCED, "order is for another incarnation"))
            if order.fencing_token < self.highest_fencing_token:
                text = f"fencing token {order.fencing_token} < {self.highest_fencing_token}"
                return Err(Failure(ErrorKind.FENCED, text, "fencing_token"))
        taken = self._load(order, now_ms) if order.kind == "load" else self._unload(order, now_ms)
        if taken.is_ok():
            self.highest_fencing_token = max(self.highest_fencing_token, order.fencing_token)
            self.executed.append(order.order_id)
        return taken

    def _load(self, order: Order, now_ms: float) -> Result[None, Failure]:
        present = self._items.get(order.item)
        if present is not None:
            if present.state == "unloading":
                return Err(Failure(ErrorKind.MEMORY_EXHAUSTED, "item is being unloaded", "item"))
            present.order_id = order.order_id
            return Ok(None)
        if self.committed_bytes + order.size_bytes > self._settings.capacity_bytes:
            if self._settings.checks_memory:
                text = f"{order.size_bytes} bytes do not fit beside {self.committed_bytes}"
                return Err(Failure(ErrorKind.MEMORY_EXHAUSTED, text, "size_bytes"))
            self.overcommitted += 1
        ready_at_ms = now_ms + self._load_ms(order.size_bytes)
        item = _Item(order.item, order.size_bytes, order.order_id, "loading", ready_at_ms)
        self._items[order.item] = item
        self.peak_bytes = max(self.peak_bytes, self.committed_bytes)
        return Ok(None)

    def _load_ms(self, size_bytes: int) -> float:
        if size_bytes <= self._settings.adapter_max_bytes:
            return self._settings.adapter_load_ms
        return size_bytes / self._settings.store_bytes_per_second * 1000.0

    def _unload(self, order: Order, now_ms: float) -> Result[None, Failure]:
        item = self._items.get(order.item)
        if item is None:
            if order.order_id not in self.ended_order_ids:
                self.ended_order_ids.append(order.order_id)
            return Ok(None)
        if item.state != "unloading":
            item.state = "unloading"
            item.change_at_ms = now_ms + self._settings.unload_ms
        item.order_id = order.order_id
        return Ok(None)

    def tick(self, now_ms: float, in_use: Callable[[str], bool]) -> None:
        """Complete the changes that are due.

        :param now_ms: current time.
        :param in_use: tells whether a request still runs on an item, which delays its unload.
        """
        for item in list(self._items.values()):
            if item.state == "loading" and now_ms >= item.change_at_ms:
                item.state = "loaded"
                continue
            due = item.state == "unloading" and now_ms >= item.change_at_ms
            if due and not in_use(item.name):
                del self._items[item.name]
                self.ended_order_ids.append(item.order_id)
