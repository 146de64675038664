"""Records the events of one process in a bounded ring."""

import collections
from typing import Any

import attrs

from cassiashift_core.timeline import clocks
from cassiashift_core.timeline import events

DEFAULT_CAPACITY_EVENTS = 4096
MAX_FIELDS = 16
MAX_VALUE_CHARS = 200


@attrs.define
class Recorder:
    """Timestamps the events of one process and keeps the latest.

    Attributes:
        capacity: events in the ring, at most.
        dropped: events overwritten by later ones.
    """

    host: str
    role: str
    capacity: int = DEFAULT_CAPACITY_EVENTS
    clock: clocks.Clock = attrs.field(factory=clocks.Clock)
    dropped: int = 0
    _sequence: int = 0
    _ring: collections.deque[events.Event] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Allocate the ring with the given capacity."""
        self._ring = collections.deque(maxlen=self.capacity)

    def record(
        self,
        kind: str,
        wall_us: int,
        remote: clocks.Timestamp | None = None,
        fields: dict[str, str] | None = None,
        **columns: Any,
    ) -> events.Event:
        """Record an event and return it.

        Args:
            kind: what happened.
            wall_us: wall time of this host in microseconds since 1970.
            remote: the sender's reading, if the event is a receipt.
            fields: further details; at most ``MAX_FIELDS``, and values are cut
                after ``MAX_VALUE_CHARS``.
            columns: other attributes of ``Event``, by name.
        """
        if remote is None:
            timestamp = self.clock.tick(wall_us)
        else:
            timestamp = self.clock.receive(remote, wall_us)
        self._sequence += 1
        event = events.Event(
            clock=timestamp,
            host=self.host,
            role=self.role,
            kind=kind,
            sequence=self._sequence,
            fields=_limit_size(fields or {}),
            **columns,
        )
        if len(self._ring) == self.capacity:
            self.dropped += 1
        self._ring.append(event)
        return event

    def events(self, after: int = 0) -> list[events.Event]:
        """Return the events in the ring with a sequence above ``after``."""
        return [event for event in self._ring if event.sequence > after]


def _limit_size(fields: dict[str, str]) -> dict[str, str]:
    kept = list(fields.items())[:MAX_FIELDS]
    return {name: str(value)[:MAX_VALUE_CHARS] for name, value in kept}
