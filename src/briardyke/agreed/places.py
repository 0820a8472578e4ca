"""Check that models, adapters and services have a place on the registered upstreams."""

from __future__ import annotations

import re
from fnmatch import translate
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briardyke.agreed.configuration import Adapter, Configuration, Model
    from briardyke.agreed.records import UpstreamRegistration

_BLOCK = 64


class PlaceChecker:
    """Check places, and remember the last result.

    The check takes about 0.1 s at the target size and runs inside ``apply``, where it delays
    heartbeats; most patches change neither models nor adapters nor services. The result depends
    only on the arguments, so remembering it does not make members differ.
    """

    def __init__(self, upstreams: Mapping[str, UpstreamRegistration]) -> None:
        """Check against a table of upstreams.

        :param upstreams: registered upstreams by id; call :meth:`upstreams_changed` after a change
            of an id, kind or capacity.
        """
        self._upstreams = upstreams
        self.upstreams_changed()

    def upstreams_changed(self) -> None:
        """Forget everything that was derived from the upstreams."""
        self._engines = _Matcher(self._upstreams, "engine")
        self._services = _Matcher(self._upstreams, "service")
        self._checked: tuple[Any, ...] | None = None
        self._reasons: list[str] = []

    def check(self, configuration: Configuration) -> list[str]:
        """Return all reasons why something has no place, each with the path of its field."""
        checked = (configuration.models, configuration.adapters, configuration.services)
        if checked != self._checked:
            beside, reasons = self._check_each(configuration.models, configuration.adapters)
            self._reasons = [
                *self._check_services(configuration),
                *reasons,
                *self._first_fit_decreasing(configuration.models, beside),
            ]
            self._checked = checked
        return self._reasons

    def _check_services(self, configuration: Configuration) -> list[str]:
        return [
            f"services.{name}.instances: match no registered service"
            for name, service in sorted(configuration.services.items())
            if not self._services.find(service.instances)
        ]

    def _check_each(
        self, models: dict[str, Model], adapters: dict[str, Adapter]
    ) -> tuple[dict[str, int], list[str]]:
        """Check each item alone.

        :return: for each model that can be placed alone, the room that its largest adapter needs;
            and the reasons.
        """
        reasons: list[str] = []
        room: dict[str, int] = {}
        largest_by_patterns: dict[tuple[str, ...], int] = {}
        for name, model in sorted(models.items()):
            matching = self._engines.find(model.instances)
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
                room[name] = largest - model.size_bytes
        beside = dict.fromkeys(room, 0)
        for name, adapter in sorted(adapters.items()):
            if adapter.model not in room:
                continue
            if adapter.size_bytes > room[adapter.model]:
                reasons.append(
                    f"adapters.{name}.size_bytes: {adapter.size_bytes} does not fit beside model"
                    f" {adapter.model} (room {room[adapter.model]})"
                )
            else:
                beside[adapter.model] = max(beside[adapter.model], adapter.size_bytes)
        return beside, reasons

    def _first_fit_decreasing(self, models: dict[str, Model], beside: dict[str, int]) -> list[str]:
        bins = {i: _Bin(u.capacity_bytes) for i, u in self._upstreams.items() if u.kind == "engine"}
        candidates: dict[tuple[str, ...], _Candidates] = {}
        reasons = []
        for name in sorted(beside, key=lambda n: (-models[n].size_bytes, n)):
            patterns, wanted = models[name].instances, models[name].minimum_replicas
            if patterns not in candidates:
                found = self._engines.find(patterns)
                candidates[patterns] = _Candidates([bins[i] for i in found])
            placed = candidates[patterns].place(models[name].size_bytes, beside[name], wanted)
            if placed < wanted:
                reasons.append(
                    f"models.{name}: only {placed} of {wanted} replicas fit into the memory of the"
                    " registered engines beside the other models"
                )
        return reasons


@attrs.define
class _Bin:
    """Count the memory planned for one engine.

    The largest adapter of the models on it needs room beside them; adapters are loaded on demand,
    so they share that room.
    """

    free_bytes: int
    adapter_bytes: int = 0

    def take(self, size_bytes: int, adapter_bytes: int) -> bool:
        adapter_bytes = max(self.adapter_bytes, adapter_bytes)
        if size_bytes + adapter_bytes > self.free_bytes:
            return False
        self.free_bytes -= size_bytes
        self.adapter_bytes = adapter_bytes
        return True


class _Candidates:
    """Find the first engines with enough room, in blocks.

    Free memory only shrinks, so the largest free memory that a block had at its last search is an
    upper bound, also when models with other patterns have used its engines since.
    """

    def __init__(self, bins: list[_Bin]) -> None:
        self._blocks = [bins[i : i + _BLOCK] for i in range(0, len(bins), _BLOCK)]
        self._bounds = [max(b.free_bytes for b in block) for block in self._blocks]

    def place(self, size_bytes: int, adapter_bytes: int, wanted: int) -> int:
        """Place replicas on the first engines that have room; return how many were placed."""
        placed = 0
        for number, block in enumerate(self._blocks):
            if placed == wanted:
                break
            if self._bounds[number] < size_bytes:
                continue
            for bin_ in block:
                if placed < wanted and bin_.free_bytes >= size_bytes:
                    placed += bin_.take(size_bytes, adapter_bytes)
            self._bounds[number] = max(b.free_bytes for b in block)
        return placed


class _Matcher:
    """Match patterns against the upstreams of one kind; each pattern is evaluated once."""

    def __init__(self, upstreams: Mapping[str, UpstreamRegistration], kind: str) -> None:
        self._upstreams = upstreams
        self._kind = kind
        self._ids: list[str] | None = None
        self._found: dict[tuple[str, ...], list[str]] = {}

    def find(self, patterns: tuple[str, ...]) -> list[str]:
        """Return the matching upstream ids in order."""
        if patterns not in self._found:
            if len(patterns) == 1:
                self._found[patterns] = self._match(patterns[0])
            else:
                self._found[patterns] = sorted({i for p in patterns for i in self.find((p,))})
        return self._found[patterns]

    def _match(self, pattern: str) -> list[str]:
        if self._ids is None:
            rows = self._upstreams.values()
            self._ids = sorted(u.upstream_id for u in rows if u.kind == self._kind)
        expression = re.compile(translate(pattern))
        return [i for i in self._ids if expression.match(i)]
