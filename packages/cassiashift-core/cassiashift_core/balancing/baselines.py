"""Baseline policies that the balancer is compared with.

The full repack gives each spare slot to the expert with the highest load per
replica and packs the heaviest replicas first, as the Expert Parallelism Load
Balancer of DeepSeek does (2025); list scheduling by the longest processing
time is from Graham, "Bounds on multiprocessing timing anomalies", 1969.
"""

import numpy as np

from cassiashift_core.balancing import placements


def replica_counts(loads: np.ndarray, ranks: placements.Ranks) -> np.ndarray:
    """Return the number of replicas of each expert, to fill all slots."""
    usable = int((ranks.slots > 0).sum())
    counts = np.ones(len(loads), dtype=int)
    spare = int(ranks.slots.sum()) - len(loads)
    for _ in range(max(0, spare)):
        weights = np.where(counts < usable, loads / counts, -1.0)
        counts[np.argmax(weights)] += 1
    return counts


def greedy(loads: np.ndarray, ranks: placements.Ranks) -> np.ndarray:
    """Return a new placement for the loads, of shape (experts, ranks).

    The placement in force is not considered.
    """
    counts = replica_counts(loads, ranks)
    experts = np.repeat(np.arange(len(loads)), counts)
    weights = (loads / counts)[experts]
    placed = np.zeros((len(loads), ranks.count), dtype=bool)
    totals = np.zeros(ranks.count)
    free = ranks.slots.copy()
    for item in np.argsort(-weights, kind='stable'):
        expert = experts[item]
        usable = (free > 0) & ~placed[expert]
        if not usable.any():
            continue
        times = (totals + weights[item]) / ranks.speed
        rank = int(np.argmin(np.where(usable, times, np.inf)))
        placed[expert, rank] = True
        totals[rank] += weights[item]
        free[rank] -= 1
    return _place_missing(placed, free)


def _place_missing(placed: np.ndarray, free: np.ndarray) -> np.ndarray:
    """Place the experts that the packing has left out."""
    for expert in np.flatnonzero(~placed.any(axis=1)):
        rank = int(np.argmax(free))
        if free[rank] <= 0:
            rank = _drop_replica(placed)
            free[rank] += 1
        placed[expert, rank] = True
        free[rank] -= 1
    return placed


def _drop_replica(placed: np.ndarray) -> int:
    """Drop a replica of the expert with the most, and return its rank."""
    expert = int(np.argmax(placed.sum(axis=1)))
    rank = int(np.argmax(placed[expert]))
    placed[expert, rank] = False
    return rank


def greedy_sticky(
    loads: np.ndarray, ranks: placements.Ranks, before: np.ndarray
) -> np.ndarray:
    """Return the full repack with its ranks relabelled to save moves.

    New ranks are matched to old ones by their common experts, the largest
    overlap first; only ranks with the same slots and speed are exchanged.
    """
    packed = greedy(loads, ranks)
    overlap = packed.T.astype(int) @ before.astype(int)
    alike = (ranks.slots[:, None] == ranks.slots[None, :]) & (
        ranks.speed[:, None] == ranks.speed[None, :]
    )
    overlap[~alike] = -1
    relabelled = np.zeros_like(packed)
    for _ in range(ranks.count):
        new, old = np.unravel_index(np.argmax(overlap), overlap.shape)
        relabelled[:, old] = packed[:, new]
        overlap[new, :] = -2
        overlap[:, old] = -2
    return relabelled
