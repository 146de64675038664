"""Requests that wait at an entry until an upstream has room."""

import heapq
import itertools

import attrs


@attrs.define(eq=False)
class Waiting:
    """A request in the queue.

    Attributes:
        give_up_at: moment at which it is refused.
    """

    service: str
    priority: int
    give_up_at: float
    is_over: bool = False


@attrs.define
class WaitingRoom:
    """Orders waiting requests by priority, then by arrival."""

    _heaps: dict[str, list] = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def add(self, waiting: Waiting) -> None:
        """Let a request wait."""
        row = (waiting.priority, next(self._numbers), waiting)
        heapq.heappush(self._heaps.setdefault(waiting.service, []), row)

    def first(self, service: str) -> Waiting | None:
        """Return the next request of a service, without taking it."""
        heap = self._heaps.get(service, [])
        while heap and heap[0][2].is_over:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        heap = self._heaps.get(service, [])
        return sum(not row[2].is_over for row in heap)

    def services(self) -> list[str]:
        """Return the services that somebody waits for."""
        return [name for name in self._heaps if self.first(name) is not None]

    def due(self, now: float) -> list[Waiting]:
        """Return the requests whose moment to give up has come."""
        return [
            row[2]
            for heap in self._heaps.values()
            for row in heap
            if not row[2].is_over and row[2].give_up_at <= now
        ]
