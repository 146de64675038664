"""Finds a map that balances the ranks with few copied experts.

In each set a pass waits for the most loaded rank, so the aim is to lower the
load of that rank. The load of a rank counts multiplied by its slowdown, which
is the time that the rank takes. The objective is a power mean instead of the
maximum, since it also falls when one of several hot ranks is relieved. The
local search makes the best of a few moves until no move is worth the experts
it copies.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import attrs

from cassiashift_core.rankmaps import model

# Exponent of the power mean. A higher one follows the maximum more closely
# but shows no progress while several ranks are equally hot.
POWER = 8
# Minimum fall of the power mean in one set, as a share of the mean load, per
# copied expert in a group without a free slot. Copies take 50 ms each, slow
# down the passes meanwhile and are charged; a fall of 1% in one of six sets
# shortens a pass by 0.15%.
MIN_GAIN_PER_COPY = 0.01
# Minimum fall of the skew, averaged over the sets, for a switch at pressure 1.
MIN_GAIN = 0.12
# Lower bound of the utilisation and of the pressure in the calculations.
MIN_UTILISATION = 0.2
# Copies of a rank in one plan. They follow one another, 50 ms each, and
# popularity shifts every few seconds: the rest is left to the next plan.
MAX_COPIES_PER_RANK = 6
# Bounds of the search: moves made in a set, and ranks and experts that are
# considered for a move.
MAX_MOVES = 40
HOT_RANKS = 2
COOL_RANKS = 3
EXPERTS_TRIED = 6


@attrs.frozen
class Plan:
    """A map and its expected effect.

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
        """Return the expected fall of the skew."""
        return self.before - self.after


def min_gain(pressure: float) -> float:
    """Return the minimum fall of the skew that justifies a switch.

    Shorter passes help callers only while requests queue or streams are
    late, so the minimum falls with the square of the pressure.

    Args:
        pressure: benefit of shorter passes, 0 to 1.
    """
    return MIN_GAIN / max(pressure, MIN_UTILISATION) ** 2


def plan(
    current: model.ExpertLists,
    loads: list[list[float]],
    shape: model.GroupShape,
    utilisation: float = 1.0,
    slowdowns: Sequence[float] = (),
) -> Plan:
    """Return a map for the given loads, close to the current one.

    Args:
        loads: choices for each set and expert.
        utilisation: share of the group's slots in use, 0 to 1.
        slowdowns: slowdown of each rank relative to the median of the group;
            empty if all ranks are equally fast.
    """
    factors = tuple(slowdowns) or (1.0,) * shape.ranks
    copy_cost = MIN_GAIN_PER_COPY / max(utilisation, MIN_UTILISATION)
    searches = [
        _SetSearch.from_lists(lists, weights, shape, copy_cost, factors)
        for lists, weights in zip(current, loads, strict=True)
    ]
    before = sum(search.skew() for search in searches)
    copies_so_far = [0] * shape.ranks
    for search in sorted(searches, key=_SetSearch.skew, reverse=True):
        search.copies_so_far = copies_so_far
        search.run()
        copies_so_far = [
            old + new
            for old, new in zip(copies_so_far, search.copies, strict=True)
        ]
    after = sum(search.skew() for search in searches)
    rows = tuple(
        tuple(tuple(sorted(row)) for row in search.held) for search in searches
    )
    return Plan(
        rows, sum(copies_so_far), before / shape.sets, after / shape.sets
    )


@attrs.frozen
class _Move:
    """One move of the search.

    Attributes:
        adds: pairs of a rank and an expert that it gains.
        drops: pairs of a rank and an expert that it loses.
    """

    adds: tuple[tuple[int, int], ...]
    drops: tuple[tuple[int, int], ...]


@attrs.define
class _SetSearch:
    """The local search in one set.

    Attributes:
        initial: experts of each rank on the map in use.
        weights: load of each expert, relative to the mean load of a rank.
        held: experts of each rank.
        holders: ranks of each expert.
        slowdowns: slowdown of each rank relative to the median.
        loads: product of load and slowdown of each rank, relative to the mean
            load.
        copies: experts that each rank has to copy.
        copies_so_far: experts that each rank has to copy for the sets searched
            before.
        copy_cost: minimum fall of the power mean per copied expert.
    """

    initial: list[frozenset[int]]
    weights: list[float]
    shape: model.GroupShape
    copy_cost: float
    slowdowns: tuple[float, ...]
    held: list[set[int]]
    holders: list[set[int]]
    loads: list[float]
    copies: list[int]
    copies_so_far: list[int]
    # Sum of the powers of the loads, which all moves of one round are
    # compared with: to sum them up for each move took most of a plan's time.
    _sum: float = 0.0

    @classmethod
    def from_lists(
        cls,
        lists: tuple[tuple[int, ...], ...],
        weights: list[float],
        shape: model.GroupShape,
        copy_cost: float,
        slowdowns: tuple[float, ...],
    ) -> '_SetSearch':
        """Return a search that starts from the map in use."""
        mean = sum(weights) / shape.ranks or 1.0
        search = cls(
            initial=[frozenset(row) for row in lists],
            weights=[weight / mean for weight in weights],
            shape=shape,
            copy_cost=copy_cost,
            slowdowns=slowdowns,
            held=[set(row) for row in lists],
            holders=[set() for _ in weights],
            loads=[0.0] * shape.ranks,
            copies=[0] * shape.ranks,
            copies_so_far=[0] * shape.ranks,
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
        """Make the best move until none is worth its copies."""
        for _ in range(MAX_MOVES):
            self._sum = sum(load**POWER for load in self.loads)
            best, best_gain = None, 0.0
            for move in self._moves():
                gain = self._gain(move) - self.copy_cost * self._copy_count(
                    move
                )
                if gain > best_gain:
                    best, best_gain = move, gain
            if best is None:
                return
            self._apply(best)

    def _load_of(self, rank: int) -> float:
        return self.slowdowns[rank] * sum(
            self.weights[expert] / len(self.holders[expert])
            for expert in self.held[rank]
        )

    def _moves(self) -> Iterator[_Move]:
        """Yield moves of the heaviest experts of hot ranks to cool ranks.

        A slow rank may also drop an expert that has other holders.
        """
        ranks = range(self.shape.ranks)
        cool = sorted(ranks, key=self._load_as_target)[:COOL_RANKS]
        for hot in sorted(ranks, key=self.loads.__getitem__)[-HOT_RANKS:]:
            ranked = sorted(
                self.held[hot], key=self._load_per_holder, reverse=True
            )
            for expert in ranked[:EXPERTS_TRIED]:
                if self._is_slow(hot) and len(self.holders[expert]) > 1:
                    yield _Move((), ((hot, expert),))
                for target in cool:
                    if target != hot and expert not in self.held[target]:
                        yield from self._moves_to(hot, expert, target)

    def _moves_to(self, hot: int, expert: int, target: int) -> Iterator[_Move]:
        """Yield the moves that add an expert of a hot rank to a target rank.

        Into a free place the expert is copied or transferred. Otherwise it
        replaces an expert with other holders, or is swapped for one without.
        A slow rank may lose the expert in both cases.
        """
        add = (target, expert)
        if len(self.held[target]) < self.shape.placements:
            yield _Move((add,), ())
            yield _Move((add,), ((hot, expert),))
            return
        for other in self.held[target]:
            if len(self.holders[other]) > 1:
                yield _Move((add,), ((target, other),))
                if self._is_slow(hot):
                    yield _Move((add,), ((target, other), (hot, expert)))
            elif other not in self.held[hot]:
                swap = ((hot, expert), (target, other))
                yield _Move((add, (hot, other)), swap)

    def _is_slow(self, rank: int) -> bool:
        return self.slowdowns[rank] > 1

    def _load_as_target(self, rank: int) -> float:
        """Return the load by which the ranks that get experts are chosen.

        A slow rank without experts has no load, but would get much of it with
        the first expert.
        """
        return self.loads[rank] + (self.slowdowns[rank] - 1)

    def _load_per_holder(self, expert: int) -> float:
        return self.weights[expert] / len(self.holders[expert])

    def _copy_count(self, move: _Move) -> int:
        return sum(
            expert not in self.initial[rank] for rank, expert in move.adds
        )

    def _gain(self, move: _Move) -> float:
        """Return the fall of the power mean, or -1 if a limit is exceeded."""
        new = dict.fromkeys((rank for rank, _ in move.adds), 0)
        for rank, expert in move.adds:
            new[rank] += expert not in self.initial[rank]
        for rank, count in new.items():
            wanted = self.copies[rank] + count
            if wanted > self.shape.spare:
                return -1.0
            if wanted + self.copies_so_far[rank] > MAX_COPIES_PER_RANK:
                return -1.0
        changes = self._changes(move)
        return self._power_mean(()) - self._power_mean(changes.items())

    def _changes(self, move: _Move) -> dict[int, float]:
        """Return the change of load of each affected rank."""
        changes: dict[int, float] = {}
        experts = {expert for _, expert in move.adds + move.drops}
        for expert in experts:
            old = self.holders[expert]
            new = set(old)
            new.update(r for r, e in move.adds if e == expert)
            new.difference_update(r for r, e in move.drops if e == expert)
            weight = self.weights[expert]
            for rank in old | new:
                change = (weight / len(new) if rank in new else 0.0) - (
                    weight / len(old) if rank in old else 0.0
                )
                changes[rank] = (
                    changes.get(rank, 0.0) + change * self.slowdowns[rank]
                )
        return changes

    def _power_mean(self, changes: Iterable[tuple[int, float]]) -> float:
        total = self._sum
        for rank, change in changes:
            load = self.loads[rank]
            total += max(0.0, load + change) ** POWER - load**POWER
        return max(0.0, total / self.shape.ranks) ** (1 / POWER)

    def _apply(self, move: _Move) -> None:
        for rank, change in self._changes(move).items():
            self.loads[rank] += change
        for rank, expert in move.adds:
            self.held[rank].add(expert)
            self.holders[expert].add(rank)
            self.copies[rank] += expert not in self.initial[rank]
        for rank, expert in move.drops:
            self.held[rank].discard(expert)
            self.holders[expert].discard(rank)
            self.copies[rank] -= expert not in self.initial[rank]
