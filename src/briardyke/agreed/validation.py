"""Check a configuration against itself and the registered upstreams."""

from __future__ import annotations

import re
from collections.abc import Mapping
from fnmatch import translate
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from briardyke.agreed.configuration import ANY, Configuration
from briardyke.agreed.parsing import Parsed, parse_configuration

if TYPE_CHECKING:
    from typing import Any

    from briardyke.agreed.records import UpstreamRegistration

Upstreams = Mapping[str, "UpstreamRegistration"]


def check_document(document: Any, upstreams: Upstreams) -> Result[Configuration, tuple[str, ...]]:
    """Parse and check a configuration document.

    :param document: JSON value.
    :param upstreams: registered upstreams by id.
    :return: the configuration, or all reasons against it, each with the path of its field.
    """
    parsed = parse_configuration(document)
    reasons = [
        *parsed.reasons,
        *_check_names(parsed),
        *_check_limits(parsed),
        *_check_places(parsed.configuration, upstreams),
    ]
    return Err(tuple(reasons)) if reasons else Ok(parsed.configuration)


def _names(parsed: Parsed, table: str) -> set[str]:
    known = set(getattr(parsed.configuration, table))
    prefix = table + "."
    return known | {p.removeprefix(prefix) for p in parsed.broken if p.startswith(prefix)}


def _check_names(parsed: Parsed) -> list[str]:
    configuration = parsed.configuration
    models = _names(parsed, "models")
    reasons = []
    for name in sorted(models & _names(parsed, "adapters")):
        reasons.append(f"adapters.{name}: name is also a model")
    for name, adapter in sorted(configuration.adapters.items()):
        if adapter.model not in models:
            reasons.append(f"adapters.{name}.model: unknown model {adapter.model}")
    keys: dict[str, str] = {}
    for name, caller in sorted(configuration.callers.items()):
        first = keys.setdefault(caller.api_key_sha256, name)
        if first != name:
            reasons.append(f"callers.{name}.api_key_sha256: is also the key of {first}")
    return reasons


def _check_limits(parsed: Parsed) -> list[str]:
    known = {
        "caller": _names(parsed, "callers"),
        "model": _names(parsed, "models"),
        "adapter": _names(parsed, "adapters"),
    }
    return [
        f"limits.{limit_id}.{field}: unknown {field} {getattr(limit, field)}"
        for limit_id, limit in sorted(parsed.configuration.limits.items())
        for field, names in known.items()
        if getattr(limit, field) != ANY and getattr(limit, field) not in names
    ]


@attrs.define
class _Bin:
    """Count the memory planned for one engine.

    The largest adapter of the models on it needs room beside them; adapters are loaded on demand,
    so they share that room.
    """

    capacity_bytes: int
    used_bytes: int = 0
    adapter_bytes: int = 0

    def take(self, size_bytes: int, adapter_bytes: int) -> bool:
        adapter_bytes = max(self.adapter_bytes, adapter_bytes)
        if self.used_bytes + size_bytes + adapter_bytes > self.capacity_bytes:
            return False
        self.used_bytes += size_bytes
        self.adapter_bytes = adapter_bytes
        return True


class _Matcher:
    """Match patterns against the upstreams of one kind; each pattern is evaluated once."""

    def __init__(self, upstreams: Upstreams, kind: str) -> None:
        self._ids = sorted(u.upstream_id for u in upstreams.values() if u.kind == kind)
        self._by_pattern: dict[str, list[str]] = {}

    def find(self, patterns: tuple[str, ...]) -> list[str]:
        """Return the matching upstream ids in order."""
        if len(patterns) == 1:
            return self._match(patterns[0])
        return sorted({i for pattern in patterns for i in self._match(pattern)})

    def _match(self, pattern: str) -> list[str]:
        if pattern not in self._by_pattern:
            expression = re.compile(translate(pattern))
            self._by_pattern[pattern] = [i for i in self._ids if expression.match(i)]
        return self._by_pattern[pattern]


def _check_places(configuration: Configuration, upstreams: Upstreams) -> list[str]:
    reasons = []
    services = _Matcher(upstreams, "service")
    for name, service in sorted(configuration.services.items()):
        if not services.find(service.instances):
            reasons.append(f"services.{name}.instances: match no registered service")
    engines = _Matcher(upstreams, "engine")
    placeable = {}
    for name, model in sorted(configuration.models.items()):
        matching = engines.find(model.instances)
        if not matching:
            reasons.append(f"models.{name}.instances: match no registered engine")
            continue
        largest = max(upstreams[i].capacity_bytes for i in matching)
        if model.size_bytes > largest:
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
            placeable[name] = largest
    beside = dict.fromkeys(placeable, 0)
    for name, adapter in sorted(configuration.adapters.items()):
        if adapter.model not in placeable:
            continue
        room = placeable[adapter.model] - configuration.models[adapter.model].size_bytes
        if adapter.size_bytes > room:
            reasons.append(
                f"adapters.{name}.size_bytes: {adapter.size_bytes} does not fit beside model"
                f" {adapter.model} (room {room})"
            )
        else:
            beside[adapter.model] = max(beside[adapter.model], adapter.size_bytes)
    return reasons + _first_fit_decreasing(configuration, upstreams, engines, beside)


def _first_fit_decreasing(
    configuration: Configuration, upstreams: Upstreams, engines: _Matcher, beside: dict[str, int]
) -> list[str]:
    bins = {i: _Bin(u.capacity_bytes) for i, u in upstreams.items() if u.kind == "engine"}
    models = configuration.models
    reasons = []
    for name in sorted(beside, key=lambda n: (-models[n].size_bytes, n)):
        wanted = models[name].minimum_replicas
        placed = 0
        for upstream_id in engines.find(models[name].instances):
            if placed == wanted:
                break
            placed += bins[upstream_id].take(models[name].size_bytes, beside[name])
        if placed < wanted:
            reasons.append(
                f"models.{name}: only {placed} of {wanted} replicas fit into the memory of the"
                " registered engines beside the other models"
            )
    return reasons
