"""Queue of a service's requests: by urgency, then fair by workspace.

Requests that can still be on time go before late ones. Among them the most
urgent class goes first, within a class callers that return after a refusal,
and among these the workspace that was charged least. A less urgent class is
served at least ``FLOOR`` times as often as the more urgent ones together, so
that it does not starve under a long overload.
"""

from collections.abc import Callable
import math

import attrs

from cassiashift_core.admission import fair_queue
from cassiashift_core.admission import model

# A class is served at least this often, relative to the more urgent ones. At
# least half is required; the rest covers the error of the measured shares.
FLOOR = 0.55
# Averaging time of the shares that were served. Bursts last longer.
SHARE_WINDOW_S = 5.0
WEIGHT = 1.0
# Idle workspaces are dropped only beyond this number, as looking for them
# takes time in proportion to it.
MIN_WORKSPACES = 64
# Priorities are 0 to 9.
LEAST_URGENT = 9


@attrs.define(eq=False)
class QueuedRequest:
    """A request that waits, or is about to start.

    Times are of a monotonic clock, in seconds.

    Attributes:
        workspace: within a class, all workspaces get equal shares.
        priority: its class; 0 is the most urgent.
        cost: cost units that it is charged.
        is_returning: its caller was refused and returns when it was told to.
        is_promised: capacity was kept for it, so it is not refused again for
            want of it.
        urgent_s: shortest objective of the more urgent classes.
        on_time_until: a later start makes it late.
        give_up_at: a later start is of no use.
        arrived_at: the time at which it was queued.
        expected_wait_s: estimate of the wait when it was queued.
        is_late: it can't be on time by the estimate.
    """

    workspace: str
    priority: int
    cost: float
    on_time_until: float
    give_up_at: float
    is_returning: bool = False
    is_promised: bool = False
    urgent_s: float = math.inf
    arrived_at: float = 0.0
    expected_wait_s: float = 0.0
    is_late: bool = False

    def can_be_on_time(self, now: float) -> bool:
        """Return whether a start now is on time."""
        return not self.is_late and now <= self.on_time_until


@attrs.define
class Ahead:
    """Cost of the queued requests that go before one.

    Attributes:
        is_late: that one can't be on time, so that all others precede it.
        own_class: cost of those of its own class.
    """

    is_late: bool
    total: float = 0.0
    own_class: float = 0.0

    def count(self, other: QueuedRequest, priority: int) -> None:
        """Count a request before one of a priority."""
        if self.is_late or other.priority <= priority:
            self.total += other.cost
        if other.priority == priority:
            self.own_class += other.cost


@attrs.define
class DecayingSum:
    """A sum whose terms lose weight exponentially with their age."""

    window_s: float
    _sum: float = 0.0
    _at: float = -math.inf

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._sum = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        """Return the weighted sum."""
        if not self._sum:
            return 0.0
        return self._sum * math.exp(-max(0.0, now - self._at) / self.window_s)

    def rate(self, now: float) -> float:
        """Return the mean amount per second."""
        return self.value(now) / self.window_s


def _any(item: QueuedRequest) -> bool:
    return True


def _window() -> DecayingSum:
    return DecayingSum(SHARE_WINDOW_S)


@attrs.define
class _Class:
    """The requests of one priority.

    Attributes:
        offered: cost of the requests that arrived.
        served: cost of those that were started on time.
        newest_cost: cost of the newest arrival.
        returning: queued requests of callers that return.
        max_workspaces: with more of them, idle ones are looked for.
    """

    fair: fair_queue.FairQueue = attrs.field(factory=fair_queue.FairQueue)
    offered: DecayingSum = attrs.field(factory=_window)
    served: DecayingSum = attrs.field(factory=_window)
    newest_cost: float = 0.0
    returning: int = 0
    max_workspaces: int = MIN_WORKSPACES


@attrs.define
class UrgencyQueue:
    """The queued requests of one service.

    Attributes:
        floor: share of the service of the more urgent classes that a class
            gets at least; 0 for none.
    """

    floor: float = FLOOR
    _classes: dict[int, _Class] = attrs.field(factory=dict)
    _items: dict[str, QueuedRequest] = attrs.field(factory=dict)
    _ids: dict[QueuedRequest, str] = attrs.field(factory=dict)
    _sequence: int = 0

    def __len__(self) -> int:
        return len(self._items)

    def record_arrival(self, priority: int, cost: float, now: float) -> None:
        """Count a request that arrived, whether it is queued or not."""
        group = self._class(priority)
        group.offered.add(cost, now)
        group.newest_cost = cost

    def add(self, item: QueuedRequest, front: bool = False) -> None:
        """Queue a request behind, or before, others of its workspace."""
        self._sequence += 1
        id_ = str(self._sequence)
        self._items[id_] = item
        self._ids[item] = id_
        req = model.AdmissionRequest(id_, item.workspace, '', tokens=item.cost)
        waiting = fair_queue.WaitingCall(req, item.arrived_at)
        group = self._class(item.priority)
        group.fair.push(waiting, WEIGHT, front)
        group.returning += item.is_returning

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request; nothing happens if it isn't queued."""
        id_ = self._ids.get(item)
        if id_ is None:
            return

        def is_removed(waiting: fair_queue.WaitingCall) -> bool:
            return waiting.req.request_id == id_

        for _ in self._class(item.priority).fair.drop(is_removed):
            self._forget(id_)

    def pop(
        self, now: float, may_start: Callable[[QueuedRequest], bool] = _any
    ) -> QueuedRequest | None:
        """Remove and return the request that goes next, or None.

        Args:
            may_start: whether a request may start that no class below its
                floor precedes.
        """

        def on_time(item: QueuedRequest) -> bool:
            return item.can_be_on_time(now)

        def allowed(item: QueuedRequest) -> bool:
            return item.can_be_on_time(now) and may_start(item)

        ordered = sorted(self._classes)
        return (
            self._pop_first(self._below_floor(now), on_time)
            or self._pop_first(ordered, allowed)
            or self._pop_first(ordered, may_start)
        )

    def charge(self, item: QueuedRequest, now: float) -> None:
        """Charge a request that starts to its workspace and class."""
        group = self._class(item.priority)
        group.fair.charge(item.workspace, item.cost, WEIGHT)
        if item.can_be_on_time(now):
            group.served.add(item.cost, now)

    def settle(self, item: QueuedRequest) -> None:
        """Record the end of a request that was charged."""
        group = self._class(item.priority)
        group.fair.settle(item.workspace, 0.0)
        if len(group.fair.queues) > group.max_workspaces:
            group.fair.drop_settled()
            group.max_workspaces = max(
                MIN_WORKSPACES, 2 * len(group.fair.queues)
            )

    def in_order(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests in about the order of their service.

        The order of workspaces within a class is that of their arrivals.
        """

        def rank(item: QueuedRequest) -> tuple[bool, int, bool, float]:
            is_late = not item.can_be_on_time(now)
            is_new = not item.is_returning
            return is_late, item.priority, is_new, item.arrived_at

        return sorted(self._items.values(), key=rank)

    def ahead_of(self, item: QueuedRequest, now: float) -> 'Ahead':
        """Return the queued requests that go before one that came last."""
        is_late = not item.can_be_on_time(now)
        ahead = Ahead(is_late)
        for other in self._items.values():
            if other is item or not (is_late or other.can_be_on_time(now)):
                continue
            is_passed = item.is_returning and not other.is_returning
            if is_late or other.priority != item.priority or not is_passed:
                ahead.count(other, item.priority)
        return ahead

    def _below_floor(self, now: float) -> list[int]:
        """Return the classes that are served below their floor.

        A class is below it if it lacks more than one request.
        """
        ordered = sorted(self._classes)
        owed = []
        offered = served = 0.0
        for priority in ordered:
            group = self._classes[priority]
            own_offered = group.offered.value(now)
            own_served = group.served.value(now)
            share = served / offered if offered else 0.0
            lacking = self.floor * share * own_offered - own_served
            if lacking > group.newest_cost:
                owed.append(priority)
            offered += own_offered
            served += own_served
        return owed

    def _pop_first(
        self,
        order: list[int],
        is_eligible: Callable[[QueuedRequest], bool],
    ) -> QueuedRequest | None:
        def returns(waiting: fair_queue.WaitingCall) -> bool:
            item = self._items[waiting.req.request_id]
            return item.is_returning and is_eligible(item)

        def is_any(waiting: fair_queue.WaitingCall) -> bool:
            return is_eligible(self._items[waiting.req.request_id])

        for priority in order:
            group = self._classes[priority]
            waiting = None
            if group.returning:
                waiting = group.fair.pop(lambda workspace: True, returns)
            if waiting is None:
                waiting = group.fair.pop(lambda workspace: True, is_any)
            if waiting is not None:
                return self._forget(waiting.req.request_id)
        return None

    def _forget(self, id_: str) -> QueuedRequest:
        item = self._items.pop(id_)
        del self._ids[item]
        self._class(item.priority).returning -= item.is_returning
        return item

    def _class(self, priority: int) -> _Class:
        return self._classes.setdefault(priority, _Class())
