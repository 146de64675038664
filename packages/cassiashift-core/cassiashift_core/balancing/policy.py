"""The balancing policy: few moves that pay over a forecast horizon."""

import attrs
import numpy as np

from cassiashift_core.balancing import baselines
from cassiashift_core.balancing import forecasts
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import prices as price_models
from cassiashift_core.balancing import search

FIRST_STEPS = 200
MAX_HORIZON_WINDOWS = 480.0
MAX_STEPS_PER_LAYER = 150
MIN_STEPS_PER_LAYER = 12
STEPS_PER_PLAN = 800


@attrs.frozen(eq=False)
class Plan:
    """Placements to move to, one for each layer.

    Attributes:
        moves: experts that have to be fetched.
        gain: skew that is expected to be saved, summed over the layers.
        reason: why, in words.
    """

    placed: tuple[np.ndarray, ...]
    moves: int
    gain: float
    reason: str


@attrs.define(eq=False)
class CassiashiftPolicy:
    """Plan the moves of one group."""

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
        """Return a policy that has seen no window."""
        filters = [
            forecasts.LoadFilter(MAX_HORIZON_WINDOWS) for _ in range(layers)
        ]
        return cls(ranks, prices, filters)

    def observe(self, tokens: np.ndarray) -> None:
        """Take in a window's tokens, of shape (layers, experts)."""
        for load_filter, row in zip(self.filters, tokens, strict=True):
            load_filter.observe(row)

    def first(self, tokens: np.ndarray) -> tuple[np.ndarray, ...]:
        """Return the first placement, for which moves are free.

        It starts from a repack for the tokens of a window, of shape
        (layers, experts).
        """
        placed = []
        for load_filter, row in zip(self.filters, tokens, strict=True):
            forecast = load_filter.forecast()
            start = baselines.greedy(row, self.ranks)
            layer = search.LayerSearch.from_forecast(
                start, start, self.ranks, forecast, 0.0
            )
            layer.steps(FIRST_STEPS)
            placed.append(layer.placed)
        return tuple(placed)

    def plan(
        self, current: tuple[np.ndarray, ...], max_moves: int | None = None
    ) -> Plan:
        """Return the moves that pay, ordered by gain within a budget.

        Experts without a replica are placed first and whatever the budget.
        """
        limit = np.clip(
            STEPS_PER_PLAN // len(current),
            MIN_STEPS_PER_LAYER,
            MAX_STEPS_PER_LAYER,
        )
        placed, queues, horizon = [], [], 0.0
        for load_filter, base in zip(self.filters, current, strict=True):
            forecast = load_filter.forecast()
            horizon = max(horizon, forecast.horizon)
            start = repaired(base, forecast.mean, self.ranks)
            layer = search.LayerSearch.from_forecast(
                base,
                start,
                self.ranks,
                forecast,
                self.prices.skew_per_move / forecast.horizon,
            )
            queues.append(layer.steps(int(limit)))
            placed.append(start)
        gain = _take_by_gain(placed, queues, current, max_moves)
        moves = _moves(current, placed)
        return Plan(
            placed=tuple(placed),
            moves=moves,
            gain=gain,
            reason=_reason(moves, gain, horizon),
        )


def repaired(
    base: np.ndarray, loads: np.ndarray, ranks: placements.Ranks
) -> np.ndarray:
    """Return a placement without lost ranks and with every expert.

    Ranks without slots give up their experts. An expert that has no replica
    left goes to the coolest rank that has a slot, and otherwise takes the
    slot of the lightest replica that is not the last of its expert.
    """
    placed = base & (ranks.slots > 0)[None, :]
    missing = np.flatnonzero(~placed.any(axis=1))
    for expert in missing[np.argsort(-loads[missing], kind='stable')]:
        free = placed.sum(axis=0) < ranks.slots
        if not free.any():
            _drop_lightest(placed, loads)
            free = placed.sum(axis=0) < ranks.slots
        times = placements.rank_loads(placed, loads, ranks)
        rank = int(np.argmin(np.where(free, times, np.inf)))
        placed[expert, rank] = True
    return placed


def _drop_lightest(placed: np.ndarray, loads: np.ndarray) -> None:
    counts = placed.sum(axis=1)
    weights = np.where(counts >= 2, loads / np.maximum(counts, 1), np.inf)
    expert = int(np.argmin(weights))
    placed[expert, int(np.argmax(placed[expert]))] = False


def _moves(before: tuple[np.ndarray, ...], after: list[np.ndarray]) -> int:
    pairs = zip(before, after, strict=True)
    return sum(placements.moves(one, two) for one, two in pairs)


def _take_by_gain(
    placed: list[np.ndarray],
    queues: list[list[search.Step]],
    current: tuple[np.ndarray, ...],
    max_moves: int | None,
) -> float:
    """Apply steps of all layers, best gain for each move first."""
    gain = 0.0
    left = np.inf if max_moves is None else max_moves
    left -= _moves(current, placed)
    heads = [0] * len(queues)
    while True:
        ready = [
            layer
            for layer, queue in enumerate(queues)
            if heads[layer] < len(queue) and queue[heads[layer]].cost <= left
        ]
        if not ready:
            return gain
        layer = max(ready, key=lambda i: _rate(queues[i][heads[i]]))
        step = queues[layer][heads[layer]]
        heads[layer] += 1
        left -= step.cost
        gain += step.gain
        for expert, rank in step.drops:
            placed[layer][expert, rank] = False
        for expert, rank in step.adds:
            placed[layer][expert, rank] = True


def _rate(step: search.Step) -> float:
    return step.gain / max(step.cost, 0.5)


def _reason(moves: int, gain: float, horizon: float) -> str:
    if not moves:
        return 'no move pays for itself'
    return (
        f'{moves} moves are expected to lower the skew by {gain:.4f} '
        f'for {horizon:.0f} windows'
    )
