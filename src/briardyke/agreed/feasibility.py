"""Check that the registered upstreams can hold all models, adapters and services."""

from __future__ import annotations

import re
from fnmatch import translate
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.agreed.configuration import Adapter, Configuration, Model
    from briardyke.agreed.records import UpstreamRegistration

_BLOCK_BINS = 64


class FeasibilityChecker:
    """Check configurations against the registered upstreams, and cache the last result.

    The check takes about 0.1 s at the target size and runs inside ``apply``, where it delays
    heartbeats; most patches change neither models nor adapters nor services. The result depends
    only on its inputs, so members cannot differ because of the cache.
    """

    def __init__(self, upstreams: Mapping[str, UpstreamRegistration]) -> None:
        """Check against a table of upstreams.

        :param upstreams: registered upstreams by id; call :meth:`upstreams_changed` after a change
            of an id, kind or capacity.
        """
        self._upstreams = upstreams
        self.upstreams_changed()

    def upstreams_changed(self) -> None:
        """Discard everything that was derived from the upstreams."""
        self._engines = _PatternMatcher(self._upstreams, "engine")
        self._services = _PatternMatcher(self._upstreams, "service")
        self._checked_items: tuple[Any, ...] | None = None
        self._reasons: list[str] = []

    def check(self, configuration: Configuration) -> list[str]:
        """Return the reasons why items cannot be placed, each with the path of its field."""
        items = (configuration.models, configuration.adapters, configuration.services)
        if items != self._checked_items:
            adapter_bytes, reasons = self._check_individually(
                configuration.models, configuration.adapters
            )
            self._reasons = [
                *self._check_services(configuration),
                *reasons,
                *self._first_fit_decreasing(configuration.models, adapter_bytes),
            ]
            self._checked_items = items
        return self._reasons

    def _check_services(self, configuration: Configuration) -> list[str]:
        return [
            f"services.{name}.instances: match no registered service"
            for name, service in sorted(configuration.services.items())
            if not self._services.matching_ids(service.instances)
        ]

    def _check_individually(
        self, models: dict[str, Model], adapters: dict[str, Adapter]
    ) -> tuple[dict[str, int], list[str]]:
        """Check each model on its own, and each adapter beside its model.

        :return: for each model that fits alone, the memory that its largest adapter needs; and
            the reasons against the other items.
        """
        reasons: list[str] = []
        free_bytes: dict[str, int] = {}
        largest_by_patterns: dict[tuple[str, ...], int] = {}
        for name, model in sorted(models.items()):
            matching = self._engines.matching_ids(model.instances)
            if model.instances not in largest_by_patterns:
                largest_by_patterns[model.instances] = max(
                    (self._upstreams[i].capacity_bytes for i in matching), default=0
                )
            largest = largest_by_patterns[model.instances]
            if not matching:
                reasons.append(f"models.{name}.instances: match no registered engine")
            elif model.size_bytes > largest:
                reasons.append(
                    f"models.{name}.size_bytes: {model.size_bytes} exceeds the largest matching"
                    f" engine ({largest})"
                )
            elif model.minimum_replicas > len(matching):
                reasons.append(
                    f"models.{name}.minimum_replicas: {model.minimum_replicas} replicas, but only"
                    f" {len(matching)} matching engines"
                )
            else:
                free_bytes[name] = largest - model.size_bytes
        adapter_bytes = dict.fromkeys(free_bytes, 0)
        for name, adapter in sorted(adapters.items()):
            if adapter.model not in free_bytes:
                continue
            if adapter.size_bytes > free_bytes[adapter.model]:
                reasons.append(
                    f"adapters.{name}.size_bytes: {adapter.size_bytes} does not fit beside model"
                    f" {adapter.model} (room {free_bytes[adapter.model]})"
                )
            else:
                adapter_bytes[adapter.model] = max(adapter_bytes[adapter.model], adapter.size_bytes)
        return adapter_bytes, reasons

    def _first_fit_decreasing(
        self, models: dict[str, Model], adapter_bytes: dict[str, int]
    ) -> list[str]:
        """Place replicas, largest models first; return a reason for each model without space."""
        bins = {i: _Bin(u.capacity_bytes) for i, u in self._upstreams.items() if u.kind == "engine"}
        candidates: dict[tuple[str, ...], _CandidateBins] = {}
        reasons = []
        for name in sorted(adapter_bytes, key=lambda n: (-models[n].size_bytes, n)):
            patterns, replicas = models[name].instances, models[name].minimum_replicas
            if patterns not in candidates:
                matching = self._engines.matching_ids(patterns)
                candidates[patterns] = _CandidateBins([bins[i] for i in matching])
            placed = candidates[patterns].place(
                models[name].size_bytes, adapter_bytes[name], replicas
            )
            if placed < replicas:
                reasons.append(
                    f"models.{name}: only {placed} of {replicas} replicas fit into the memory of"
                    " the registered engines beside the other models"
                )
        return reasons


@attrs.define
class _Bin:
    """Track the memory that is assigned on one engine.

    Memory for the largest adapter of its models is kept free beside them; adapters are loaded on
    demand, so they share that memory.
    """

    free_bytes: int
    adapter_bytes: int = 0

    def try_assign(self, size_bytes: int, adapter_bytes: int) -> bool:
        adapter_bytes = max(self.adapter_bytes, adapter_bytes)
        if size_bytes + adapter_bytes > self.free_bytes:
            return False
        self.free_bytes -= size_bytes
        self.adapter_bytes = adapter_bytes
        return True


class _CandidateBins:
    """Find the first engines with enough free memory, in blocks.

    Free memory only shrinks, so the largest free memory that a block had at its last search is an
    upper bound, even if models with other patterns have been assigned to its engines since.
    """

    def __init__(self, bins: list[_Bin]) -> None:
        self._blocks = [bins[i : i + _BLOCK_BINS] for i in range(0, len(bins), _BLOCK_BINS)]
        self._free_bytes_bounds = [max(b.free_bytes for b in block) for block in self._blocks]

    def place(self, size_bytes: int, adapter_bytes: int, replicas: int) -> int:
        """Place replicas on the first engines that have space; return how many were placed."""
        placed = 0
        for index, block in enumerate(self._blocks):
            if placed == replicas:
                break
            if self._free_bytes_bounds[index] < size_bytes:
                continue
            for bin_ in block:
                if placed < replicas and bin_.free_bytes >= size_bytes:
                    placed += bin_.try_assign(size_bytes, adapter_bytes)
            self._free_bytes_bounds[index] = max(b.free_bytes for b in block)
        return placed


class _PatternMatcher:
    """Match patterns against the ids of upstreams of one kind; cache the matches."""

    def __init__(self, upstreams: Mapping[str, UpstreamRegistration], kind: str) -> None:
        self._upstreams = upstreams
        self._kind = kind
        self._ids: list[str] | None = None
        self._ids_by_patterns: dict[tuple[str, ...], list[str]] = {}

    def matching_ids(self, patterns: tuple[str, ...]) -> list[str]:
        """Return the matching upstream ids, sorted."""
        if patterns not in self._ids_by_patterns:
            if len(patterns) == 1:
                self._ids_by_patterns[patterns] = self._match(patterns[0])
            else:
                self._ids_by_patterns[patterns] = sorted(
                    {i for p in patterns for i in self.matching_ids((p,))}
                )
        return self._ids_by_patterns[patterns]

    def _match(self, pattern: str) -> list[str]:
        if self._ids is None:
            upstreams = self._upstreams.values()
            self._ids = sorted(u.upstream_id for u in upstreams if u.kind == self._kind)
        expression = re.compile(translate(pattern))
        return [i for i in self._ids if expression.match(i)]
