"""Seeds that change while a process runs."""

from collections.abc import Callable
from typing import Any

import attrs

from cassiashift_daemon import logs


def renewed(cfg: Any, read_config: Callable[[], Any]) -> Any:
    """Return the settings with the seeds as they are now.

    Nothing else may change while a process runs. Settings that can't be read
    are logged and leave the seeds as they are.

    Args:
        cfg: settings in use, an ``attrs`` class with ``seeds``.
        read_config: returns the checked settings of the moment.
    """
    try:
        found = read_config()
    except ValueError as exc:
        logs.error('settings_refused', reason=str(exc))
        return cfg
    if found.seeds == cfg.seeds:
        return cfg
    logs.info('settings_reloaded', seeds=','.join(found.seeds))
    return attrs.evolve(cfg, seeds=found.seeds)
