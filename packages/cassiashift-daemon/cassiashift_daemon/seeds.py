"""Reloads the seeds of membership while a process runs."""

from collections.abc import Callable
from typing import Any

import attrs

from cassiashift_daemon import logs


def reload_seeds(cfg: Any, read_config: Callable[[], Any]) -> Any:
    """Return the settings with the current seeds.

    No other setting may change while a process runs. If the settings can't
    be read, the reason is logged and the seeds stay as they are.

    Args:
        cfg: settings in use, an ``attrs`` class with ``seeds``.
        read_config: reads and checks the settings; a ``ValueError`` says
            that they can't be used.
    """
    try:
        current = read_config()
    except ValueError as exc:
        logs.error('settings_refused', reason=str(exc))
        return cfg
    if current.seeds == cfg.seeds:
        return cfg
    logs.info('settings_reloaded', seeds=','.join(current.seeds))
    return attrs.evolve(cfg, seeds=current.seeds)
