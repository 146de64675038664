"""Local search for one layer's placement, given a forecast of the loads.

The objective is a smooth upper bound of the hottest rank's expected load,
``log(sum(exp(sharpness * load))) / sharpness``. For independent normal loads
its expectation needs only the mean and the variance of each rank, so that a
candidate is evaluated by a few products instead of sampled forecasts.
"""

import attrs
import numpy as np

from cassiashift_core.balancing import forecasts
from cassiashift_core.balancing import placements

HOT_RANK_COUNT = 4
MAX_EXPONENT = 300.0
MAX_RELATIVE_DECREASE = 1.0 - 1e-12
MAX_SHARPNESS = 400.0
MIN_GAIN = 1e-5
MIN_SHARPNESS = 8.0
SHARPNESS_DEVIATIONS = 1.2

Assignment = tuple[int, int]  # expert and rank


@attrs.frozen
class Step:
    """A change of a placement that is applied as a whole.

    Attributes:
        drops: pairs of an expert and the rank that loses it.
        adds: pairs of an expert and the rank that gets it.
        cost: added fetches against the placement in force; may be negative.
        gain: expected decrease of the skew in each window.
    """

    drops: tuple[Assignment, ...]
    adds: tuple[Assignment, ...]
    cost: int
    gain: float


@attrs.define(eq=False)
class LayerSearch:
    """Greedy search of steps from a placement; updates it in place.

    All arrays of experts, ranks or both follow the order of the placement;
    loads are relative to the step time of a perfect balance.

    Attributes:
        base: placement in force, against which moves are counted.
        price: decrease of the skew in each window that pays for one move.
        placed: placement after the steps found so far.
        mean: expected load of each expert.
        variance: variance of each expert's load.
        inverse_speed: inverse speed of each rank.
        replica_counts: replicas of each expert.
        fetch_cost: 1.0 where a replica would have to be fetched, else 0.0.
        factors: factor by which a replica multiplies the term of a rank, of
            shape (ranks, experts).
        exponents: exponent of each rank in the objective.
        rank_terms: exponential of each rank's exponent less
            ``highest_exponent``.
        highest_exponent: subtracted so that no term overflows.
        terms_sum: sum of the terms.
    """

    base: np.ndarray
    ranks: placements.Ranks
    price: float
    placed: np.ndarray
    mean: np.ndarray
    variance: np.ndarray
    inverse_speed: np.ndarray
    sharpness: float = MIN_SHARPNESS
    replica_counts: np.ndarray = attrs.field(init=False)
    fetch_cost: np.ndarray = attrs.field(init=False)
    factors: np.ndarray = attrs.field(init=False)
    exponents: np.ndarray = attrs.field(init=False)
    rank_terms: np.ndarray = attrs.field(init=False)
    highest_exponent: float = attrs.field(init=False)
    terms_sum: float = attrs.field(init=False)

    @classmethod
    def from_forecast(
        cls,
        base: np.ndarray,
        placed: np.ndarray,
        ranks: placements.Ranks,
        forecast: forecasts.Forecast,
        price: float,
    ) -> 'LayerSearch':
        """Return a search that starts at a copy of ``placed``."""
        balanced = placements.balanced_time(forecast.mean, ranks)
        search = cls(
            base=base,
            ranks=ranks,
            price=price,
            placed=placed.copy(),
            mean=forecast.mean / balanced,
            variance=forecast.variance / balanced**2,
            inverse_speed=1.0 / ranks.speed,
        )
        search.fetch_cost = (~base).astype(float)
        search._set_sharpness()
        search.factors = np.empty(placed.shape[::-1])
        search._refresh(np.arange(len(placed)))
        return search

    def find_steps(self, limit: int) -> list[Step]:
        """Apply and return up to ``limit`` steps that pay for their moves."""
        applied = []
        while len(applied) < limit:
            step = self._best_step()
            gain = 0.0 if step is None else self._try_step(step)
            if gain <= 0.0:
                break
            applied.append(attrs.evolve(step, gain=gain))
        return applied

    def expected_skew(self) -> float:
        """Return the smooth upper bound of the expected skew."""
        total = np.exp(self.exponents - self.highest_exponent).sum()
        return float((np.log(total) + self.highest_exponent) / self.sharpness)

    def _set_sharpness(self) -> None:
        """Set the sharpness from the deviation of the ranks' loads."""
        replicas = np.maximum(self.placed.sum(axis=1), 1)
        spread = (self.variance / replicas**2) @ self.placed
        usable = self.ranks.slots > 0
        deviation = np.sqrt(np.mean((spread * self.inverse_speed**2)[usable]))
        sharpness = np.clip(
            SHARPNESS_DEVIATIONS / max(deviation, 1e-9),
            MIN_SHARPNESS,
            MAX_SHARPNESS,
        )
        heaviest = (self.mean / replicas).max() * self.inverse_speed.max()
        self.sharpness = float(min(sharpness, MAX_EXPONENT / heaviest))

    def _refresh(self, experts: np.ndarray) -> None:
        """Recompute the derived arrays after replicas of experts changed."""
        self.replica_counts = self.placed.sum(axis=1)
        replicas = np.maximum(self.replica_counts, 1)
        linear = self.sharpness * self.mean / replicas
        square = self.sharpness**2 / 2.0 * self.variance / replicas**2
        self.exponents = (linear @ self.placed) * self.inverse_speed
        self.exponents += (square @ self.placed) * self.inverse_speed**2
        self.factors[:, experts] = self._factors(0, experts)
        self.highest_exponent = self.exponents.max()
        self.rank_terms = np.exp(self.exponents - self.highest_exponent)
        self.terms_sum = self.rank_terms.sum()

    def _try_step(self, step: Step) -> float:
        """Apply a step if it pays, and return its gain, else zero."""
        previous_skew = self.expected_skew()
        changes = step.drops + step.adds
        changed_experts = np.unique([expert for expert, _ in changes])
        for expert, rank in step.drops:
            self.placed[expert, rank] = False
        for expert, rank in step.adds:
            self.placed[expert, rank] = True
        self._refresh(changed_experts)
        gain = previous_skew - self.expected_skew()
        if gain > max(MIN_GAIN, self.price * step.cost):
            return gain
        for expert, rank in step.adds:
            self.placed[expert, rank] = False
        for expert, rank in step.drops:
            self.placed[expert, rank] = True
        self._refresh(changed_experts)
        return 0.0

    def _best_step(self) -> Step | None:
        """Return the step with the best estimated profit, if any."""
        experts, ranks = np.nonzero(self.placed)
        hot = np.argsort(-self.rank_terms, kind='stable')[:HOT_RANK_COUNT]
        hot_replicas = np.flatnonzero(np.isin(ranks, hot))
        candidates = [
            self._best_swap(experts, ranks, hot_replicas),
            self._best_replacement(experts, ranks, hot_replicas),
            self._best_addition(),
        ]
        steps = [step for step in candidates if step is not None]
        return max(steps, key=self._profit, default=None)

    def _profit(self, step: Step) -> float:
        return step.gain - self.price * step.cost

    def _factors(self, extra: int, experts: np.ndarray) -> np.ndarray:
        """Return the factors by which replicas multiply each rank's term.

        The shape is (ranks, experts). Experts are assumed to have ``extra``
        more replicas than now.
        """
        replicas = np.maximum(self.replica_counts[experts] + extra, 1)
        half = self.sharpness**2 / 2.0
        linear = self.sharpness * self.mean[experts] / replicas
        square = half * self.variance[experts] / replicas**2
        exponent = np.outer(self.inverse_speed, linear)
        exponent += np.outer(self.inverse_speed**2, square)
        return np.exp(np.minimum(exponent, MAX_EXPONENT))

    def _gains(self, change: np.ndarray) -> np.ndarray:
        """Return the gains for changes of the sum of all terms."""
        relative_change = np.maximum(
            change / self.terms_sum, -MAX_RELATIVE_DECREASE
        )
        return np.log1p(relative_change) * (-1.0 / self.sharpness)

    def _most_profitable(self, gains, costs, allowed):
        """Return the index of the most profitable candidate, if any pays."""
        profit = np.where(allowed, gains - self.price * costs, -np.inf)
        best = np.unravel_index(np.argmax(profit), profit.shape)
        return best if profit[best] > MIN_GAIN else None

    def _best_swap(self, experts, ranks, hot_replicas) -> Step | None:
        """Return the best swap of experts of a hot rank and a cooler one."""
        cool = self.rank_terms <= np.median(self.rank_terms)
        partners = np.flatnonzero(cool[ranks])
        partner_experts, partner_ranks = experts[partners], ranks[partners]
        hot_experts, hot_ranks = experts[hot_replicas], ranks[hot_replicas]
        ratio = self.factors[hot_ranks][:, partner_experts]
        ratio /= self.factors[hot_ranks, hot_experts][:, None]
        change = (ratio - 1.0) * self.rank_terms[hot_ranks][:, None]
        ratio = self.factors.T[hot_experts][:, partner_ranks]
        ratio /= self.factors[partner_ranks, partner_experts][None, :]
        change += (ratio - 1.0) * self.rank_terms[partner_ranks][None, :]
        fetch_cost = self.fetch_cost
        costs = (
            fetch_cost.T[hot_ranks][:, partner_experts]
            + fetch_cost[hot_experts][:, partner_ranks]
        )
        costs -= fetch_cost[hot_experts, hot_ranks][:, None]
        costs -= fetch_cost[partner_experts, partner_ranks][None, :]
        occupied = self.placed.T[hot_ranks][:, partner_experts]
        allowed = ~(occupied | self.placed[hot_experts][:, partner_ranks])
        gains = self._gains(change)
        best = self._most_profitable(gains, costs, allowed)
        if best is None:
            return None
        hot_replica, partner = hot_replicas[best[0]], partners[best[1]]
        hot_assignment = (int(experts[hot_replica]), int(ranks[hot_replica]))
        partner_assignment = (int(experts[partner]), int(ranks[partner]))
        return Step(
            drops=(hot_assignment, partner_assignment),
            adds=(
                (partner_assignment[0], hot_assignment[1]),
                (hot_assignment[0], partner_assignment[1]),
            ),
            cost=int(costs[best]),
            gain=float(gains[best]),
        )

    def _change_of_added_replica(
        self, new_factors: np.ndarray, experts: np.ndarray
    ) -> np.ndarray:
        """Return how one more replica changes the terms of experts' ranks.

        The terms of all ranks that hold an expert are summed.
        """
        ratio = new_factors / self.factors[:, experts] - 1.0
        return (self.placed[experts].T * ratio * self.rank_terms[:, None]).sum(
            0
        )

    def _change_of_dropped_replica(
        self, experts: np.ndarray, ranks: np.ndarray
    ) -> np.ndarray:
        """Return how one fewer replica changes the experts' other ranks.

        Each expert is dropped from one rank; the terms of its other ranks
        are summed.
        """
        new_factors = self._factors(-1, experts)
        ratio = new_factors / self.factors[:, experts] - 1.0
        others = self.placed[experts].T.copy()
        others[ranks, np.arange(len(experts))] = False
        return (others * ratio * self.rank_terms[:, None]).sum(0)

    def _best_replacement(self, experts, ranks, hot_replicas) -> Step | None:
        """Return the best replacement of a spare replica by a hot expert's.

        Spare are replicas of experts that have at least two.
        """
        spare = np.flatnonzero(self.replica_counts[experts] >= 2)
        if not len(spare):
            return None
        spare_experts, spare_ranks = experts[spare], ranks[spare]
        hot_experts = np.unique(experts[hot_replicas])
        new_factors = self._factors(1, hot_experts)
        change = (
            new_factors[spare_ranks]
            / self.factors[spare_ranks, spare_experts][:, None]
        )
        change = (change - 1.0) * self.rank_terms[spare_ranks][:, None]
        change += self._change_of_dropped_replica(spare_experts, spare_ranks)[
            :, None
        ]
        change += self._change_of_added_replica(new_factors, hot_experts)[
            None, :
        ]
        costs = self.fetch_cost.T[spare_ranks][:, hot_experts]
        costs = costs - self.fetch_cost[spare_experts, spare_ranks][:, None]
        gains = self._gains(change)
        best = self._most_profitable(
            gains, costs, ~self.placed.T[spare_ranks][:, hot_experts]
        )
        if best is None:
            return None
        rank = int(spare_ranks[best[0]])
        return Step(
            drops=((int(spare_experts[best[0]]), rank),),
            adds=((int(hot_experts[best[1]]), rank),),
            cost=int(costs[best]),
            gain=float(gains[best]),
        )

    def _best_addition(self) -> Step | None:
        """Return the best additional replica in a free slot."""
        free_ranks = np.flatnonzero(self.placed.sum(axis=0) < self.ranks.slots)
        if not len(free_ranks):
            return None
        all_experts = np.arange(len(self.replica_counts))
        new_factors = self._factors(1, all_experts)
        change = (new_factors[free_ranks] - 1.0) * self.rank_terms[free_ranks][
            :, None
        ]
        change += self._change_of_added_replica(new_factors, all_experts)[
            None, :
        ]
        costs = self.fetch_cost.T[free_ranks]
        gains = self._gains(change)
        best = self._most_profitable(gains, costs, ~self.placed.T[free_ranks])
        if best is None:
            return None
        assignment = (int(best[1]), int(free_ranks[best[0]]))
        return Step((), (assignment,), int(costs[best]), float(gains[best]))
