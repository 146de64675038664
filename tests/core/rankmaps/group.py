"""A group of engines that carries orders out late, and its agents."""

import heapq
import itertools
import random

import attrs

from cassiashift_core import rankmaps

PASS_S = 0.04
HOP_S = 0.002
# Orders that get no answer are carried out after this many seconds.
LATE_S = (0.2, 4.0)


class TwoMapsError(AssertionError):
    """A pass began while two ranks had different maps."""


@attrs.define
class Rank:
    """An engine's state, by the rules of the platform."""

    map_version: int = 0
    lists: object = None
    prepared: tuple[int, object] | None = None
    highest: int = 0
    armed: rankmaps.Armed | None = None
    held: int | None = None


@attrs.define
class Group:
    """Ranks in lock-step on a simulated clock."""

    size: int
    late: float
    rng: random.Random
    now: float = 0.0
    step: int = 0
    epoch: int = 1
    ranks: list[Rank] = attrs.field(init=False)
    begun: list[tuple[int, int]] = attrs.field(factory=list)
    stalled_s: float = 0.0
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        """Start on map 0."""
        self.ranks = [Rank() for _ in range(self.size)]
        self.after(PASS_S, self._pass)

    def after(self, delay_s, action):
        """Do something later."""
        row = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, row)

    def run(self, until):
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def form_anew(self):
        """Lose a rank and open again in a new epoch."""
        self.epoch += 1
        self.ranks = [Rank() for _ in range(self.size)]

    def report(self, number):
        """Return a rank's fresh report."""
        rank = self.ranks[number]
        return rankmaps.RankReport(
            'g',
            self.epoch,
            number,
            self.size,
            True,
            self.step,
            rank.map_version,
            rank.prepared[0] if rank.prepared else None,
            rank.armed,
            rank.held,
            running=3,
        )

    def give(self, order, answered):
        """Give an order; it may be carried out late and unanswered."""
        if self.rng.random() < self.late:
            delay = self.rng.uniform(*LATE_S)
            self.after(delay, lambda: self.carry_out(order))
            self.after(0.1, answered)
            return
        self.carry_out(order)
        self.after(HOP_S, answered)

    def carry_out(self, order):
        """Change a rank's state; tell whether the order is confirmed."""
        if order.epoch != self.epoch:
            return False
        method = getattr(self, f'_{order.kind.value}')
        return method(self.ranks[order.rank], order)

    def _prepare(self, rank, order):
        if rank.prepared and rank.prepared[0] == order.version:
            return True
        if order.version <= rank.highest or rank.armed is not None:
            return False
        rank.highest = order.version
        rank.prepared = (order.version, order.lists)
        return True

    def _hold(self, rank, order):
        if rank.held == order.step:
            return True
        if rank.held is not None or order.step <= self.step:
            return False
        rank.held = order.step
        return True

    def _go(self, rank, order):
        if rank.held == order.step:
            rank.held = None
        return True

    def _arm(self, rank, order):
        is_prepared = rank.prepared and rank.prepared[0] == order.version
        if not is_prepared or order.step <= self.step:
            return False
        rank.armed = rankmaps.Armed(order.version, order.step)
        return True

    def _disarm(self, rank, order):
        # A version that is not armed counts as disarmed.
        if rank.armed and rank.armed.version == order.version:
            rank.armed = None
        return True

    def _pass(self):
        self.after(PASS_S, self._pass)
        following = self.step + 1
        if any(rank.held == following for rank in self.ranks):
            self.stalled_s += PASS_S
            return
        self.step = following
        for rank in self.ranks:
            if rank.armed and rank.armed.step <= following:
                rank.map_version, rank.lists = rank.prepared
                rank.prepared = rank.armed = None
        maps = {(rank.map_version, rank.lists) for rank in self.ranks}
        if len(maps) != 1:
            raise TwoMapsError(f'pass {following}: {sorted(maps)}')
        self.begun.append((following, self.ranks[0].map_version))


@attrs.define
class Agents:
    """Agents that pass a coordinator's orders on to the ranks.

    Attributes:
        lossy: share of messages between agents that are lost.
    """

    group: Group
    lossy: float = 0.0

    def drive(self, machine, until, is_alive=lambda: True):
        """Let a machine give its orders until it is over or dead."""

        def turn():
            if machine.is_over or not is_alive():
                return
            self._give_due(machine, is_alive)
            self.group.after(0.05, turn)

        turn()
        self.group.run(until)

    def _give_due(self, machine, is_alive):
        if not machine.is_over:
            for order in machine.orders(self.group.now):
                self._send(machine, order, is_alive)

    def _send(self, machine, order, is_alive):
        rng = self.group.rng

        def answered():
            if rng.random() < self.lossy:
                return
            report = self.group.report(order.rank)

            def told():
                if is_alive():
                    machine.report(report, self.group.now)
                    self._give_due(machine, is_alive)

            self.group.after(HOP_S, told)

        if rng.random() >= self.lossy:
            self.group.after(HOP_S, lambda: self.group.give(order, answered))


def lists(name, size):
    """Return a map of one set; the name makes its content differ."""
    return (tuple((name * size + rank,) for rank in range(size)),)


def switch(group, version, name, rank=0):
    """Return a switch that begins now."""
    return rankmaps.Switch(
        epoch=group.epoch,
        size=group.size,
        own_rank=rank,
        version=version,
        lists=lists(name, group.size),
        former=lists(0, group.size),
        started_at=group.now,
    )


def recovery(group, version, guard):
    """Return a recovery that begins now."""
    held = [rank.held for rank in group.ranks if rank.held is not None]
    return rankmaps.Recovery(
        epoch=group.epoch,
        size=group.size,
        guard_rank=guard,
        version=version,
        lists=lists(0, group.size),
        step=min(held),
        reports={rank: group.report(rank) for rank in range(group.size)},
    )
