"""Decides which requests of a service start, wait or are refused.

Used by entries that call the upstreams themselves. ``slots`` is always the
number of requests over all upstreams that this entry can expect to have in
flight.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import math
import random

import attrs

from cassiashift_core.admission import load as loads
from cassiashift_core.admission import returns
from cassiashift_core.admission import urgency_queue

# Arrivals above this part of the service rate are a burst: the queue grows.
BURST_LOAD = 0.9
# Part of its slots that an entry uses under overload. The rest covers the
# requests of other entries that it does not know of yet; with all of them in
# use a request more than an upstream has slots waits there for a whole other.
OWN_SHARE = 0.9
# First events that take this part of the objective show that requests wait at
# the upstreams. Without that sign an entry is not bound to its share: the
# announced rates that it follows from may be some seconds old.
FIRST_EVENT_SHARE = 0.4
# The expected wait and the returns promised within it depend on each other.
# Each step adds the returns within the last one; bursts of them are short.
WAIT_STEPS = 3
REASON_TOO_LONG = 'the queue is too long'
REASON_WAITED = 'waited too long'


def _nothing_promised(priority: int, now: float, until: float) -> float:
    return 0.0


@attrs.define
class ServiceGate:
    """The queue of one service at one entry, and its load.

    Attributes:
        in_flight: requests that were started and have not ended.
        is_predictive: requests are refused by the estimate of their waits;
            otherwise only by the length of the queue on arrival.
        objective_s: shortest objective of the routes to the service;
            infinite if none is configured.
        own_share: part of its slots that it uses under overload.
        promised: returns the cost that this entry can expect from callers
            of a class and more urgent ones that were told to return between
            two times.
    """

    plan: returns.ReturnPlan
    queue: urgency_queue.UrgencyQueue = attrs.field(
        factory=urgency_queue.UrgencyQueue
    )
    load: loads.LoadEstimate = attrs.field(factory=loads.LoadEstimate)
    in_flight: int = 0
    is_predictive: bool = True
    objective_s: float = math.inf
    own_share: float = OWN_SHARE
    promised: Callable[[int, float, float], float] = _nothing_promised

    @classmethod
    def from_rng(cls, rng: random.Random) -> 'ServiceGate':
        """Return a gate without any load."""
        return cls(returns.ReturnPlan(rng))

    def configure(self, is_predictive: bool, objective_s: float) -> None:
        """Apply the configuration of the service."""
        self.is_predictive = is_predictive
        self.objective_s = objective_s
        self.queue.floor = urgency_queue.FLOOR if is_predictive else 0.0

    def record_arrival(self, priority: int, cost: float, now: float) -> None:
        """Record a request that arrived, before any decision on it."""
        self.load.record_arrival(priority, cost, now)
        self.queue.record_arrival(priority, cost, now)

    def is_overloaded(self, slots: float, now: float) -> bool:
        """Return whether the arrivals need about all slots, or more."""
        if not self.is_predictive:
            return False
        rate = self.load.service_rate(slots)
        return self.load.certain_arrival_rate(now) >= BURST_LOAD * rate

    def has_room(self, slots: float, now: float) -> bool:
        """Return whether another request may be in flight.

        Only under overload is an entry bound to its own slots: what it knows
        of the other entries' requests is a moment old, so that all of them
        would send to the few upstreams that seem to have a free slot.
        """
        if self.in_flight < self.own_share * slots:
            return True
        if self.load.first_event_s < FIRST_EVENT_SHARE * self.objective_s:
            return True
        return not self.is_overloaded(slots, now)

    def may_start(
        self, priority: int, on_time_s: float, slots: float, now: float
    ) -> bool:
        """Return whether a request that need not wait may start.

        Args:
            on_time_s: shortest objective of the more urgent classes.
        """
        if self.queue or not self.has_room(slots, now):
            return False
        reserved = self.reserve(priority, on_time_s, slots, now)
        return not reserved or slots - self.in_flight >= 1 + reserved

    def reserve(
        self, priority: int, on_time_s: float, slots: float, now: float
    ) -> int:
        """Return the slots that a class leaves free for more urgent ones.

        These are the slots for the urgent requests that arrive before a slot
        becomes free, if waiting for one made them late. They are released
        with the measured rate of their arrivals.
        """
        rate = self.load.service_rate(slots)
        urgent_rate = self.load.arrival_rate(now, below=priority)
        if not urgent_rate or not math.isfinite(on_time_s):
            return 0
        if not self.is_overloaded(slots, now):
            return 0
        if 1 / rate + self.load.first_event_s <= on_time_s:
            return 0
        promised = self.promised(priority - 1, now, now + 1 / rate)
        wanted = math.ceil(urgent_rate / rate + promised)
        return max(0, min(wanted, math.ceil(slots) - 1))

    def offer(
        self, item: urgency_queue.QueuedRequest, slots: float, now: float
    ) -> str:
        """Queue a request, or return the reason for which it is refused."""
        item.arrived_at = now
        reason = self._find_refusal(
            item, self.queue.ahead_of(item, now), slots, now
        )
        if not reason:
            item.expected_wait_s = self.expected_wait_s(item, slots, now)
            self.queue.add(item)
        return reason

    def start(self, item: urgency_queue.QueuedRequest, now: float) -> None:
        """Record that a request starts; it is not in the queue any more."""
        self.in_flight += 1
        if now > item.arrived_at:
            self.load.record_wait(item.expected_wait_s, now - item.arrived_at)
        self.queue.charge(item, now)

    def end(
        self, item: urgency_queue.QueuedRequest, held_s: float | None
    ) -> None:
        """Record the end of a request that was started.

        Args:
            held_s: time that it occupied a slot; None if it was not sent.
        """
        self.in_flight -= 1
        self.queue.settle(item)
        if held_s is not None:
            self.load.hold.record(held_s / item.cost)

    def pop(
        self, now: float, slots: float = math.inf
    ) -> urgency_queue.QueuedRequest | None:
        """Remove and return the request that goes next, or None.

        A request for which slots are reserved is passed over by those that
        would take them; classes below their floor take them all the same.
        """
        free = slots - self.in_flight
        reserved: dict[int, int] = {}

        def may_start(item: urgency_queue.QueuedRequest) -> bool:
            priority = item.priority
            if priority not in reserved:
                reserved[priority] = self.reserve(
                    priority, item.urgent_s, slots, now
                )
            return not reserved[priority] or free >= 1 + reserved[priority]

        return self.queue.pop(now, may_start)

    def put_back(self, item: urgency_queue.QueuedRequest) -> None:
        """Queue a request again, first of its workspace."""
        self.queue.add(item, front=True)

    def hopeless(
        self, slots: float, now: float
    ) -> Iterator[tuple[urgency_queue.QueuedRequest, str]]:
        """Remove and yield the queued requests that can't be served in time.

        Each comes with the reason.
        """
        ahead = urgency_queue.Ahead(is_late=False)
        own_class: collections.Counter[int] = collections.Counter()
        late = []
        for item in self.queue.in_order(now):
            if not item.can_be_on_time(now):
                late.append(item)
                continue
            ahead.own_class = own_class[item.priority]
            reason = self._find_refusal(item, ahead, slots, now)
            if reason:
                self.queue.remove(item)
                yield item, reason
            elif item.is_late:
                late.append(item)
            else:
                ahead.total += item.cost
                own_class[item.priority] += item.cost
        ahead.is_late = True
        for item in late:
            reason = self._find_refusal(item, ahead, slots, now)
            if reason:
                self.queue.remove(item)
                yield item, reason
            else:
                ahead.total += item.cost

    def expected_wait_s(
        self, item: urgency_queue.QueuedRequest, slots: float, now: float
    ) -> float:
        """Return the time that a request has to wait from now on."""
        ahead = self.queue.ahead_of(item, now)
        return self._wait_s(item, ahead, slots, now)

    def return_at(
        self,
        item: urgency_queue.QueuedRequest,
        earliest_at: float,
        latest_at: float,
        slots: float,
        now: float,
    ) -> returns.ReturnTime:
        """Return when the caller of a request should return."""
        rate = self.load.service_rate(slots)
        spare = rate - self.load.arrival_rate(now, below=item.priority + 1)
        return self.plan.schedule(
            item.priority, item.cost, earliest_at, latest_at, spare, rate
        )

    def _find_refusal(
        self,
        item: urgency_queue.QueuedRequest,
        ahead: urgency_queue.Ahead,
        slots: float,
        now: float,
    ) -> str:
        """Return why a request can't be served in time, or nothing.

        A request that can't be on time becomes late first. The waits are
        those of the estimate less its error, since a wrong refusal has the
        higher cost.
        """
        if now > item.give_up_at:
            return REASON_WAITED
        if not self.is_predictive:
            is_new = item.arrived_at == now
            wait_s = ahead.total / self.load.service_rate(slots)
            too_long = is_new and now + wait_s > item.give_up_at
            return REASON_TOO_LONG if too_long else ''
        if item.is_promised:
            wait_s = self._wait_s(item, ahead, slots, now)
            item.is_late |= now + wait_s > item.on_time_until
            return ''
        error = self.load.error
        wait_s = self._wait_s(item, ahead, slots, now, error)
        if item.can_be_on_time(now):
            if now + wait_s <= min(item.on_time_until, item.give_up_at):
                return ''
            item.is_late = True
            ahead = self.queue.ahead_of(item, now)
            wait_s = self._wait_s(item, ahead, slots, now, error)
        return REASON_TOO_LONG if now + wait_s > item.give_up_at else ''

    def _wait_s(
        self,
        item: urgency_queue.QueuedRequest,
        ahead: urgency_queue.Ahead,
        slots: float,
        now: float,
        error: float = 0.0,
    ) -> float:
        """Return the expected wait, with returns that will go first.

        Callers that were promised to return during the wait go before new
        requests of their class.
        """
        wait_s = self.load.wait_s(ahead, item.priority, slots, now, error)
        if not self.is_predictive:
            return wait_s
        highest = item.priority - 1 if item.is_returning else item.priority
        if ahead.is_late:
            highest = urgency_queue.LEAST_URGENT
        for _ in range(WAIT_STEPS):
            until = min(now + wait_s, item.give_up_at)
            promised = self.promised(highest, now, until)
            if not promised:
                break
            own = promised - self.promised(item.priority - 1, now, until)
            longer_s = self.load.wait_s(
                urgency_queue.Ahead(
                    ahead.is_late,
                    ahead.total + promised,
                    ahead.own_class + max(0.0, own),
                ),
                item.priority,
                slots,
                now,
                error,
            )
            if longer_s <= wait_s:
                break
            wait_s = longer_s
        return wait_s
