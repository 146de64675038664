"""Logs: one line of key=value pairs for each event."""

import json
import re
from typing import Any

from absl import logging

_PLAIN = re.compile(r'[\w.:/@+\-]+\Z', re.ASCII)


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
