"""Records events for the time line in bounded memory."""

import time
from typing import Any

import attrs

from cassiashift_core import timeline
from cassiashift_daemon import settings

NANOSECONDS_PER_MICROSECOND = 1000
COLUMNS = ('workspace', 'group', 'revision', 'message')


@attrs.define(eq=False)
class Recorder:
    """The latest events of this process, stamped by its hybrid clock."""

    ring: timeline.Recorder

    @classmethod
    def from_config(cls, cfg: settings.Settings, role: str) -> 'Recorder':
        """Return a recorder that holds ``timeline_events`` events."""
        return cls(timeline.Recorder(cfg.host, role, cfg.timeline_events))

    def record(
        self,
        kind: str,
        request: str = '',
        attempt: str = '',
        remote: timeline.Timestamp | None = None,
        **fields: Any,
    ) -> timeline.Timestamp:
        """Add an event and return its clock stamp.

        Args:
            kind: what happened.
            request: the request's id.
            attempt: the attempt's id.
            remote: for a received message, the sender's stamp.
            fields: columns of the time line (``COLUMNS``), and other values
                that are stored as text.
        """
        columns = {
            name: fields.pop(name) for name in COLUMNS if name in fields
        }
        event = self.ring.record(
            kind,
            time.time_ns() // NANOSECONDS_PER_MICROSECOND,
            remote,
            {name: str(value) for name, value in fields.items()},
            request=request,
            attempt=attempt,
            **columns,
        )
        return event.clock

    def events(self, request: str = '') -> list[timeline.Event]:
        """Return the held events of a request, or all, oldest first."""
        return [
            event
            for event in self.ring.events()
            if not request or event.request == request
        ]

    def dropped(self) -> int:
        """Return how many events were dropped to bound the memory."""
        return self.ring.dropped
