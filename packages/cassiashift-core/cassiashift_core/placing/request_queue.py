"""Queue of requests that wait for an upstream with a free slot."""

import heapq
import itertools

import attrs


@attrs.define(eq=False)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        priority: 0 is the most urgent.
        give_up_at: time at which it is refused.
        is_over: it was served or refused; the queue skips it.
    """

    service: str
    priority: int
    give_up_at: float
    is_over: bool = False


@attrs.define
class RequestQueue:
    """Queued requests of each service, by priority, then by arrival."""

    _heaps: dict[str, list] = attrs.field(factory=dict)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def add(self, request: QueuedRequest) -> None:
        """Add a request to the queue of its service."""
        row = (request.priority, next(self._sequence), request)
        heapq.heappush(self._heaps.setdefault(request.service, []), row)

    def peek(self, service: str) -> QueuedRequest | None:
        """Return the next request of a service, or None; it stays queued."""
        heap = self._heaps.get(service, [])
        while heap and heap[0][2].is_over:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def count(self, service: str) -> int:
        """Return the number of requests queued for a service."""
        heap = self._heaps.get(service, [])
        return sum(not row[2].is_over for row in heap)

    def services(self) -> list[str]:
        """Return the services with queued requests."""
        return [name for name in self._heaps if self.peek(name) is not None]

    def waiting(self) -> list[QueuedRequest]:
        """Return all requests that are neither served nor refused."""
        return [
            row[2]
            for heap in self._heaps.values()
            for row in heap
            if not row[2].is_over
        ]

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests that are to be refused by now."""
        return [item for item in self.waiting() if item.give_up_at <= now]
