"""Simulates policies over a trace, with the time that moves take.

All policies compute their first placement from the first window, at no cost;
the measurement begins with the second. A decision at the start of a window
sees only the windows before it. Until the moves of a plan have ended, the old
placement serves the load and no new plan is made.
"""

from collections.abc import Callable

import attrs
import numpy as np

from cassiashift_core.balancing import baselines
from cassiashift_core.balancing import budgets
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import policy as policies
from cassiashift_core.balancing import prices as price_models

LayerPlacements = tuple[np.ndarray, ...]


@attrs.frozen(eq=False)
class ExperimentConfig:
    """Settings of a run.

    Attributes:
        bytes_per_expert: weights that one move fetches.
        store_bytes_per_second: rate of the weight store; zero means that
            moves take no time.
    """

    ranks: placements.Ranks
    prices: price_models.Prices = price_models.Prices()
    window_s: float = 60.0
    bytes_per_expert: int = 44_040_192
    store_bytes_per_second: float = 0.0

    def duration_s(self, moves: int) -> float:
        """Return the seconds that a number of moves takes."""
        if self.store_bytes_per_second <= 0:
            return 0.0
        return moves * self.bytes_per_expert / self.store_bytes_per_second


@attrs.frozen
class Measures:
    """Results of a policy over a trace.

    Attributes:
        skew_mean: mean skew over windows and layers; the skew is the step
            time of the hottest rank over that of a perfect balance.
        skew_p95: 95th percentile of the skew.
        moved_bytes: weights fetched after the first placement.
        stall_seconds: time for which a planned placement was not in force
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
    """Measures of a policy, with skew and moved experts by window."""

    measures: Measures
    skews: tuple[float, ...]
    moved: tuple[int, ...]


@attrs.define(eq=False)
class _Static:
    """Keeps the first placement."""

    cfg: ExperimentConfig

    def first_placements(self, tokens: np.ndarray) -> LayerPlacements:
        return tuple(baselines.greedy(row, self.cfg.ranks) for row in tokens)

    def decide(
        self, tokens: np.ndarray, current: LayerPlacements
    ) -> LayerPlacements:
        return current

    def observe(self, tokens: np.ndarray) -> None:
        """Ignore the window, as this policy needs no history."""


class _Greedy(_Static):
    """Repacks in each window for the loads of the previous window."""

    def decide(
        self, tokens: np.ndarray, current: LayerPlacements
    ) -> LayerPlacements:
        return self.first_placements(tokens)


class _GreedySticky(_Static):
    """Repacks, and relabels the ranks to save moves."""

    def decide(
        self, tokens: np.ndarray, current: LayerPlacements
    ) -> LayerPlacements:
        return tuple(
            baselines.greedy_sticky(row, self.cfg.ranks, before)
            for row, before in zip(tokens, current, strict=True)
        )


@attrs.define(eq=False)
class _Cassiashift:
    """Runs the balancing policy within the moves that a window allows."""

    cfg: ExperimentConfig
    policy: policies.CassiashiftPolicy | None = None

    def observe(self, tokens: np.ndarray) -> None:
        if self.policy is None:
            self.policy = policies.CassiashiftPolicy.from_config(
                self.cfg.ranks, self.cfg.prices, len(tokens)
            )
        self.policy.observe(tokens)

    def first_placements(self, tokens: np.ndarray) -> LayerPlacements:
        return self.policy.first_placements(tokens)

    def decide(
        self, tokens: np.ndarray, current: LayerPlacements
    ) -> LayerPlacements:
        limit = budgets.max_moves_in_window(
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
    """Run the named policy over a trace of (windows, layers, experts)."""
    policy = POLICIES[name](cfg)
    policy.observe(trace[0])
    current = target = policy.first_placements(trace[0])
    pending_s = stall_s = 0.0
    skews, ratios, moved = [], [], []
    for window in range(1, len(trace)):
        if window > 1:
            policy.observe(trace[window - 1])
        fetched = 0
        if pending_s <= 0:
            target = policy.decide(trace[window - 1], current)
            fetched = _count_moves(current, target)
            pending_s = cfg.duration_s(fetched)
        pending_share = min(pending_s, cfg.window_s) / cfg.window_s
        window_skews = _time_weighted_skews(
            current, target, trace[window], cfg, pending_share
        )
        skews.append(window_skews)
        ratios.append(_step_time_ratio(window_skews, trace[window]))
        moved.append(fetched)
        stall_s += pending_share * cfg.window_s
        pending_s -= cfg.window_s
        if pending_s <= 0:
            current = target
    return _summarise(cfg, np.array(skews), ratios, moved, stall_s)


def _summarise(
    cfg: ExperimentConfig,
    skews: np.ndarray,
    ratios: list[float],
    moved: list[int],
    stall_s: float,
) -> Outcome:
    measures = Measures(
        skew_mean=float(skews.mean()),
        skew_p95=float(np.percentile(skews, 95)),
        moved_bytes=sum(moved) * cfg.bytes_per_expert,
        stall_seconds=stall_s,
        step_time_ratio=float(np.mean(ratios)),
    )
    return Outcome(
        measures=measures,
        skews=tuple(float(value) for value in skews.mean(axis=1)),
        moved=tuple(moved),
    )


def _count_moves(before: LayerPlacements, after: LayerPlacements) -> int:
    pairs = zip(before, after, strict=True)
    return sum(placements.count_moves(old, new) for old, new in pairs)


def _time_weighted_skews(
    current: LayerPlacements,
    target: LayerPlacements,
    tokens: np.ndarray,
    cfg: ExperimentConfig,
    pending_share: float,
) -> np.ndarray:
    """Return each layer's skew, weighted by the time of each placement.

    ``pending_share`` is the part of the window in which moves are pending
    and the old placement is in force.
    """
    skews = []
    for before, after, loads in zip(current, target, tokens, strict=True):
        value = 0.0
        if pending_share > 0:
            value += pending_share * placements.skew(before, loads, cfg.ranks)
        if pending_share < 1:
            after_skew = placements.skew(after, loads, cfg.ranks)
            value += (1 - pending_share) * after_skew
        skews.append(value)
    return np.array(skews)


def _step_time_ratio(skews: np.ndarray, tokens: np.ndarray) -> float:
    """Return the step time over that of a perfect balance.

    Layers are weighted by their tokens.
    """
    weights = tokens.sum(axis=1)
    return float((skews * weights).sum() / weights.sum())
