"""Local search for one layer's placement against a forecast.

The expected load of the hottest rank is replaced by a smooth upper bound,
``log(sum(exp(sharpness * load))) / sharpness``. For independent normal loads
its expectation needs only the mean and the variance of each rank, so that a
candidate costs a few products instead of a set of sampled forecasts.
"""

import attrs
import numpy as np

from cassiashift_core.balancing import forecasts
from cassiashift_core.balancing import placements

HOT_RANKS = 4
MAX_EXPONENT = 300.0
MAX_RELIEF = 1.0 - 1e-12
MAX_SHARPNESS = 400.0
MIN_GAIN = 1e-5
MIN_SHARPNESS = 8.0
SHARPNESS_DEVIATIONS = 1.2

Slot = tuple[int, int]


@attrs.frozen
class Step:
    """A change of a placement that is taken whole.

    Attributes:
        drops: pairs of an expert and the rank that gives it up.
        adds: pairs of an expert and the rank that fetches or keeps it.
        cost: experts that have to be fetched for it.
        gain: expected skew that it saves in each window.
    """

    drops: tuple[Slot, ...]
    adds: tuple[Slot, ...]
    cost: int
    gain: float


@attrs.define(eq=False)
class LayerSearch:
    """Search steps from a placement, best first.

    Attributes:
        base: the placement in force, against which moves are counted.
        price: skew in each window that one move has to save.
    """

    base: np.ndarray
    ranks: placements.Ranks
    price: float
    placed: np.ndarray
    mean: np.ndarray
    variance: np.ndarray
    scale: np.ndarray
    sharpness: float = MIN_SHARPNESS
    counts: np.ndarray = attrs.field(init=False)
    fetched: np.ndarray = attrs.field(init=False)
    factors: np.ndarray = attrs.field(init=False)
    exponents: np.ndarray = attrs.field(init=False)
    terms: np.ndarray = attrs.field(init=False)
    top: float = attrs.field(init=False)
    total: float = attrs.field(init=False)

    @classmethod
    def from_forecast(
        cls,
        base: np.ndarray,
        placed: np.ndarray,
        ranks: placements.Ranks,
        forecast: forecasts.Forecast,
        price: float,
    ) -> 'LayerSearch':
        """Return a search that starts at ``placed``."""
        even = placements.even_time(forecast.mean, ranks)
        search = cls(
            base=base,
            ranks=ranks,
            price=price,
            placed=placed.copy(),
            mean=forecast.mean / even,
            variance=forecast.variance / even**2,
            scale=1.0 / ranks.speed,
        )
        search.fetched = (~base).astype(float)
        search._set_sharpness()
        search.factors = np.empty(placed.shape[::-1])
        search._refresh(np.arange(len(placed)))
        return search

    def steps(self, limit: int) -> list[Step]:
        """Take the steps that pay for their moves, up to a number."""
        taken = []
        while len(taken) < limit:
            step = self._best()
            gain = 0.0 if step is None else self._take(step)
            if gain <= 0.0:
                break
            taken.append(attrs.evolve(step, gain=gain))
        return taken

    def expected_skew(self) -> float:
        """Return the smooth bound of the hottest rank's expected load."""
        total = np.exp(self.exponents - self.top).sum()
        return float((np.log(total) + self.top) / self.sharpness)

    def _set_sharpness(self) -> None:
        replicas = np.maximum(self.placed.sum(axis=1), 1)
        spread = (self.variance / replicas**2) @ self.placed
        usable = self.ranks.slots > 0
        deviation = np.sqrt(np.mean((spread * self.scale**2)[usable]))
        sharpness = np.clip(
            SHARPNESS_DEVIATIONS / max(deviation, 1e-9),
            MIN_SHARPNESS,
            MAX_SHARPNESS,
        )
        heaviest = (self.mean / replicas).max() * self.scale.max()
        self.sharpness = float(min(sharpness, MAX_EXPONENT / heaviest))

    def _refresh(self, experts: np.ndarray) -> None:
        """Recompute what changed replicas of experts touch."""
        self.counts = self.placed.sum(axis=1)
        replicas = np.maximum(self.counts, 1)
        linear = self.sharpness * self.mean / replicas
        square = self.sharpness**2 / 2.0 * self.variance / replicas**2
        self.exponents = (linear @ self.placed) * self.scale
        self.exponents += (square @ self.placed) * self.scale**2
        self.factors[:, experts] = self._factors(0, experts)
        self.top = self.exponents.max()
        self.terms = np.exp(self.exponents - self.top)
        self.total = self.terms.sum()

    def _take(self, step: Step) -> float:
        """Take a step if it pays, and return its gain, else zero."""
        before = self.expected_skew()
        slots = step.drops + step.adds
        touched = np.unique([expert for expert, _ in slots])
        for expert, rank in step.drops:
            self.placed[expert, rank] = False
        for expert, rank in step.adds:
            self.placed[expert, rank] = True
        self._refresh(touched)
        gain = before - self.expected_skew()
        if gain > max(MIN_GAIN, self.price * step.cost):
            return gain
        for expert, rank in step.adds:
            self.placed[expert, rank] = False
        for expert, rank in step.drops:
            self.placed[expert, rank] = True
        self._refresh(touched)
        return 0.0

    def _best(self) -> Step | None:
        experts, ranks = np.nonzero(self.placed)
        hot = np.argsort(-self.terms, kind='stable')[:HOT_RANKS]
        items = np.flatnonzero(np.isin(ranks, hot))
        found = [
            self._best_swap(experts, ranks, items),
            self._best_replacement(experts, ranks, items),
            self._best_addition(),
        ]
        steps = [step for step in found if step is not None]
        return max(steps, key=self._profit, default=None)

    def _profit(self, step: Step) -> float:
        return step.gain - self.price * step.cost

    def _factors(self, extra: int, experts: np.ndarray) -> np.ndarray:
        """Return how replicas of experts multiply each rank's term.

        The shape is (ranks, experts); the replicas of an expert are counted
        with ``extra`` more.
        """
        replicas = np.maximum(self.counts[experts] + extra, 1)
        half = self.sharpness**2 / 2.0
        linear = self.sharpness * self.mean[experts] / replicas
        square = half * self.variance[experts] / replicas**2
        exponent = np.outer(self.scale, linear)
        exponent += np.outer(self.scale**2, square)
        return np.exp(np.minimum(exponent, MAX_EXPONENT))

    def _gains(self, change: np.ndarray) -> np.ndarray:
        """Return the gains of changes of the sum of all terms."""
        left = np.maximum(change / self.total, -MAX_RELIEF)
        return np.log1p(left) * (-1.0 / self.sharpness)

    def _pick(self, gains, costs, allowed):
        """Return the index of the candidate with the best profit."""
        profit = np.where(allowed, gains - self.price * costs, -np.inf)
        best = np.unravel_index(np.argmax(profit), profit.shape)
        return best if profit[best] > MIN_GAIN else None

    def _best_swap(self, experts, ranks, items) -> Step | None:
        """Return the best exchange between a hot rank and a cooler one."""
        cool = self.terms <= np.median(self.terms)
        partners = np.flatnonzero(cool[ranks])
        theirs, there = experts[partners], ranks[partners]
        mine, here = experts[items], ranks[items]
        grown = self.factors[here][:, theirs]
        grown /= self.factors[here, mine][:, None]
        change = (grown - 1.0) * self.terms[here][:, None]
        grown = self.factors.T[mine][:, there]
        grown /= self.factors[there, theirs][None, :]
        change += (grown - 1.0) * self.terms[there][None, :]
        fetched = self.fetched
        costs = fetched.T[here][:, theirs] + fetched[mine][:, there]
        costs -= fetched[mine, here][:, None]
        costs -= fetched[theirs, there][None, :]
        taken = self.placed.T[here][:, theirs]
        allowed = ~(taken | self.placed[mine][:, there])
        gains = self._gains(change)
        best = self._pick(gains, costs, allowed)
        if best is None:
            return None
        first, second = items[best[0]], partners[best[1]]
        one = (int(experts[first]), int(ranks[first]))
        two = (int(experts[second]), int(ranks[second]))
        return Step(
            drops=(one, two),
            adds=((two[0], one[1]), (one[0], two[1])),
            cost=int(costs[best]),
            gain=float(gains[best]),
        )

    def _relief(self, more: np.ndarray, experts: np.ndarray) -> np.ndarray:
        """Return the change on experts' ranks for one more replica."""
        ratio = more / self.factors[:, experts] - 1.0
        return (self.placed[experts].T * ratio * self.terms[:, None]).sum(0)

    def _burden(self, old: np.ndarray, here: np.ndarray) -> np.ndarray:
        """Return the change on experts' other ranks for one fewer."""
        fewer = self._factors(-1, old)
        ratio = fewer / self.factors[:, old] - 1.0
        others = self.placed[old].T.copy()
        others[here, np.arange(len(old))] = False
        return (others * ratio * self.terms[:, None]).sum(0)

    def _best_replacement(self, experts, ranks, items) -> Step | None:
        """Return the best spare replica to give to a hot rank's expert."""
        spare = np.flatnonzero(self.counts[experts] >= 2)
        if not len(spare):
            return None
        old, here = experts[spare], ranks[spare]
        new = np.unique(experts[items])
        more = self._factors(1, new)
        change = more[here] / self.factors[here, old][:, None]
        change = (change - 1.0) * self.terms[here][:, None]
        change += self._burden(old, here)[:, None]
        change += self._relief(more, new)[None, :]
        costs = self.fetched.T[here][:, new]
        costs = costs - self.fetched[old, here][:, None]
        gains = self._gains(change)
        best = self._pick(gains, costs, ~self.placed.T[here][:, new])
        if best is None:
            return None
        rank = int(here[best[0]])
        return Step(
            drops=((int(old[best[0]]), rank),),
            adds=((int(new[best[1]]), rank),),
            cost=int(costs[best]),
            gain=float(gains[best]),
        )

    def _best_addition(self) -> Step | None:
        """Return the best use of a free slot."""
        free = np.flatnonzero(self.placed.sum(axis=0) < self.ranks.slots)
        if not len(free):
            return None
        everyone = np.arange(len(self.counts))
        more = self._factors(1, everyone)
        change = (more[free] - 1.0) * self.terms[free][:, None]
        change += self._relief(more, everyone)[None, :]
        costs = self.fetched.T[free]
        gains = self._gains(change)
        best = self._pick(gains, costs, ~self.placed.T[free])
        if best is None:
            return None
        slot = (int(best[1]), int(free[best[0]]))
        return Step((), (slot,), int(costs[best]), float(gains[best]))
