"""Declare the engine stand-in's settings."""

from __future__ import annotations

import attrs

from briardyke.addresses import Address, parse_address
from briardyke.settings import parse_addresses, parse_boolean, parse_choice, setting
from briardyke.standins.engine.batching import BatchSpeed
from briardyke.standins.engine.memory import MemorySettings


def parse_sizes(text: str) -> dict[str, int]:
    """Parse ``name=bytes,...``.

    :raises ValueError: when an item has no name or no size.
    """
    sizes: dict[str, int] = {}
    for part in filter(None, (p.strip() for p in text.split(","))):
        name, separator, size = part.partition("=")
        if not separator or not name or not size.isdecimal():
            raise ValueError("expected <name>=<bytes>,...")
        sizes[name] = int(size)
    return sizes


@attrs.frozen
class EngineSettings:
    """Run a stand-in for a model engine."""

    listen: Address = setting("Address to listen on.", default="127.0.0.1:0", parse=parse_address)
    entry_addresses: tuple[Address, ...] = setting(
        "Entry processes to announce to.", default="", parse=parse_addresses
    )
    upstream_id: str = setting("Name of this upstream.", default="engine-1")
    incarnation: str = setting("Identity of this process; empty for a random one.", default="")
    data_centre: str = setting("Where this engine runs.", default="dc-1")
    capacity_bytes: int = setting(
        "Accelerator memory.", default="80000000000", parse=int, unit="bytes", minimum=0
    )
    loaded: dict[str, int] = setting(
        "Items in memory at the start, as name=bytes.", default="", parse=parse_sizes
    )
    tokens_per_second: float = setting(
        "Generation speed shared by the batch.", default="2500", parse=float, minimum=0.001
    )
    request_tokens_per_second: float = setting(
        "Highest generation speed of one request.", default="60", parse=float, minimum=0.001
    )
    prompt_tokens_per_second: float = setting(
        "Prompt processing speed.", default="20000", parse=float, minimum=0.001
    )
    batch_limit: int = setting("Requests in the batch.", default="64", parse=int, minimum=1)
    queue_limit: int = setting("Requests that may wait.", default="512", parse=int, minimum=0)
    prefix_cache_tokens: int = setting(
        "Size of the prefix cache.", default="200000", parse=int, unit="tokens", minimum=0
    )
    store_bytes_per_second: float = setting(
        "Speed at which models load.", default="10000000000", parse=float, minimum=1
    )
    adapter_max_bytes: int = setting(
        "Largest item that loads as an adapter.", default="1000000000", parse=int, unit="bytes"
    )
    adapter_load_ms: float = setting(
        "Time to load an adapter.", default="10", parse=float, unit="ms", minimum=0
    )
    unload_ms: float = setting(
        "Time to unload an item.", default="20", parse=float, unit="ms", minimum=0
    )
    checks_fencing: bool = setting(
        "Refuse orders with an old fencing token.", default="true", parse=parse_boolean
    )
    checks_memory: bool = setting(
        "Refuse loads beyond the capacity.", default="true", parse=parse_boolean
    )
    announce_interval_ms: float = setting(
        "Time between announcements.", default="1000", parse=float, unit="ms", minimum=10
    )
    report_lag_ms: float = setting(
        "Age of announced load figures.", default="0", parse=float, unit="ms", minimum=0
    )
    cache_event_delay_ms: float = setting(
        "Age at which cache events are announced.", default="500", parse=float, unit="ms", minimum=0
    )
    cache_event_loss: float = setting(
        "Share of cache events lost.", default="0.05", parse=float, minimum=0, maximum=1
    )
    leave_notice_ms: float = setting(
        "Time to refuse new work before exiting.", default="1000", parse=float, unit="ms", minimum=0
    )
    graceful_timeout_ms: float = setting(
        "Longest wait for running requests.", default="600000", parse=float, unit="ms", minimum=0
    )
    tick_ms: float = setting(
        "Resolution of the engine's work.", default="5", parse=float, unit="ms", minimum=0.1
    )
    allow_faults: bool = setting("Accept POST /v1/faults.", default="false", parse=parse_boolean)
    seed: int = setting("Seed of random faults.", default="1", parse=int)
    log_level: str = setting(
        "Lowest level logged.",
        default="info",
        parse=parse_choice("debug", "info", "warning", "error"),
    )

    @property
    def batch_speed(self) -> BatchSpeed:
        """Return the limits of the batch."""
        return BatchSpeed(
            self.tokens_per_second,
            self.request_tokens_per_second,
            self.prompt_tokens_per_second,
            self.batch_limit,
            self.queue_limit,
        )

    @property
    def memory(self) -> MemorySettings:
        """Return the settings of the accelerator memory."""
        return MemorySettings(
            self.capacity_bytes,
            self.store_bytes_per_second,
            self.adapter_max_bytes,
            self.adapter_load_ms,
            self.unload_ms,
            self.checks_fencing,
            self.checks_memory,
        )
