"""Weighted fair queue of one pool.

Each workspace has a counter of the tokens charged to it, divided by its
weight. The waiting workspace with the lowest counter goes next. The counter
of a workspace that was idle is raised to the lowest counter of the active
workspaces, so that idle time earns no credit. When a call ends, the counter
is corrected by the tokens that the call used. Source: Sheng et al.,
"Fairness in serving large language models", OSDI 2024 (virtual token
counter).
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator

import attrs

from cassiashift_core.admission import model

MIN_WEIGHT = 1e-6


@attrs.frozen(order=True)
class _QueuedCall:
    """A waiting call, ordered by priority and arrival within its workspace.

    Attributes:
        priority_key: negated priority, so that the highest sorts first.
        sequence: arrival number; negative for a call put back in front.
    """

    priority_key: int
    sequence: int
    waiting: 'WaitingCall' = attrs.field(order=False)


@attrs.frozen
class WaitingCall:
    """A waiting call and its arrival time in seconds."""

    req: model.AdmissionRequest
    arrived_at: float


@attrs.define
class _WorkspaceQueue:
    """Waiting calls and the virtual token counter of one workspace.

    Attributes:
        counter: charged tokens divided by the weight.
        tokens_by_priority: tokens of waiting calls by priority key.
    """

    weight: float = 1.0
    counter: float = 0.0
    in_flight: int = 0
    tokens_by_priority: dict[int, int] = attrs.field(factory=dict)
    calls: list[_QueuedCall] = attrs.field(factory=list)

    @property
    def is_active(self) -> bool:
        return bool(self.calls) or self.in_flight > 0

    @property
    def tokens(self) -> int:
        return sum(self.tokens_by_priority.values())

    def tokens_up_to(self, priority_key: int) -> int:
        return sum(
            tokens
            for other, tokens in self.tokens_by_priority.items()
            if other <= priority_key
        )

    def first_index(
        self, in_time: Callable[[WaitingCall], bool]
    ) -> int | None:
        for index, call in enumerate(self.calls):
            if in_time(call.waiting):
                return index
        return None

    def add(self, call: _QueuedCall) -> None:
        bisect.insort(self.calls, call)
        self._count_tokens(call, call.waiting.req.tokens)

    def remove(self, index: int) -> WaitingCall:
        call = self.calls.pop(index)
        self._count_tokens(call, -call.waiting.req.tokens)
        return call.waiting

    def _count_tokens(self, call: _QueuedCall, tokens: int) -> None:
        total = self.tokens_by_priority.get(call.priority_key, 0) + tokens
        self.tokens_by_priority[call.priority_key] = total


@attrs.define
class FairQueue:
    """Waiting calls of one pool, in weighted fair order.

    Attributes:
        queues: the queue of each workspace.
        count: waiting calls of all workspaces.
        total_bytes: bytes of the bodies of waiting calls.
    """

    queues: dict[str, _WorkspaceQueue] = attrs.field(factory=dict)
    count: int = 0
    total_bytes: int = 0
    _sequence: int = 0

    def push(
        self, waiting: WaitingCall, weight: float, front: bool = False
    ) -> None:
        """Add a waiting call behind, or before, others of its priority."""
        req = waiting.req
        queue = self._queue_for(req.workspace, weight)
        self._sequence += 1
        sequence = -self._sequence if front else self._sequence
        queue.add(_QueuedCall(-req.priority, sequence, waiting))
        self.count += 1
        self.total_bytes += req.body_bytes

    def pop(
        self,
        may_start: Callable[[str], bool],
        in_time: Callable[[WaitingCall], bool],
    ) -> WaitingCall | None:
        """Remove and return the next call in weighted fair order.

        Calls that are not ``in_time`` stay in the queue; ``drop`` removes
        them.

        Args:
            may_start: whether a workspace's limits allow a call now.
            in_time: whether a call can still be served in time.

        Returns:
            The call, or None if no workspace has one that may start.
        """
        best = None
        best_index = 0
        for workspace, queue in self.queues.items():
            if not queue.calls:
                continue
            if best is not None and queue.counter >= best.counter:
                continue
            index = queue.first_index(in_time)
            if index is not None and may_start(workspace):
                best = queue
                best_index = index
        if best is None:
            return None
        return self._remove(best, best_index)

    def active_weight(self) -> float:
        """Return the total weight of workspaces that wait or run calls."""
        return sum(
            queue.weight for queue in self.queues.values() if queue.is_active
        )

    def has_waiting(self, workspace: str) -> bool:
        """Return whether a workspace has waiting calls."""
        queue = self.queues.get(workspace)
        return queue is not None and bool(queue.calls)

    def tokens_waiting(self, workspace: str) -> int:
        """Return the total tokens of a workspace's waiting calls."""
        queue = self.queues.get(workspace)
        return 0 if queue is None else queue.tokens

    def set_weight(self, workspace: str, weight: float) -> None:
        """Change the weight of a workspace, if it has a queue."""
        queue = self.queues.get(workspace)
        if queue is not None and weight != queue.weight:
            self._change_weight(queue, max(weight, MIN_WEIGHT))

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Record the start of a call and charge its expected tokens."""
        queue = self._queue_for(workspace, weight)
        queue.in_flight += 1
        queue.counter += tokens / queue.weight

    def settle(self, workspace: str, correction: float) -> None:
        """Record the end of a call.

        ``correction`` is the tokens used minus the tokens charged.
        """
        queue = self.queues[workspace]
        queue.in_flight -= 1
        queue.counter += correction / queue.weight
        self._drop_idle(workspace, queue)

    def drop_settled(self) -> None:
        """Delete the queues of idle workspaces that are no longer ahead."""
        lowest = self._lowest_counter()
        for workspace, queue in list(self.queues.items()):
            if not queue.is_active and queue.counter <= lowest:
                del self.queues[workspace]

    def drop(
        self, predicate: Callable[[WaitingCall], bool]
    ) -> Iterator[WaitingCall]:
        """Remove and yield the waiting calls that match ``predicate``."""
        for workspace, queue in list(self.queues.items()):
            for index in range(len(queue.calls) - 1, -1, -1):
                if predicate(queue.calls[index].waiting):
                    yield self._remove(queue, index)
            if workspace in self.queues:
                self._drop_idle(workspace, queue)

    def drop_last(self, workspace: str) -> WaitingCall:
        """Remove and return the call that the workspace would start last."""
        queue = self.queues[workspace]
        waiting = self._remove(queue, len(queue.calls) - 1)
        self._drop_idle(workspace, queue)
        return waiting

    def most_backlogged(self) -> tuple[str, float]:
        """Return the workspace with most waiting tokens per weight.

        The second item is that number of tokens per weight.
        """
        workspace, queue = max(
            self.queues.items(),
            key=lambda item: (item[1].tokens / item[1].weight, item[0]),
        )
        return workspace, queue.tokens / queue.weight

    def tokens_before(self, req: model.AdmissionRequest) -> float:
        """Return an estimate of the tokens that are served before a call.

        These are the tokens of the workspace's own calls that go first.
        Each other waiting workspace adds what it is served meanwhile: its
        weighted share, but at most all of its waiting tokens.
        """
        own = self.queues.get(req.workspace, _WorkspaceQueue())
        ahead = own.tokens_up_to(-req.priority)
        finish = own.counter + (ahead + req.tokens) / own.weight
        total = float(ahead)
        for workspace, queue in self.queues.items():
            if workspace == req.workspace or not queue.calls:
                continue
            share = max(0.0, (finish - queue.counter) * queue.weight)
            total += min(queue.tokens, share)
        return total

    def _queue_for(self, workspace: str, weight: float) -> _WorkspaceQueue:
        queue = self.queues.get(workspace)
        if queue is None:
            queue = _WorkspaceQueue()
            self.queues[workspace] = queue
        if not queue.is_active:
            queue.counter = max(queue.counter, self._lowest_counter())
        if weight != queue.weight:
            self._change_weight(queue, max(weight, MIN_WEIGHT))
        return queue

    def _change_weight(self, queue: _WorkspaceQueue, weight: float) -> None:
        """Change a weight and keep the queue's lead in tokens.

        The lead is counted from the lowest active counter.
        """
        base = self._lowest_counter()
        ahead = (queue.counter - base) * queue.weight
        queue.weight = weight
        queue.counter = base + ahead / weight

    def _lowest_counter(self) -> float:
        counters = [
            queue.counter for queue in self.queues.values() if queue.is_active
        ]
        return min(counters, default=0.0)

    def _remove(self, queue: _WorkspaceQueue, index: int) -> WaitingCall:
        waiting = queue.remove(index)
        self.count -= 1
        self.total_bytes -= waiting.req.body_bytes
        return waiting

    def _drop_idle(self, workspace: str, queue: _WorkspaceQueue) -> None:
        """Delete an idle workspace's queue unless its counter is ahead.

        When every workspace is idle, all queues and counters are deleted.
        """
        if queue.is_active:
            return
        if not any(other.is_active for other in self.queues.values()):
            self.queues.clear()
        elif queue.counter <= self._lowest_counter():
            del self.queues[workspace]
