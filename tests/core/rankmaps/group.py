"""Simulation of agents and of engines that may execute orders late."""

import collections
from collections.abc import Callable
import heapq
import itertools
import math
import random

import attrs

from cassiashift_core import rankmaps

PASS_S = 0.04
HOP_S = 0.002
# Range of the delay, in seconds, after which unanswered orders take effect.
LATE_DELAY_S = (0.2, 4.0)
# Longest age of the state in a report.
MAX_LAG_S = 0.5


class TwoMapsError(AssertionError):
    """A pass began while two ranks used different maps."""


@attrs.define
class Rank:
    """State of one engine, which follows the platform's rules for orders."""

    map_version: int = 0
    lists: object = None
    prepared: tuple[int, object] | None = None
    highest_prepared: int = 0
    armed: rankmaps.Armed | None = None
    held: int | None = None


@attrs.define
class Engines:
    """Engines of a group in lock-step, without a clock.

    Attributes:
        step: the last pass that began.
    """

    size: int
    step: int = attrs.field(default=0, init=False)
    epoch: int = attrs.field(default=1, init=False)
    ranks: list[Rank] = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Start on map 0."""
        self.ranks = [Rank() for _ in range(self.size)]

    @property
    def may_begin_pass(self):
        """Whether no rank holds the next pass."""
        return all(rank.held != self.step + 1 for rank in self.ranks)

    def report_of(self, number, running=0, queued=0, slowdown=1.0):
        """Return the report of a rank."""
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
            running=running,
            queued=queued,
            slowdown=slowdown,
        )

    def carry_out(self, order):
        """Apply an order to its rank; return whether it is confirmed."""
        if order.epoch != self.epoch:
            return False
        method = getattr(self, f'_{order.kind.value}')
        return method(self.ranks[order.rank], order)

    def begin_pass(self):
        """Begin the next pass.

        Raises:
            TwoMapsError: two ranks use different maps.
        """
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed.step <= self.step:
                rank.map_version, rank.lists = rank.prepared
                rank.prepared = rank.armed = None
        maps = {(rank.map_version, rank.lists) for rank in self.ranks}
        if len(maps) != 1:
            raise TwoMapsError(f'pass {self.step}: {sorted(maps)}')

    def complete_copy(self, rank, order):
        """Prepare a map whose experts are copied."""
        if rank.highest_prepared == order.version and rank.armed is None:
            rank.prepared = (order.version, order.lists)

    def _prepare(self, rank, order):
        if rank.prepared and rank.prepared[0] == order.version:
            return True
        if order.version <= rank.highest_prepared or rank.armed is not None:
            return False
        rank.highest_prepared = order.version
        self.complete_copy(rank, order)
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
        # Disarming a version that is not armed is confirmed as well.
        if rank.armed and rank.armed.version == order.version:
            rank.armed = None
        return True


@attrs.define(slots=False)
class Group(Engines):
    """Ranks in lock-step on a simulated clock.

    Attributes:
        late_share: share of orders that get no answer and take effect late.
        begun: number and map version of each pass that began.
        stalled_s: time that passes were held.
        longest_stall_s: the longest time for which one was held.
        has_requests: callers send requests; without any no pass begins.
        idle_ranks: ranks that get no requests.
        patience_s: time without a pass after which callers leave. Requests
            that follow are queued until a pass begins.
        late_delay_s: range of the delay after which orders without an answer
            take effect.
        copy_s: time from the order to prepare a map until that is prepared.
        order_s: time that each order takes until it is carried out and
            answered, as at hosts that are short of processor time.
        lateness_of: called with each order; returns the delay after which
            it takes effect without an answer, or None.
    """

    late_share: float
    rng: random.Random
    now: float = 0.0
    begun: list[tuple[int, int]] = attrs.field(factory=list)
    stalled_s: float = 0.0
    longest_stall_s: float = 0.0
    slowdowns: dict[int, float] = attrs.field(factory=dict)
    has_requests: bool = True
    idle_ranks: frozenset = frozenset()
    patience_s: float = math.inf
    late_delay_s: tuple[float, float] = LATE_DELAY_S
    copy_s: float = 0.0
    order_s: float = 0.0
    lateness_of: Callable = lambda order: None
    _passed_at: float = 0.0
    _history: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        """Start on map 0 and schedule the passes."""
        super().__attrs_post_init__()
        self.call_later(PASS_S, self._pass)

    def call_later(self, delay_s, action):
        """Schedule a call on the simulated clock."""
        row = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, row)

    def run(self, until):
        """Run the scheduled calls up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def re_form(self):
        """Start a new epoch with map 0, as after the loss of a rank."""
        self.epoch += 1
        self.ranks = [Rank() for _ in range(self.size)]

    def report(self, number, lag_s=0.0):
        """Return the report of a rank.

        Args:
            lag_s: age of the state in the report.
        """
        if lag_s:
            for at, report in reversed(self._history[number]):
                if at <= self.now - lag_s:
                    return report
        return self._current_report(number)

    def _current_report(self, number):
        is_running = self.now - self._passed_at < self.patience_s
        has_requests = self.has_requests and number not in self.idle_ranks
        requests = 3 if has_requests else 0
        return self.report_of(
            number,
            running=requests if is_running else 0,
            queued=0 if is_running else requests,
            slowdown=self.slowdowns.get(number, 1.0),
        )

    def send_order(self, order, on_answered):
        """Execute an order; at random, late and without an answer.

        Args:
            on_answered: called with whether the order was confirmed, or with
                None if there was no answer.
        """
        delay = self.lateness_of(order)
        if delay is None and self.rng.random() < self.late_share:
            delay = self.rng.uniform(*self.late_delay_s)
        if delay is not None:
            self.call_later(delay, lambda: self.carry_out(order))
            self.call_later(0.1, lambda: on_answered(None))
            return
        if self.order_s:
            self.call_later(
                self.order_s, lambda: self._answer(order, on_answered)
            )
            return
        self._answer(order, on_answered)

    def _answer(self, order, on_answered):
        is_confirmed = self.carry_out(order)
        self.call_later(HOP_S, lambda: on_answered(is_confirmed))

    def carry_out(self, order):
        """Apply an order to its rank; return whether it is confirmed."""
        is_confirmed = super().carry_out(order)
        self._record(order.rank)
        return is_confirmed

    def complete_copy(self, rank, order):
        """Prepare a map after the time that copies take."""
        if not self.copy_s:
            super().complete_copy(rank, order)
            return

        def complete():
            super(Group, self).complete_copy(rank, order)
            self._record(order.rank)

        self.call_later(self.copy_s, complete)

    def _record(self, number):
        """Keep the reports that a report with a lag may be taken from."""
        history = self._history[number]
        history.append((self.now, self._current_report(number)))
        while len(history) > 1 and history[1][0] <= self.now - MAX_LAG_S:
            history.pop(0)

    def _pass(self):
        self.call_later(PASS_S, self._pass)
        for number in range(self.size):
            self._record(number)
        if not self.has_requests:
            return
        if not self.may_begin_pass:
            self.stalled_s += PASS_S
            self.longest_stall_s = max(
                self.longest_stall_s, self.now - self._passed_at - PASS_S
            )
            return
        self._passed_at = self.now
        self.begin_pass()
        self.begun.append((self.step, self.ranks[0].map_version))


@attrs.define
class Agents:
    """Agents that forward a coordinator's orders to the ranks.

    Attributes:
        loss_rate: share of messages between agents that are lost.
    """

    group: Group
    loss_rate: float = 0.0

    def drive(self, machine, until, is_alive=lambda: True):
        """Run a switch or recovery until it ends or its coordinator dies."""

        def tick():
            if machine.is_over or not is_alive():
                return
            self._send_due_orders(machine, is_alive)
            self.group.call_later(0.05, tick)

        tick()
        self.group.run(until)

    def _send_due_orders(self, machine, is_alive):
        if not machine.is_over:
            for order in machine.orders(self.group.now):
                self._send(machine, order, is_alive)

    def _send(self, machine, order, is_alive):
        rng = self.group.rng

        def on_answered(is_confirmed):
            if rng.random() < self.loss_rate:
                return
            report = self.group.report(order.rank)

            def deliver():
                if is_alive():
                    machine.record_report(report, self.group.now)
                    self._send_due_orders(machine, is_alive)

            self.group.call_later(HOP_S, deliver)

        if rng.random() >= self.loss_rate:
            self.group.call_later(
                HOP_S, lambda: self.group.send_order(order, on_answered)
            )


def lists(number, size):
    """Return a map of one set; the number makes its content differ."""
    return (tuple((number * size + rank,) for rank in range(size)),)


def switch(group, version, number, rank=0):
    """Return a switch that starts now."""
    return rankmaps.Switch(
        epoch=group.epoch,
        size=group.size,
        own_rank=rank,
        version=version,
        lists=lists(number, group.size),
        previous_lists=lists(0, group.size),
        started_at=group.now,
    )


def recovery(group, version, guard):
    """Return a recovery that starts now."""
    held = [rank.held for rank in group.ranks if rank.held is not None]
    return rankmaps.Recovery(
        epoch=group.epoch,
        size=group.size,
        guard_rank=guard,
        version=version,
        lists=lists(0, group.size),
        step=min(held),
        reports={rank: group.report(rank) for rank in range(group.size)},
        started_at=group.now,
    )
