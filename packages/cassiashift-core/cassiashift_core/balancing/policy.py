"""The balancing policy: plans the moves that pay over a forecast horizon."""

import attrs
import numpy as np

from cassiashift_core.balancing import baselines
from cassiashift_core.balancing import forecasts
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import prices as price_models
from cassiashift_core.balancing import search

MAX_FIRST_STEPS = 200
MAX_HORIZON_WINDOWS = 480.0
MAX_STEPS_PER_LAYER = 150
MIN_STEPS_PER_LAYER = 12
STEPS_PER_PLAN = 800


@attrs.frozen(eq=False)
class Plan:
    """Planned placements.

    Attributes:
        placed: placement of each layer.
        moves: experts that have to be fetched.
        gain: expected decrease of the skew, summed over the layers.
        reason: explanation of the plan for operators.
    """

    placed: tuple[np.ndarray, ...]
    moves: int
    gain: float
    reason: str


@attrs.define(eq=False)
class CassiashiftPolicy:
    """Plans the moves of one group from its observed loads."""

    ranks: placements.Ranks
    prices: price_models.Prices
    filters: list[forecasts.LoadFilter]

    @classmethod
    def from_config(
        cls,
        ranks: placements.Ranks,
        prices: price_models.Prices,
        layers: int,
    ) -> 'CassiashiftPolicy':
        """Return a policy without observed windows."""
        filters = [
            forecasts.LoadFilter(MAX_HORIZON_WINDOWS) for _ in range(layers)
        ]
        return cls(ranks, prices, filters)

    def observe(self, tokens: np.ndarray) -> None:
        """Update the forecasts with a window's (layers, experts) tokens."""
        for load_filter, row in zip(self.filters, tokens, strict=True):
            load_filter.observe(row)

    def first_placements(self, tokens: np.ndarray) -> tuple[np.ndarray, ...]:
        """Return a placement for each layer, as if moves cost nothing.

        The search starts from a repack for the tokens of a window, of shape
        (layers, experts), which must have been observed.
        """
        placed = []
        for load_filter, row in zip(self.filters, tokens, strict=True):
            forecast = load_filter.forecast()
            start = baselines.greedy(row, self.ranks)
            layer = search.LayerSearch.from_forecast(
                start, start, self.ranks, forecast, 0.0
            )
            layer.find_steps(MAX_FIRST_STEPS)
            placed.append(layer.placed)
        return tuple(placed)

    def plan(
        self, current: tuple[np.ndarray, ...], max_moves: int | None = None
    ) -> Plan:
        """Plan the moves that pay, at most ``max_moves`` by best gain.

        Experts without a replica are placed first, even beyond that limit.
        """
        limit = np.clip(
            STEPS_PER_PLAN // len(current),
            MIN_STEPS_PER_LAYER,
            MAX_STEPS_PER_LAYER,
        )
        placed, queues, horizon_windows = [], [], 0.0
        for load_filter, base in zip(self.filters, current, strict=True):
            forecast = load_filter.forecast()
            horizon_windows = max(horizon_windows, forecast.horizon_windows)
            start = repair_placement(base, forecast.mean, self.ranks)
            layer = search.LayerSearch.from_forecast(
                base,
                start,
                self.ranks,
                forecast,
                self.prices.skew_per_move / forecast.horizon_windows,
            )
            queues.append(layer.find_steps(int(limit)))
            placed.append(start)
        gain = _apply_steps_by_gain(placed, queues, current, max_moves)
        moves = _count_moves(current, placed)
        return Plan(
            placed=tuple(placed),
            moves=moves,
            gain=gain,
            reason=_explain(moves, gain, horizon_windows),
        )


def repair_placement(
    base: np.ndarray, loads: np.ndarray, ranks: placements.Ranks
) -> np.ndarray:
    """Return the placement on usable ranks, with a replica of every expert.

    Ranks without slots lose their experts. An expert without a replica goes
    to the rank with a free slot and the shortest step time, or else replaces
    the lightest replica that is not the last of its expert.
    """
    placed = base & (ranks.slots > 0)[None, :]
    missing = np.flatnonzero(~placed.any(axis=1))
    for expert in missing[np.argsort(-loads[missing], kind='stable')]:
        free = placed.sum(axis=0) < ranks.slots
        if not free.any():
            _drop_lightest_replica(placed, loads)
            free = placed.sum(axis=0) < ranks.slots
        times = placements.rank_loads(placed, loads, ranks)
        rank = int(np.argmin(np.where(free, times, np.inf)))
        placed[expert, rank] = True
    return placed


def _drop_lightest_replica(placed: np.ndarray, loads: np.ndarray) -> None:
    counts = placed.sum(axis=1)
    weights = np.where(counts >= 2, loads / np.maximum(counts, 1), np.inf)
    expert = int(np.argmin(weights))
    placed[expert, int(np.argmax(placed[expert]))] = False


def _count_moves(
    before: tuple[np.ndarray, ...], after: list[np.ndarray]
) -> int:
    pairs = zip(before, after, strict=True)
    return sum(placements.count_moves(old, new) for old, new in pairs)


def _apply_steps_by_gain(
    placed: list[np.ndarray],
    queues: list[list[search.Step]],
    current: tuple[np.ndarray, ...],
    max_moves: int | None,
) -> float:
    """Apply the steps of all layers to ``placed``, best gain per move first.

    The steps of a layer are applied in the order of its queue. Returns the
    sum of the gains.
    """
    gain = 0.0
    moves_left = np.inf if max_moves is None else max_moves
    moves_left -= _count_moves(current, placed)
    positions = [0] * len(queues)
    while True:
        affordable = [
            layer
            for layer, queue in enumerate(queues)
            if positions[layer] < len(queue)
            and queue[positions[layer]].cost <= moves_left
        ]
        if not affordable:
            return gain
        layer = max(
            affordable, key=lambda i: _gain_per_move(queues[i][positions[i]])
        )
        step = queues[layer][positions[layer]]
        positions[layer] += 1
        moves_left -= step.cost
        gain += step.gain
        for expert, rank in step.drops:
            placed[layer][expert, rank] = False
        for expert, rank in step.adds:
            placed[layer][expert, rank] = True


def _gain_per_move(step: search.Step) -> float:
    return step.gain / max(step.cost, 0.5)


def _explain(moves: int, gain: float, horizon_windows: float) -> str:
    if not moves:
        return 'no move pays for itself'
    return (
        f'{moves} moves are expected to lower the skew by {gain:.4f} '
        f'for {horizon_windows:.0f} windows'
    )
