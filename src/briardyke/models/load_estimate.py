"""Estimate how requests spread over the engines that hold their models."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briardyke.policy.water_filling import water_filling_level

if TYPE_CHECKING:
    from collections.abc import Mapping

# Each round spreads every model once. Three models that share engines converge within four rounds.
_ROUNDS = 4


class LoadEstimate:
    """Spread the requests of each model over its holders as evenly as shared engines allow.

    Where two busy models share an engine, entry instances send more of their requests to the
    engines whose other models are requested less.

    The load of an engine is the work that it gets relative to its speed. The cost of a spread is
    what all requests together wait: the sum of the squares of the loads, times the speeds. The
    effect of adding or removing a holder is estimated from the engines of that model alone: with 45
    engines, a decision evaluates hundreds of such changes, and spreading all models again takes a
    millisecond for each.
    """

    def __init__(
        self,
        demand: Mapping[str, float],
        holders: Mapping[str, set[str]],
        speeds: Mapping[str, float],
    ) -> None:
        """Estimate the load of each engine.

        :param demand: work of each model, in any unit.
        :param holders: ids of the engines that hold each model.
        :param speeds: speed of each engine, relative to a typical one.
        """
        self._speeds = speeds
        self.loads = dict.fromkeys(speeds, 0.0)
        self._shares: dict[str, dict[str, float]] = {}
        for model, amount in demand.items():
            holding = holders.get(model)
            if not holding or amount <= 0:
                continue
            part = amount / sum(speeds[engine_id] for engine_id in holding)
            for engine_id in holding:
                self.loads[engine_id] += part
            self._shares[model] = {i: part * speeds[i] for i in holding}
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
        remaining_load = others.pop(engine_id)
        change = self._cost_change(share, others)
        return self._cost(engine_id, remaining_load) - change

    def _other_loads(self, share: dict[str, float]) -> dict[str, float]:
        return {i: self.loads[i] - part / self._speeds[i] for i, part in share.items()}

    def _cost(self, engine_id: str, load: float) -> float:
        return self._speeds[engine_id] * load**2

    def _level(self, others: dict[str, float], work: float) -> float:
        return water_filling_level(((load, self._speeds[i]) for i, load in others.items()), work)

    def _cost_change(self, share: dict[str, float], others: dict[str, float]) -> float:
        """Return by how much the cost falls when a model is spread again over engines.

        :param share: present load of the model by engine.
        :param others: load of the other models, for each engine that would hold the model.
        """
        level = self._level(others, sum(share.values()))
        before = sum(self._cost(i, self.loads[i]) for i in share.keys() | others.keys())
        return before - sum(self._cost(i, max(level, load)) for i, load in others.items())

    def _spread(self, share: dict[str, float]) -> None:
        """Spread one model's requests as evenly as the other models on its holders allow."""
        others = self._other_loads(share)
        level = self._level(others, sum(share.values()))
        for engine_id, base in others.items():
            share[engine_id] = max(0.0, level - base) * self._speeds[engine_id]
            self.loads[engine_id] = max(level, base)
