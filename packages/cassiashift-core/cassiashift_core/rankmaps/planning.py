"""Finds a map that evens out the ranks with few copied experts.

A pass waits in each set for the most loaded rank, so the aim is the load of
that rank. The search replaces the maximum by a power mean, which also falls
when one of several hot ranks is relieved, and takes the best of a few local
steps until none pays for the experts that it copies.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from cassiashift_core.rankmaps import model

# Exponent of the power mean; higher ones follow the maximum more closely
# but see no progress while several ranks are equally hot.
POWER = 8
# Fall of the power mean in one set, in shares of the mean load, that one
# copied expert has to bring in a group without a free slot. Copies take 50 ms
# each, slow the passes meanwhile and are charged; a fall of 1% in one of six
# sets shortens a pass by 0.15%.
GAIN_PER_COPY = 0.01
# Fall of the skew, averaged over the sets, that makes a switch worth while at
# full pressure.
LEAST_GAIN = 0.12
# Below this share of taken slots, and below this pressure, groups are treated
# alike.
LEAST_USE = 0.2
# Copies of a rank in one plan. They follow one another, 50 ms each, and
# popularity moves every few seconds: the rest comes with the next plan.
MAX_COPIES = 6
MAX_STEPS = 40
HOT_RANKS = 2
COOL_RANKS = 3
EXPERTS_TRIED = 6


@attrs.frozen
class Plan:
    """A map and what is expected of it.

    Attributes:
        copies: experts that ranks have to copy.
        before: load of the hottest rank against the mean, averaged over the
            sets, on the map in use.
        after: the same on the new map.
    """

    lists: model.ExpertLists
    copies: int
    before: float
    after: float

    @property
    def gain(self) -> float:
        """Return how far the skew is expected to fall."""
        return self.before - self.after


def least_gain(pressure: float) -> float:
    """Return the fall of the skew that makes a switch worth while.

    Shorter passes help callers as far as requests wait for them or streams
    are late: the bound falls with the square of the pressure.

    Args:
        pressure: how much shorter passes are worth, 0 to 1.
    """
    return LEAST_GAIN / max(pressure, LEAST_USE) ** 2


def plan(
    current: model.ExpertLists,
    loads: list[list[float]],
    shape: model.GroupShape,
    use: float = 1.0,
) -> Plan:
    """Return a map for the given loads, close to the current one.

    Args:
        loads: choices for each set and expert.
        use: share of the group's slots that are taken, 0 to 1.
    """
    price = GAIN_PER_COPY / max(use, LEAST_USE)
    searches = [
        _SetSearch.from_lists(lists, weights, shape, price)
        for lists, weights in zip(current, loads, strict=True)
    ]
    before = sum(search.skew() for search in searches)
    copied = [0] * shape.ranks
    for search in sorted(searches, key=_SetSearch.skew, reverse=True):
        search.copied = copied
        search.run()
        copied = [
            old + new for old, new in zip(copied, search.copies, strict=True)
        ]
    after = sum(search.skew() for search in searches)
    rows = tuple(
        tuple(tuple(sorted(row)) for row in search.held) for search in searches
    )
    return Plan(rows, sum(copied), before / shape.sets, after / shape.sets)


@attrs.frozen
class _Step:
    """Experts that ranks gain and lose together."""

    adds: tuple[tuple[int, int], ...]
    drops: tuple[tuple[int, int], ...]


@attrs.define
class _SetSearch:
    """The search in one set.

    Attributes:
        held: experts of each rank.
        holders: ranks of each expert.
        loads: load of each rank, in shares of the mean.
        copies: experts that each rank has to copy.
        copied: experts that each rank has to copy for other sets.
        price: fall of the power mean that one copy has to bring.
    """

    base: list[frozenset[int]]
    weights: list[float]
    shape: model.GroupShape
    price: float
    held: list[set[int]]
    holders: list[set[int]]
    loads: list[float]
    copies: list[int]
    copied: list[int]

    @classmethod
    def from_lists(
        cls,
        lists: tuple[tuple[int, ...], ...],
        weights: list[float],
        shape: model.GroupShape,
        price: float,
    ) -> '_SetSearch':
        """Return a search that starts at a map."""
        mean = sum(weights) / shape.ranks or 1.0
        search = cls(
            base=[frozenset(row) for row in lists],
            weights=[weight / mean for weight in weights],
            shape=shape,
            price=price,
            held=[set(row) for row in lists],
            holders=[set() for _ in weights],
            loads=[0.0] * shape.ranks,
            copies=[0] * shape.ranks,
            copied=[0] * shape.ranks,
        )
        for rank, row in enumerate(lists):
            for expert in row:
                search.holders[expert].add(rank)
        for rank in range(shape.ranks):
            search.loads[rank] = search._load_of(rank)
        return search

    def skew(self) -> float:
        """Return the load of the hottest rank against the mean."""
        return max(self.loads)

    def run(self) -> None:
        """Take the best step until none pays."""
        for _ in range(MAX_STEPS):
            best, best_gain = None, 0.0
            for step in self._steps():
                gain = self._gain(step) - self.price * self._cost(step)
                if gain > best_gain:
                    best, best_gain = step, gain
            if best is None:
                return
            self._take(best)

    def _load_of(self, rank: int) -> float:
        return sum(
            self.weights[expert] / len(self.holders[expert])
            for expert in self.held[rank]
        )

    def _steps(self) -> Iterator[_Step]:
        order = sorted(range(self.shape.ranks), key=self.loads.__getitem__)
        cool = order[:COOL_RANKS]
        for hot in order[-HOT_RANKS:]:
            ranked = sorted(self.held[hot], key=self._share, reverse=True)
            for expert in ranked[:EXPERTS_TRIED]:
                for target in cool:
                    if target != hot and expert not in self.held[target]:
                        yield from self._steps_to(hot, expert, target)

    def _steps_to(self, hot: int, expert: int, target: int) -> Iterator[_Step]:
        add = (target, expert)
        if len(self.held[target]) < self.shape.placements:
            yield _Step((add,), ())
            yield _Step((add,), ((hot, expert),))
            return
        for other in self.held[target]:
            if len(self.holders[other]) > 1:
                yield _Step((add,), ((target, other),))
            elif other not in self.held[hot]:
                swap = ((hot, expert), (target, other))
                yield _Step((add, (hot, other)), swap)

    def _share(self, expert: int) -> float:
        return self.weights[expert] / len(self.holders[expert])

    def _cost(self, step: _Step) -> int:
        return sum(expert not in self.base[rank] for rank, expert in step.adds)

    def _gain(self, step: _Step) -> float:
        """Return how far the power mean falls; negative if not allowed."""
        new = dict.fromkeys((rank for rank, _ in step.adds), 0)
        for rank, expert in step.adds:
            new[rank] += expert not in self.base[rank]
        for rank, count in new.items():
            wanted = self.copies[rank] + count
            if wanted > self.shape.spare:
                return -1.0
            if wanted + self.copied[rank] > MAX_COPIES:
                return -1.0
        changes = self._changes(step)
        return self._mean(()) - self._mean(changes.items())

    def _changes(self, step: _Step) -> dict[int, float]:
        """Return by how much the loads of ranks change."""
        changes: dict[int, float] = {}
        experts = {expert for _, expert in step.adds + step.drops}
        for expert in experts:
            old = self.holders[expert]
            new = set(old)
            new.update(r for r, e in step.adds if e == expert)
            new.difference_update(r for r, e in step.drops if e == expert)
            weight = self.weights[expert]
            for rank in old | new:
                change = (weight / len(new) if rank in new else 0.0) - (
                    weight / len(old) if rank in old else 0.0
                )
                changes[rank] = changes.get(rank, 0.0) + change
        return changes

    def _mean(self, changes: Iterable[tuple[int, float]]) -> float:
        total = sum(load**POWER for load in self.loads)
        for rank, change in changes:
            load = self.loads[rank]
            total += max(0.0, load + change) ** POWER - load**POWER
        return max(0.0, total / self.shape.ranks) ** (1 / POWER)

    def _take(self, step: _Step) -> None:
        for rank, change in self._changes(step).items():
            self.loads[rank] += change
        for rank, expert in step.adds:
            self.held[rank].add(expert)
            self.holders[expert].add(rank)
            self.copies[rank] += expert not in self.base[rank]
        for rank, expert in step.drops:
            self.held[rank].discard(expert)
            self.holders[expert].discard(rank)
            self.copies[rank] -= expert not in self.base[rank]
