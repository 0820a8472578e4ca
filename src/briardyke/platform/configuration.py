"""Read the platform's configuration document into the product's types."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from result import Err, Ok, Result

from briardyke.accounts.types import AccountQuota, ClientAccount, key_digest
from briardyke.errors import ErrorKind, Failure
from briardyke.platform.fields import MAX_WHOLE, read_text
from briardyke.routes.configuration import (
    CallerLimits,
    EngineSpec,
    ModelSpec,
    RequestKind,
    Route,
    ServiceSpec,
    ServingConfiguration,
    Target,
)
from briardyke.routes.validation import configuration_errors
from briardyke.strict_json import parse_json

if TYPE_CHECKING:
    from collections.abc import Iterable

R = TypeVar("R", ServiceSpec, ModelSpec)
_QUOTA_UNITS = ("requests", "tokens")


def decode_configuration(body: bytes) -> Result[ServingConfiguration, Failure]:
    """Read and check a document.

    :param body: JSON as the operator sent it.
    :return: ``configuration_invalid`` with all reasons when it cannot be accepted.
    """
    try:
        configuration = _configuration(parse_json(body))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        text = f"cannot read the configuration: {type(error).__name__}: {error}"
        return Err(Failure(ErrorKind.CONFIGURATION_INVALID, text))
    reasons = configuration_errors(configuration)
    if reasons:
        failure = Failure(ErrorKind.CONFIGURATION_INVALID, reasons[0], reasons=tuple(reasons))
        return Err(failure)
    return Ok(configuration)


def _configuration(value: dict[str, Any]) -> ServingConfiguration:
    version = value["version"]
    if type(version) is not int:
        raise ValueError("version must be a whole number")
    limits = value.get("limits") or {}
    defaults = CallerLimits()
    services = [_service(row) for row in value["services"]]
    return ServingConfiguration(
        _whole(version),
        tuple(_route(row) for row in value["routes"]),
        _by_name(services, "two services are named {}"),
        CallerLimits(
            _whole(limits.get("max_header_bytes", defaults.max_header_bytes)),
            _whole(limits.get("max_body_bytes", defaults.max_body_bytes)),
            _number(limits.get("header_timeout_ms", defaults.header_timeout_ms)),
            _number(limits.get("idle_timeout_ms", defaults.idle_timeout_ms)),
        ),
        tuple(_account(row) for row in value.get("tenants") or ()),
    )


def _route(row: dict[str, Any]) -> Route:
    return Route(
        name=read_text(row["name"]),
        host=read_text(row["host"]).lower(),
        path_prefix=read_text(row["path_prefix"]),
        kind=RequestKind(row["kind"]),
        timeout_ms=_number(row["timeout_ms"]),
        latency_objective_ms=_number(row.get("target_latency_ms", row["timeout_ms"])),
        priority=_whole(row.get("priority", 5)),
        targets=tuple(_targets(row)),
        max_attempts=max(1, _whole(row.get("max_attempts", 1))),
        is_resumable=_flag(row.get("resumable", False)),
        event_gap_objective_ms=_number(row.get("gap_target_ms", 0)),
        is_public=_flag(row.get("public", False)),
    )


def _targets(row: dict[str, Any]) -> Iterable[Target]:
    split = row.get("split")
    if split:
        for part in split:
            yield Target(read_text(part["service"]), _number(part["weight"]))
    else:
        yield Target(read_text(row["service"]))


def _service(row: dict[str, Any]) -> ServiceSpec:
    engine = row.get("engine")
    return ServiceSpec(
        read_text(row["name"]),
        _whole(row.get("max_conns", 0)),
        _engine(row["name"], engine) if engine else None,
    )


def _engine(service: str, row: dict[str, Any]) -> EngineSpec:
    models = [_model(model) for model in row.get("models", ())]
    return EngineSpec(
        slots=_whole(row["slots"], minimum=1),
        weights_mb=_number(row.get("weights_mb", 0)),
        adapter_slots=_whole(row.get("adapter_slots", 0)),
        store_loads_per_s=_number(row.get("loads_per_s", 0)),
        cache_tokens=_whole(row.get("kv_capacity", 0)),
        models=_by_name(models, f"two models of service {service} are named {{}}"),
        event_tokens=_whole(row.get("stride", 1), minimum=1),
    )


def _account(row: dict[str, Any]) -> ClientAccount:
    if row["name"] == "":
        raise ValueError("a client account has no name")
    keys = row.get("api_keys") or []
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise ValueError(f"api_keys of client account {row['name']!r} must be a list of texts")
    priority = row.get("priority")
    return ClientAccount(
        read_text(row["name"]),
        tuple(key_digest(key.encode()) for key in keys),
        None if priority is None else _whole(priority),
        _quota(row),
    )


def _quota(row: dict[str, Any]) -> AccountQuota:
    unit = row.get("unit", "requests")
    if unit not in _QUOTA_UNITS:
        raise ValueError(f"unknown unit {unit!r} of a quota")
    return AccountQuota(
        _number(row.get("rate_per_s", 0)),
        _number(row.get("burst", 0)),
        unit == "tokens",
        _whole(row.get("plain_tokens", 1)),
    )


def _model(row: dict[str, Any]) -> ModelSpec:
    load_s = _number(row["load_s"])
    return ModelSpec(
        name=read_text(row["name"]),
        weights_mb=_number(row["weights_mb"]),
        load_s=load_s,
        disk_load_s=_number(row.get("disk_s", load_s)),
        memory_load_s=_number(row.get("warm_s", load_s)),
        adapters=_whole(row.get("adapters", 0)),
        adapter_mb=_number(row.get("adapter_mb", 0)),
    )


def _by_name(rows: list[R], reason: str) -> dict[str, R]:
    named: dict[str, R] = {}
    for row in rows:
        if named.setdefault(row.name, row) is not row:
            raise ValueError(reason.format(row.name))
    return named


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"expected a number from 0, got {value!r}")
    return float(value)


def _whole(value: Any, minimum: int = 0) -> int:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or value != int(value) or not minimum <= value <= MAX_WHOLE:
        raise ValueError(f"expected a whole number from {minimum}, got {value!r}")
    return int(value)


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, got {value!r}")
    return value
