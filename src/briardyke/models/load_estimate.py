"""Estimate how requests spread over the engines that hold their models."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.policy.water_filling import water_filling_level

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Each round spreads every model once. Three models that share engines converge within four rounds.
_ROUNDS = 4


class LoadEstimate:
    """Spread the requests of each model over its holders as evenly as shared engines allow.

    Where two busy models share an engine, entry instances send more of their requests to the
    engines whose other models are requested less.

    The cost of a spread is the sum of the squares of the engines' loads. The effect of adding or
    removing a holder is estimated from the engines of that model alone: with 45 engines, a decision
    evaluates hundreds of such changes, and spreading all models again takes a millisecond for each.
    """

    def __init__(
        self,
        demand: Mapping[str, float],
        holders: Mapping[str, set[str]],
        engine_ids: Iterable[str],
    ) -> None:
        """Estimate the load of each engine.

        :param demand: load of each model, in any unit.
        :param holders: ids of the engines that hold each model.
        :param engine_ids: ids of all engines.
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
        """Return by how much the cost falls when one more engine holds the model."""
        share = self._shares.get(model)
        if not share:
            return 0.0
        return self._cost_change(
            share, {**self._other_loads(share), engine_id: self.loads[engine_id]}
        )

    def loss_of_removing(self, model: str, engine_id: str) -> float:
        """Return by how much the cost rises when one of several holders unloads the model."""
        share = self._shares.get(model)
        if not share or engine_id not in share or len(share) == 1:
            return 0.0
        others = self._other_loads(share)
        removed_load = others.pop(engine_id)
        change = self._cost_change(share, others)
        return -(change - removed_load**2)

    def _other_loads(self, share: dict[str, float]) -> dict[str, float]:
        return {engine_id: self.loads[engine_id] - part for engine_id, part in share.items()}

    def _cost_change(self, share: dict[str, float], others: dict[str, float]) -> float:
        """Return by how much the cost falls when a model is spread again over engines.

        :param share: present load of the model by engine.
        :param others: load of the other models, for each engine that would hold the model.
        """
        total = sum(share.values())
        level = water_filling_level(((load, 1.0) for load in others.values()), total)
        before = sum(self.loads[engine_id] ** 2 for engine_id in share.keys() | others.keys())
        return before - sum(max(level, load) ** 2 for load in others.values())

    def _spread(self, share: dict[str, float]) -> None:
        """Spread one model's requests as evenly as the other models on its holders allow."""
        others = self._other_loads(share)
        total = sum(share.values())
        level = water_filling_level(((load, 1.0) for load in others.values()), total)
        for engine_id, base in others.items():
            share[engine_id] = max(0.0, level - base)
            self.loads[engine_id] = base + share[engine_id]
