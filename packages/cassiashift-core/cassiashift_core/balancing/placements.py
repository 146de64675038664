"""Placements of one layer's experts on ranks, and their loads."""

import attrs
import numpy as np

from cassiashift_core.balancing import maps


@attrs.frozen(eq=False)
class Ranks:
    """The ranks of a group, as arrays of one value for each rank.

    Attributes:
        slots: experts that each rank can hold for a layer.
        speed: relative speed, 1.0 for nominal.
    """

    slots: np.ndarray
    speed: np.ndarray

    @classmethod
    def even(cls, count: int, slots: int) -> 'Ranks':
        """Return ranks that are all alike."""
        return cls(np.full(count, slots), np.ones(count))

    @property
    def count(self) -> int:
        """Return the number of ranks."""
        return len(self.slots)

    def without(self, rank: int) -> 'Ranks':
        """Return the ranks with one that must hold no expert."""
        slots = self.slots.copy()
        slots[rank] = 0
        return attrs.evolve(self, slots=slots)


def rank_loads(
    placed: np.ndarray, loads: np.ndarray, ranks: Ranks
) -> np.ndarray:
    """Return each rank's time for a step, in tokens at nominal speed.

    Args:
        placed: truth matrix of shape (experts, ranks).
        loads: tokens of each expert, split evenly over its replicas.
        ranks: the ranks.
    """
    replicas = np.maximum(placed.sum(axis=1), 1)
    return ((loads / replicas) @ placed) / ranks.speed


def even_time(loads: np.ndarray, ranks: Ranks) -> float:
    """Return the step time of a perfect balance."""
    usable = ranks.speed[ranks.slots > 0]
    return float(loads.sum() / usable.sum())


def skew(placed: np.ndarray, loads: np.ndarray, ranks: Ranks) -> float:
    """Return the hottest rank's time over that of a perfect balance.

    With even ranks it is the hottest rank over the mean rank.
    """
    even = even_time(loads, ranks)
    if even <= 0:
        return 1.0
    return float(rank_loads(placed, loads, ranks).max() / even)


def moves(before: np.ndarray, after: np.ndarray) -> int:
    """Return how many experts have to be fetched by a rank."""
    return int((after & ~before).sum())


def to_map(
    rank_ids: tuple[str, ...], placed: tuple[np.ndarray, ...]
) -> maps.ExpertMap:
    """Return placements of all layers as a map."""
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
    """Return a map as placements on ranks, which may have changed since."""
    placed = []
    for layer in range(len(expert_map.layers)):
        matrix = np.zeros((experts, len(rank_ids)), dtype=bool)
        for column, rank in enumerate(rank_ids):
            matrix[list(expert_map.experts(rank, layer)), column] = True
        placed.append(matrix)
    return tuple(placed)
