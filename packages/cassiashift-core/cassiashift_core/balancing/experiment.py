"""Runs policies over a trace, with the time that moves take.

The first window serves all policies as the profile of their first placement,
which costs nothing; measures begin with the second window. A decision at the
start of a window sees only the windows before it. Until a plan's moves have
ended, load is served by the old placement and no new plan is made.
"""

from collections.abc import Callable

import attrs
import numpy as np

from cassiashift_core.balancing import baselines
from cassiashift_core.balancing import budgets
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import policy as policies
from cassiashift_core.balancing import prices as price_models

Placed = tuple[np.ndarray, ...]


@attrs.frozen(eq=False)
class ExperimentConfig:
    """Settings of a run.

    Attributes:
        store_bytes_per_second: rate of the weight store; zero means that
            moves take no time.
    """

    ranks: placements.Ranks
    prices: price_models.Prices = price_models.Prices()
    window_s: float = 60.0
    bytes_per_expert: int = 44_040_192
    store_bytes_per_second: float = 0.0

    def duration_s(self, moves: int) -> float:
        """Return the time that a number of moves takes."""
        if self.store_bytes_per_second <= 0:
            return 0.0
        return moves * self.bytes_per_expert / self.store_bytes_per_second


@attrs.frozen
class Measures:
    """What a policy has reached over a trace.

    Attributes:
        skew_mean: mean over windows and layers of hottest over mean rank.
        skew_p95: the 95th percentile of the same.
        moved_bytes: weights fetched after the first placement.
        stall_seconds: time for which a decided placement was not in force
            because its moves had not ended.
        step_time_ratio: mean step time over that of a perfect balance.
    """

    skew_mean: float
    skew_p95: float
    moved_bytes: int
    stall_seconds: float
    step_time_ratio: float


LOWER_BOUND = Measures(
    skew_mean=1.0,
    skew_p95=1.0,
    moved_bytes=0,
    stall_seconds=0.0,
    step_time_ratio=1.0,
)


@attrs.frozen(eq=False)
class Outcome:
    """A policy's measures, and their course over the windows."""

    measures: Measures
    skews: tuple[float, ...]
    moved: tuple[int, ...]


@attrs.define(eq=False)
class _Static:
    """Keep the first placement."""

    cfg: ExperimentConfig

    def first(self, tokens: np.ndarray) -> Placed:
        return tuple(baselines.greedy(row, self.cfg.ranks) for row in tokens)

    def decide(self, tokens: np.ndarray, current: Placed) -> Placed:
        return current

    def observe(self, tokens: np.ndarray) -> None:
        """Learn nothing."""


class _Greedy(_Static):
    """Repack in each window for the window before."""

    def decide(self, tokens: np.ndarray, current: Placed) -> Placed:
        return self.first(tokens)


class _GreedySticky(_Static):
    """Repack, and relabel the ranks to move least."""

    def decide(self, tokens: np.ndarray, current: Placed) -> Placed:
        return tuple(
            baselines.greedy_sticky(row, self.cfg.ranks, before)
            for row, before in zip(tokens, current, strict=True)
        )


@attrs.define(eq=False)
class _Cassiashift:
    """Run the balancing policy."""

    cfg: ExperimentConfig
    policy: policies.CassiashiftPolicy | None = None

    def observe(self, tokens: np.ndarray) -> None:
        if self.policy is None:
            self.policy = policies.CassiashiftPolicy.from_config(
                self.cfg.ranks, self.cfg.prices, len(tokens)
            )
        self.policy.observe(tokens)

    def first(self, tokens: np.ndarray) -> Placed:
        return self.policy.first(tokens)

    def decide(self, tokens: np.ndarray, current: Placed) -> Placed:
        limit = budgets.moves_in_window(
            self.cfg.store_bytes_per_second,
            self.cfg.window_s,
            self.cfg.bytes_per_expert,
        )
        return self.policy.plan(current, limit).placed


POLICIES: dict[str, Callable[[ExperimentConfig], object]] = {
    'static': _Static,
    'greedy': _Greedy,
    'greedy-sticky': _GreedySticky,
    'cassiashift': _Cassiashift,
}


def run(name: str, trace: np.ndarray, cfg: ExperimentConfig) -> Outcome:
    """Run one policy over a trace of shape (windows, layers, experts)."""
    policy = POLICIES[name](cfg)
    policy.observe(trace[0])
    current = target = policy.first(trace[0])
    pending_s = stalled_s = 0.0
    skews, ratios, moved = [], [], []
    for window in range(1, len(trace)):
        if window > 1:
            policy.observe(trace[window - 1])
        fetched = 0
        if pending_s <= 0:
            target = policy.decide(trace[window - 1], current)
            fetched = _count(current, target)
            pending_s = cfg.duration_s(fetched)
        waiting = min(pending_s, cfg.window_s) / cfg.window_s
        row = _mixed(current, target, trace[window], cfg, waiting)
        skews.append(row)
        ratios.append(_step_ratio(row, trace[window]))
        moved.append(fetched)
        stalled_s += waiting * cfg.window_s
        pending_s -= cfg.window_s
        if pending_s <= 0:
            current = target
    return _outcome(cfg, np.array(skews), ratios, moved, stalled_s)


def _outcome(
    cfg: ExperimentConfig,
    skews: np.ndarray,
    ratios: list[float],
    moved: list[int],
    stalled_s: float,
) -> Outcome:
    measures = Measures(
        skew_mean=float(skews.mean()),
        skew_p95=float(np.percentile(skews, 95)),
        moved_bytes=sum(moved) * cfg.bytes_per_expert,
        stall_seconds=stalled_s,
        step_time_ratio=float(np.mean(ratios)),
    )
    return Outcome(
        measures=measures,
        skews=tuple(float(value) for value in skews.mean(axis=1)),
        moved=tuple(moved),
    )


def _count(before: Placed, after: Placed) -> int:
    pairs = zip(before, after, strict=True)
    return sum(placements.moves(one, two) for one, two in pairs)


def _mixed(
    current: Placed,
    target: Placed,
    tokens: np.ndarray,
    cfg: ExperimentConfig,
    waiting: float,
) -> np.ndarray:
    """Return each layer's skew, weighed by the time of each placement."""
    rows = []
    for before, after, loads in zip(current, target, tokens, strict=True):
        value = 0.0
        if waiting > 0:
            value += waiting * placements.skew(before, loads, cfg.ranks)
        if waiting < 1:
            after_skew = placements.skew(after, loads, cfg.ranks)
            value += (1 - waiting) * after_skew
        rows.append(value)
    return np.array(rows)


def _step_ratio(skews: np.ndarray, tokens: np.ndarray) -> float:
    """Return the step time over that of a balance of all layers."""
    weights = tokens.sum(axis=1)
    return float((skews * weights).sum() / weights.sum())
