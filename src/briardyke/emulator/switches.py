"""Switch single mechanisms of the decision code off, to measure what each is worth."""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, Any
from unittest import mock

from briardyke.gateway import admission, demand, upstream_selection, upstreams
from briardyke.models import decide, runner

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping


def _equal_speeds(intervals_ms: Mapping[str, float]) -> dict[str, float]:
    return dict.fromkeys(intervals_ms, 1.0)


def _equal_slowness(state: object, mean_service_time_ms: float) -> float:
    return 1.0


def _first_event_unknown(self: object) -> float:
    return 0.0


def _no_others(self: object, count: int, pending: int) -> None:
    return None


# What stands in place of each mechanism: object, attribute and value.
SWITCHES: dict[str, tuple[Any, str, Any]] = {
    "engine_speed": (runner, "relative_speeds", _equal_speeds),
    "selection_by_slowness": (upstream_selection, "_slowness", _equal_slowness),
    "shared_load": (upstreams.UpstreamState, "update_other_load", _no_others),
    "early_refusal": (upstreams.UpstreamState, "expected_first_ms", _first_event_unknown),
    "hysteresis": (decide, "_HYSTERESIS_FACTOR", 1.0),
    "missing_growth": (decide, "_MISSING_GROWTH_PER_S", 0.0),
    "rare_load_limit": (decide, "_RARE_LOAD_ENGINES_SHARE", 1.0),
    "queue_demand": (demand, "TYPICAL_REQUEST_DURATION_S", float("inf")),
    "wait_for_load": (admission, "_MAX_WAIT_FRACTION", 0.0),
}


@contextmanager
def switch_off(names: Iterable[str]) -> Iterator[None]:
    """Replace mechanisms while the context is active.

    :raises KeyError: for a name that is not in :data:`SWITCHES`.
    """
    with ExitStack() as stack:
        for name in names:
            target, attribute, value = SWITCHES[name]
            stack.enter_context(mock.patch.object(target, attribute, value))
        yield
