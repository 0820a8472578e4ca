"""Estimate how requests spread over the engines that hold their models."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.policy.water_filling import water_filling_level

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Each round spreads one model after the other; overlaps of three models converge within four.
_ROUNDS = 4


class LoadEstimate:
    """Spread every request over the holders of its model as evenly as overlaps allow.

    Two busy models overlap on some engines. Entry instances then send the requests that have
    a choice to the engines whose other model is requested less.

    The cost of a spread is the sum of the squares of the engines' loads. What one more or one less
    holder changes is estimated from the engines of that model alone: with 45 engines a decision
    evaluates hundreds of them, and spreading all models again for each takes a millisecond.
    """

    def __init__(
        self,
        demand: Mapping[str, float],
        holders: Mapping[str, set[str]],
        engine_ids: Iterable[str],
    ) -> None:
        """Compute the loads of all engines.

        :param demand: load of each model, in any unit.
        :param holders: ids of the engines that hold each model.
        :param engine_ids: all engines.
        """
        self.loads = dict.fromkeys(engine_ids, 0.0)
        self._shares: dict[str, dict[str, float]] = {}
        for model, amount in demand.items():
            holding = holders.get(model)
            if not holding or amount <= 0:
                continue
            part = amount / len(holding)
            for engine_id in holding:
                self.loads[engine_id] += part
            self._shares[model] = dict.fromkeys(holding, part)
        for _ in range(_ROUNDS):
            for share in self._shares.values():
                if len(share) > 1:
                    self._spread(share)

    def gain_of_adding(self, model: str, engine_id: str) -> float:
        """Return by how much the cost falls with one more holder of a model."""
        share = self._shares.get(model)
        if not share:
            return 0.0
        return self._cost_change(share, {**self._others(share), engine_id: self.loads[engine_id]})

    def loss_of_removing(self, model: str, engine_id: str) -> float:
        """Return by how much the cost rises without one of several holders of a model."""
        share = self._shares.get(model)
        if not share or engine_id not in share or len(share) == 1:
            return 0.0
        others = self._others(share)
        emptied = others.pop(engine_id)
        change = self._cost_change(share, others)
        return -(change - emptied**2)

    def _others(self, share: dict[str, float]) -> dict[str, float]:
        return {engine_id: self.loads[engine_id] - part for engine_id, part in share.items()}

    def _cost_change(self, share: dict[str, float], others: dict[str, float]) -> float:
        """Return by how much the cost falls when a model is spread over other loads."""
        total = sum(share.values())
        level = water_filling_level(((load, 1.0) for load in others.values()), total)
        before = sum(self.loads[engine_id] ** 2 for engine_id in share.keys() | others.keys())
        return before - sum(max(level, load) ** 2 for load in others.values())

    def _spread(self, share: dict[str, float]) -> None:
        """Spread one model's requests so that its holders are loaded as evenly as others allow."""
        others = self._others(share)
        total = sum(share.values())
        level = water_filling_level(((load, 1.0) for load in others.values()), total)
        for engine_id, base in others.items():
            share[engine_id] = max(0.0, level - base)
            self.loads[engine_id] = base + share[engine_id]
