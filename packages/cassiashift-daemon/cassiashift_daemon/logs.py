"""Logs: one line of key=value pairs for each event."""

import datetime
import json
import logging as standard_logging
import re
from typing import Any

from absl import flags
from absl import logging

_PLAIN = re.compile(r'[\w.:/@+\-]+\Z', re.ASCII)


class LineFormatter(standard_logging.Formatter):
    """Writes every record, those of libraries too, as one line of pairs."""

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


def configure(verbosity: int) -> None:
    """Send every log of this process to the standard error."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    charts = standard_logging.getLogger('transitions')
    charts.setLevel(standard_logging.WARNING)
    logging.get_absl_handler().setFormatter(LineFormatter())


def line(event: str, **fields: Any) -> str:
    """Return one line; values that need it are quoted and escaped."""
    pairs = [('event', event), *fields.items()]
    return ' '.join(f'{key}={quote(value)}' for key, value in pairs)


def quote(value: Any) -> str:
    """Return a value that can't break the line or fake a pair."""
    if isinstance(value, float):
        value = f'{value:.6g}'
    text = str(value)
    return text if _PLAIN.match(text) else json.dumps(text)


def info(event: str, **fields: Any) -> None:
    """Log an event of normal operation."""
    logging.info('%s', line(event, **fields))


def warning(event: str, **fields: Any) -> None:
    """Log an event that an operator may want to look at."""
    logging.warning('%s', line(event, **fields))


def error(event: str, **fields: Any) -> None:
    """Log an event that an operator must look at."""
    logging.error('%s', line(event, **fields))
