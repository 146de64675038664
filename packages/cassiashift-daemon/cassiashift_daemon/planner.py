"""Plans a group's maps with numpy; only the leader imports this module."""

import attrs
import numpy as np

from cassiashift_core.balancing import maps
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import policy as policies
from cassiashift_core.balancing import prices
from cassiashift_core import manifest


@attrs.frozen
class Outcome:
    """The planner's decision for one window.

    Attributes:
        wanted: the map to switch to, or None to keep the current one.
        skew: load of the hottest rank relative to perfect balance, mean over
            the layers.
        reason: text that explains the decision.
    """

    wanted: maps.ExpertMap | None
    skew: float
    reason: str


@attrs.define(eq=False)
class GroupPlanner:
    """The balancing policy of one group, with its history of windows."""

    group: manifest.Group
    policy: policies.CassiashiftPolicy

    @classmethod
    def from_config(
        cls, group: manifest.Group, measures: manifest.Measures
    ) -> 'GroupPlanner':
        """Return a planner without any window."""
        ranks = placements.Ranks(
            np.array([rank.slots for rank in group.ranks]),
            np.array([rank.speed for rank in group.ranks]),
        )
        weights = prices.Prices(measures.skew, measures.cost)
        policy = policies.CassiashiftPolicy.from_config(
            ranks, weights, group.layers
        )
        return cls(group, policy)

    def decide(
        self,
        tokens: list[list[int]],
        current: maps.ExpertMap,
        max_moves: int | None = None,
    ) -> Outcome:
        """Record a window's counts and decide whether to switch the map.

        Args:
            tokens: counts by layer and expert.
            current: the map in force.
            max_moves: most moves that the plan may have; None for no bound.
        """
        observed = np.array(tokens, dtype=float)
        ranks = tuple(rank.id for rank in self.group.ranks)
        self.policy.observe(observed)
        placed = placements.from_map(current, ranks, self.group.experts)
        skews = [
            placements.skew(layer, row, self.policy.ranks)
            for layer, row in zip(placed, observed, strict=True)
        ]
        plan = self.policy.plan(placed, max_moves)
        wanted = placements.to_map(ranks, plan.placed) if plan.moves else None
        return Outcome(wanted, float(np.mean(skews)), plan.reason)
