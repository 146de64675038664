"""Records events for the time line, in bounded memory."""

import collections
import time
from typing import Any

import attrs

from cassiashift_daemon import settings


@attrs.frozen
class Event:
    """One event of one process; ``at_s`` is wall-clock time."""

    at_s: float
    host: str
    role: str
    kind: str
    request: str = ''
    attempt: str = ''
    fields: dict[str, str] = attrs.field(factory=dict)


@attrs.define
class Recorder:
    """The last events of this process."""

    host: str
    role: str
    limit: int
    recorded: int = 0
    _events: collections.deque = attrs.field(factory=collections.deque)

    @classmethod
    def from_config(cls, cfg: settings.Settings, role: str) -> 'Recorder':
        """Return the recorder of a process."""
        events = collections.deque(maxlen=cfg.timeline_events)
        return cls(cfg.host, role, cfg.timeline_events, 0, events)

    def record(
        self, kind: str, request: str = '', attempt: str = '', **fields: Any
    ) -> None:
        """Add an event."""
        self.recorded += 1
        texts = {name: str(value) for name, value in fields.items()}
        self._events.append(
            Event(
                time.time(),
                self.host,
                self.role,
                kind,
                request,
                attempt,
                texts,
            )
        )

    def events(self) -> list[Event]:
        """Return the events that are still held, oldest first."""
        return list(self._events)

    def dropped(self) -> int:
        """Return how many events are no longer held."""
        return self.recorded - len(self._events)
