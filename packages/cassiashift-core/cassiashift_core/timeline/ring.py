"""The bounded record of one process."""

import collections
from typing import Any

import attrs

from cassiashift_core.timeline import clocks
from cassiashift_core.timeline import events

CAPACITY = 4096
MAX_FIELDS = 16
MAX_VALUE_CHARS = 200


@attrs.define
class Recorder:
    """Stamps and keeps the latest events of one process.

    Attributes:
        dropped: events that no longer are in the ring.
    """

    host: str
    role: str
    capacity: int = CAPACITY
    clock: clocks.Clock = attrs.field(factory=clocks.Clock)
    dropped: int = 0
    _sequence: int = 0
    _ring: collections.deque[events.Event] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Allocate the ring."""
        self._ring = collections.deque(maxlen=self.capacity)

    def record(
        self,
        kind: str,
        wall_us: int,
        remote: clocks.Timestamp | None = None,
        fields: dict[str, str] | None = None,
        **columns: Any,
    ) -> events.Event:
        """Record an event; ``remote`` is the sender's reading of a receipt.

        Args:
            kind: what happened.
            wall_us: wall time of this host in microseconds since 1970.
            remote: reading that came with a message.
            fields: further facts; long values are cut.
            columns: other attributes of the event.
        """
        if remote is None:
            stamp = self.clock.tick(wall_us)
        else:
            stamp = self.clock.receive(remote, wall_us)
        self._sequence += 1
        event = events.Event(
            clock=stamp,
            host=self.host,
            role=self.role,
            kind=kind,
            sequence=self._sequence,
            fields=_bounded(fields or {}),
            **columns,
        )
        if len(self._ring) == self.capacity:
            self.dropped += 1
        self._ring.append(event)
        return event

    def events(self, after: int = 0) -> list[events.Event]:
        """Return the kept events whose sequence is above a number."""
        return [event for event in self._ring if event.sequence > after]


def _bounded(fields: dict[str, str]) -> dict[str, str]:
    chosen = list(fields.items())[:MAX_FIELDS]
    return {name: str(value)[:MAX_VALUE_CHARS] for name, value in chosen}
