"""Check that a configuration is consistent and fits the registered upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from briardyke.agreed.configuration import ANY, Configuration
from briardyke.agreed.parsing import Parsed, parse_configuration

if TYPE_CHECKING:
    from typing import Any

    from briardyke.agreed.feasibility import FeasibilityChecker


def check_document(
    document: Any, feasibility: FeasibilityChecker
) -> Result[Configuration, tuple[str, ...]]:
    """Parse and check a configuration document.

    :param document: JSON value.
    :param feasibility: checker against the registered upstreams.
    :return: the configuration, or all reasons against it, each with the path of its field.
    """
    parsed = parse_configuration(document)
    reasons = [
        *parsed.reasons,
        *_check_references(parsed),
        *_check_limits(parsed),
        *feasibility.check(parsed.configuration),
    ]
    return Err(tuple(reasons)) if reasons else Ok(parsed.configuration)


def _declared_names(parsed: Parsed, table: str) -> set[str]:
    """Return the names in a table; invalid items count, so references to them are no errors."""
    valid = set(getattr(parsed.configuration, table))
    prefix = table + "."
    return valid | {p.removeprefix(prefix) for p in parsed.invalid_paths if p.startswith(prefix)}


def _check_references(parsed: Parsed) -> list[str]:
    configuration = parsed.configuration
    models = _declared_names(parsed, "models")
    reasons = []
    for name in sorted(models & _declared_names(parsed, "adapters")):
        reasons.append(f"adapters.{name}: name is also a model")
    for name, adapter in sorted(configuration.adapters.items()):
        if adapter.model not in models:
            reasons.append(f"adapters.{name}.model: unknown model {adapter.model}")
    caller_by_key: dict[str, str] = {}
    for name, caller in sorted(configuration.callers.items()):
        first = caller_by_key.setdefault(caller.api_key_sha256, name)
        if first != name:
            reasons.append(f"callers.{name}.api_key_sha256: is also the key of {first}")
    return reasons


def _check_limits(parsed: Parsed) -> list[str]:
    names_by_field = {
        "caller": _declared_names(parsed, "callers"),
        "model": _declared_names(parsed, "models"),
        "adapter": _declared_names(parsed, "adapters"),
    }
    return [
        f"limits.{limit_id}.{field}: unknown {field} {getattr(limit, field)}"
        for limit_id, limit in sorted(parsed.configuration.limits.items())
        for field, names in names_by_field.items()
        if getattr(limit, field) != ANY and getattr(limit, field) not in names
    ]
