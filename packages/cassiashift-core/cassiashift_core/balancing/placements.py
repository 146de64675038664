"""Placements of one layer's experts on ranks, and the ranks' loads.

A placement is a boolean matrix of shape (experts, ranks).
"""

import attrs
import numpy as np

from cassiashift_core.balancing import maps


@attrs.frozen(eq=False)
class Ranks:
    """Ranks of a group, as arrays with one value for each rank.

    Attributes:
        slots: experts that each rank can hold for a layer.
        speed: relative speed, 1.0 for nominal.
    """

    slots: np.ndarray
    speed: np.ndarray

    @classmethod
    def uniform(cls, count: int, slots: int) -> 'Ranks':
        """Return ranks with the same number of slots at nominal speed."""
        return cls(np.full(count, slots), np.ones(count))

    @property
    def count(self) -> int:
        """Number of ranks, including those without slots."""
        return len(self.slots)

    def without(self, rank: int) -> 'Ranks':
        """Return the ranks with no slots for the given one."""
        slots = self.slots.copy()
        slots[rank] = 0
        return attrs.evolve(self, slots=slots)


def rank_loads(
    placed: np.ndarray, loads: np.ndarray, ranks: Ranks
) -> np.ndarray:
    """Return the load of each rank, divided by its speed.

    This is its time for a step, in tokens at nominal speed.

    Args:
        placed: placement of the layer.
        loads: tokens of each expert, split evenly over its replicas.
        ranks: ranks with their speeds.
    """
    replicas = np.maximum(placed.sum(axis=1), 1)
    return ((loads / replicas) @ placed) / ranks.speed


def balanced_time(loads: np.ndarray, ranks: Ranks) -> float:
    """Return the step time of a perfect balance, in tokens."""
    usable = ranks.speed[ranks.slots > 0]
    return float(loads.sum() / usable.sum())


def skew(placed: np.ndarray, loads: np.ndarray, ranks: Ranks) -> float:
    """Return the hottest rank's time over that of a perfect balance.

    For ranks of the same speed, it is the load of the hottest over that of
    the mean rank. Without load it is 1.
    """
    balanced = balanced_time(loads, ranks)
    if balanced <= 0:
        return 1.0
    return float(rank_loads(placed, loads, ranks).max() / balanced)


def count_moves(before: np.ndarray, after: np.ndarray) -> int:
    """Return how many experts have to be fetched, over all ranks."""
    return int((after & ~before).sum())


def to_map(
    rank_ids: tuple[str, ...], placed: tuple[np.ndarray, ...]
) -> maps.ExpertMap:
    """Return the placements of all layers as an expert map."""
    layers = tuple(
        tuple(
            tuple(int(expert) for expert in np.flatnonzero(column))
            for column in layer.T
        )
        for layer in placed
    )
    return maps.ExpertMap(rank_ids, layers)


def from_map(
    expert_map: maps.ExpertMap, rank_ids: tuple[str, ...], experts: int
) -> tuple[np.ndarray, ...]:
    """Return the placements of an expert map on the given ranks.

    Ranks that are not in the map hold nothing; ranks of the map that are not
    given are left out.
    """
    placed = []
    for layer in range(len(expert_map.layers)):
        matrix = np.zeros((experts, len(rank_ids)), dtype=bool)
        for column, rank in enumerate(rank_ids):
            matrix[list(expert_map.experts_on(rank, layer)), column] = True
        placed.append(matrix)
    return tuple(placed)
