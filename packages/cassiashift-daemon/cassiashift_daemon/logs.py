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
# Lines about the end of the process, beside the others.
FINAL_LINES = 300
FLUSH_S = 0.1

_HANDLERS: list['BoundedHandler'] = []
_FINAL = {'is_final': True}
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
    errors have their own budget, so that other lines can't displace them;
    lines about the end of the process have one for its whole life.

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
        self._final_left = FINAL_LINES
        self._lines: queue.Queue[str] = queue.Queue(QUEUE_LINES + FINAL_LINES)
        thread = threading.Thread(
            target=self._write_forever, name='log-writer', daemon=True
        )
        thread.start()

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue the line of a record, or drop and count it."""
        if not self._is_within_budget(record):
            self.dropped += 1
            return
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def wait_written(self, timeout_s: float) -> bool:
        """Wait until all queued lines are written; return whether they are."""
        lines = self._lines
        with lines.all_tasks_done:
            return lines.all_tasks_done.wait_for(
                lambda: not lines.unfinished_tasks, timeout_s
            )

    def _is_within_budget(self, record: standard_logging.LogRecord) -> bool:
        if getattr(record, 'is_final', False) and self._final_left:
            self._final_left -= 1
            return True
        is_urgent = record.levelno >= standard_logging.WARNING
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._written = {False: 0, True: 0}
        if self._written[is_urgent] >= self._lines_per_s:
            return False
        self._written[is_urgent] += 1
        return self._lines.qsize() < QUEUE_LINES

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
            for _ in lines:
                self._lines.task_done()


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


def flush(timeout_s: float = FLUSH_S) -> None:
    """Wait until what was logged is written, for a limited time."""
    for handler in _HANDLERS:
        handler.wait_written(timeout_s)


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


def final_info(event: str, **fields: Any) -> None:
    """Log an event of the end of the process; see ``BoundedHandler``."""
    logging.info('%s', line(event, **fields), extra=_FINAL)


def final_warning(event: str, **fields: Any) -> None:
    """Log what an operator may need to know of the end of the process."""
    logging.warning('%s', line(event, **fields), extra=_FINAL)
