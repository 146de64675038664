"""Callers that were refused and told when to return.

A refusal with a Retry-After time is a promise: the caller goes before new
requests of its class. The entry that gives it sends it to the other busy
entries in its work digests, as most callers return to another entry. Where
capacity is expected at that time, it is kept for the caller; under a long
overload there is none for most callers.

A promise takes 10 bytes; a request is named by 32 bits of its
identity, so that of 4,096 promises and 23 requests per second a wrong one is
found about once in 13 hours.
"""

import bisect
import collections
from collections.abc import Iterable
import struct

import attrs

from cassiashift_core import hashing

_ROW = struct.Struct('<IHBBH')
COST_UNIT = 1 / 16
_LARGEST_BYTE = 0xFF
_LARGEST_SHORT = 0xFFFF
# Promises in one digest.
MAX_ROWS = 512
# Bit of the byte of the priority.
_HAS_CAPACITY = 0x80
_PRIORITY = 0x7F
ROW_BYTES = _ROW.size
# About 2 MB. An entry forgets the oldest of more promises.
MAX_PROMISES = 4096
# A caller that returns earlier than this before its time is a new request.
# Times reach other entries with an error of the transit of a message, and
# were seen to be handled 0.3 s late under load.
EARLY_S = 0.3
# A caller that returns later than this after its time is a new request. The
# connection to another entry may have to be opened first.
LATE_S = 0.5


@attrs.frozen
class Promise:
    """A time at which a refused caller was told to return.

    Attributes:
        request_id: see ``short_request_id``.
        service_id: see ``short_service_id``.
        cost: cost units of the request.
        return_at: monotonic time of the entry that knows it.
        has_capacity: capacity is kept for it at that time.
    """

    request_id: int
    service_id: int
    priority: int
    cost: float
    return_at: float
    has_capacity: bool = True


def short_request_id(identity: str) -> int:
    """Return the name of a request in promises."""
    return hashing.short_id(identity)


def short_service_id(service: str) -> int:
    """Return the name of a service in promises."""
    return hashing.short_id(service) & _LARGEST_SHORT


def pack_promises(promises: Iterable[Promise], now: float) -> bytes:
    """Encode promises; their times become delays from now on."""
    return b''.join(
        _ROW.pack(
            one.request_id,
            one.service_id,
            min(max(one.priority, 0), _PRIORITY)
            | (_HAS_CAPACITY if one.has_capacity else 0),
            min(max(round(one.cost / COST_UNIT), 1), _LARGEST_BYTE),
            min(max(round((one.return_at - now) * 1000), 0), _LARGEST_SHORT),
        )
        for one in promises
    )


def unpack_promises(packed: bytes, now: float) -> list[Promise]:
    """Return the promises that ``pack_promises`` encoded.

    Raises:
        ValueError: the length fits no such promises.
    """
    if len(packed) % _ROW.size or len(packed) > MAX_ROWS * _ROW.size:
        raise ValueError(f'{len(packed)} bytes of promises')
    return [
        Promise(
            request,
            service,
            class_ & _PRIORITY,
            cost * COST_UNIT,
            now + delay_ms / 1000,
            bool(class_ & _HAS_CAPACITY),
        )
        for request, service, class_, cost, delay_ms in _ROW.iter_unpack(
            packed
        )
    ]


@attrs.define(eq=False)
class PromiseTable:
    """The promises of all entries that this one has heard of.

    Attributes:
        max_promises: of more, the oldest are forgotten.
    """

    max_promises: int = MAX_PROMISES
    _by_request: collections.OrderedDict[int, Promise] = attrs.field(
        factory=collections.OrderedDict
    )
    # By service, (return_at, request_id) in order.
    _times: dict[int, list[tuple[float, int]]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_request)

    def add(self, promise: Promise) -> None:
        """Add a promise; it replaces an earlier one to the same request."""
        self.discard(promise.request_id)
        self._by_request[promise.request_id] = promise
        times = self._times.setdefault(promise.service_id, [])
        bisect.insort(times, (promise.return_at, promise.request_id))
        if len(self._by_request) > self.max_promises:
            self.discard(next(iter(self._by_request)))

    def find(self, request_id: int, now: float) -> Promise | None:
        """Return the promise to a caller that returns at about its time."""
        promise = self._by_request.get(request_id)
        if promise is None:
            return None
        after_s = now - promise.return_at
        return promise if -EARLY_S <= after_s <= LATE_S else None

    def discard(self, request_id: int) -> None:
        """Forget a promise, if it is known."""
        promise = self._by_request.pop(request_id, None)
        if promise is None:
            return
        times = self._times[promise.service_id]
        del times[bisect.bisect_left(times, (promise.return_at, request_id))]
        if not times:
            del self._times[promise.service_id]

    def expire(self, now: float) -> None:
        """Forget the promises whose callers have not returned."""
        for times in list(self._times.values()):
            until = bisect.bisect_left(times, (now - LATE_S, 0))
            for _, request_id in times[:until]:
                self.discard(request_id)

    def due(
        self, service_id: int, priority: int, now: float, until: float
    ) -> float:
        """Return the cost with capacity of a class and more urgent ones.

        Promises before now don't count: most of these callers have returned,
        many to entries that tell nobody.

        Args:
            until: only the promises before this time count.
        """
        times = self._times.get(service_id, ())
        first = bisect.bisect_left(times, (now, 0))
        last = bisect.bisect_left(times, (until, 0))
        total = 0.0
        for _, request_id in times[first:last]:
            promise = self._by_request[request_id]
            if promise.has_capacity and promise.priority <= priority:
                total += promise.cost
        return total
