"""Estimate how requests spread over the engines that hold their models."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.policy.filling import filled_level

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Each round settles one model after the other; overlaps of three models even out within four.
_ROUNDS = 4


def balanced_loads(
    demand: Mapping[str, float], holders: Mapping[str, set[str]], engine_ids: Iterable[str]
) -> dict[str, float]:
    """Return each engine's load when every request goes to the least loaded holder of its model.

    Load: two busy models overlap on some engines. Entry instances then send the requests that have
    a choice to the engines whose other model is asked for less.

    :param demand: load of each model, in any unit.
    :param holders: ids of the engines that hold each model.
    :param engine_ids: all engines.
    :return: load by engine, in the unit of ``demand``.
    """
    loads = dict.fromkeys(engine_ids, 0.0)
    shares: list[dict[str, float]] = []
    for model, amount in demand.items():
        holding = holders.get(model)
        if not holding or amount <= 0:
            continue
        part = amount / len(holding)
        for engine_id in holding:
            loads[engine_id] += part
        if len(holding) > 1:
            shares.append(dict.fromkeys(holding, part))
    for _ in range(_ROUNDS):
        for share in shares:
            _settle(share, loads)
    return loads


def _settle(share: dict[str, float], loads: dict[str, float]) -> None:
    """Spread one model's requests so that its holders are loaded as evenly as others allow."""
    total = sum(share.values())
    others = {engine_id: loads[engine_id] - part for engine_id, part in share.items()}
    level = filled_level(((load, 1.0) for load in others.values()), total)
    for engine_id, base in others.items():
        share[engine_id] = max(0.0, level - base)
        loads[engine_id] = base + share[engine_id]
