"""Cuts the bytes of an event stream into whole events.

The format is that of server-sent events (WHATWG HTML, section 9.2). Only
the field ``id`` is read; the bytes of an event are passed on unchanged.
"""

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')


@attrs.frozen
class Event:
    """One event with the blank line that ends it.

    Attributes:
        id: the event's number; None if it has none.
    """

    data: bytes
    id: int | None = None


@attrs.define
class EventReader:
    """Collects bytes until events are whole.

    Attributes:
        last_id: number of the last whole event; None before the first.
        count: whole events so far.
    """

    last_id: int | None = None
    count: int = 0
    _buffer: bytes = b''

    @property
    def is_between_events(self) -> bool:
        """Tell whether no part of a further event has arrived."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete.

        Raises:
            ValueError: an event is longer than ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        start = 0
        for match in _END.finditer(self._buffer):
            events.append(self._event(self._buffer[start : match.end()]))
            start = match.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return events

    def restart(self) -> None:
        """Forget an incomplete event; a new upstream sends it again."""
        self._buffer = b''

    def _event(self, data: bytes) -> Event:
        found = _ID.search(data)
        number = int(found[1]) if found and found[1].isdigit() else None
        if number is not None:
            self.last_id = number
        self.count += 1
        return Event(data, number)
