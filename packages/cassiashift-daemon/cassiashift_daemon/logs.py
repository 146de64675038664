"""Structured logs: one line of key=value pairs for each event."""

import datetime
import json
import logging as standard_logging
import queue
import re
import sys
import threading
from typing import Any
from typing import TextIO

from absl import flags
from absl import logging

# Lines per second that a process may write of each class: urgent (warnings
# and errors) and other. A request writes about three.
LINES_PER_S = 400
QUEUE_LINES = 4000

_HANDLERS: list['BoundedHandler'] = []
_PLAIN = re.compile(r'[\w.:/@+\-]+\Z', re.ASCII)


class LineFormatter(standard_logging.Formatter):
    """Formats a record, also of a library, as one line of pairs."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record's line; a traceback becomes one quoted value."""
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        text = record.getMessage()
        is_event = text.startswith('event=') and text.isprintable()
        if not is_event:
            text = line('message', logger=record.name, text=text)
        if record.exc_info:
            text += f' trace={quote(self.formatException(record.exc_info))}'
        level = record.levelname.lower()
        return f'at={at:%Y-%m-%dT%H:%M:%S.%fZ} level={level} {text}'


class BoundedHandler(standard_logging.Handler):
    """Writes lines in its own thread, up to a budget per second.

    A slow reader of the stream blocks no caller: lines are counted and
    dropped if the queue is full or the budget is used up. Warnings and
    errors have their own budget, so that other lines can't displace them.

    Attributes:
        dropped: number of lines that were not written.
    """

    def __init__(self, stream: TextIO, lines_per_s: int) -> None:
        """Start the thread that writes to the stream."""
        super().__init__()
        self.dropped = 0
        self._stream = stream
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written = {False: 0, True: 0}
        self._lines: queue.Queue[str] = queue.Queue(QUEUE_LINES)
        thread = threading.Thread(
            target=self._write_forever, name='log-writer', daemon=True
        )
        thread.start()

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue the line of a record, or drop and count it."""
        is_urgent = record.levelno >= standard_logging.WARNING
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._written = {False: 0, True: 0}
        if self._written[is_urgent] >= self._lines_per_s:
            self.dropped += 1
            return
        self._written[is_urgent] += 1
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def _write_forever(self) -> None:
        while True:
            lines = [self._lines.get()]
            while not self._lines.empty():
                lines.append(self._lines.get())
            try:
                self._stream.write('\n'.join(lines) + '\n')
                self._stream.flush()
            except (OSError, ValueError):
                # The reader has closed the stream, so this can't be logged.
                self.dropped += len(lines)


def configure(verbosity: int, lines_per_s: int = LINES_PER_S) -> None:
    """Send all logs of this process to standard output.

    This replaces the handlers of the root logger.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(verbosity)
    charts = standard_logging.getLogger('transitions')
    # A chart ignores events that its state has no transition for; the
    # library would warn of each.
    charts.setLevel(standard_logging.ERROR)
    handler = BoundedHandler(sys.stdout, lines_per_s)
    handler.setFormatter(LineFormatter())
    root = standard_logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.converter.absl_to_standard(verbosity))
    _HANDLERS[:] = [handler]


def dropped() -> int:
    """Return how many lines of this process were dropped."""
    return sum(handler.dropped for handler in _HANDLERS)


def line(event: str, **fields: Any) -> str:
    """Return the pairs of an event; quotes and escapes values if needed."""
    pairs = [('event', event), *fields.items()]
    return ' '.join(f'{key}={quote(value)}' for key, value in pairs)


def quote(value: Any) -> str:
    """Return a value as text that can't break the line or forge a pair."""
    if isinstance(value, float):
        value = f'{value:.6g}'
    text = str(value)
    return text if _PLAIN.match(text) else json.dumps(text)


def info(event: str, **fields: Any) -> None:
    """Log an event of normal operation."""
    logging.info('%s', line(event, **fields))


def warning(event: str, **fields: Any) -> None:
    """Log an event that may need an operator's attention."""
    logging.warning('%s', line(event, **fields))


def error(event: str, **fields: Any) -> None:
    """Log an event that needs an operator's attention."""
    logging.error('%s', line(event, **fields))
