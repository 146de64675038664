"""Splits the bytes of an event stream into complete events.

The format is that of server-sent events (WHATWG HTML, section 9.2). Only
the field ``id`` is read; the bytes of an event are passed on unchanged.
"""

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_FIELD = re.compile(rb'(?:^|[\r\n])id: ?([^\r\n]*)')


@attrs.frozen
class Event:
    """One event with the blank line that ends it.

    Attributes:
        data: the bytes of the event, unchanged.
        id: value of the field ``id``; None if missing or not a number.
    """

    data: bytes
    id: int | None = None


@attrs.define
class EventReader:
    """Buffers bytes and returns complete events.

    Attributes:
        last_id: the last id of a complete event; None before the first.
        count: complete events so far.
    """

    last_id: int | None = None
    count: int = 0
    _buffer: bytes = b''

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Buffer bytes and return the events that they complete.

        Raises:
            ValueError: an event is longer than ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer):
            events.append(self._parse_event(self._buffer[start : match.end()]))
            start = match.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f'an event exceeds {MAX_EVENT_BYTES} bytes')
        return events

    def restart(self) -> None:
        """Drop an incomplete event; a new upstream sends it again."""
        self._buffer = b''

    def _parse_event(self, data: bytes) -> Event:
        id_match = _ID_FIELD.search(data)
        event_id = (
            int(id_match[1]) if id_match and id_match[1].isdigit() else None
        )
        if event_id is not None:
            self.last_id = event_id
        self.count += 1
        return Event(data, event_id)
