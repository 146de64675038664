"""The daemon's command: one subcommand for each role."""

from collections.abc import Callable
import os
import sys
from typing import Any

import aiomisc
import cyclopts
import uvloop

from cassiashift_daemon import lifecycle
from cassiashift_daemon import logs
from cassiashift_daemon import settings

VERSION = '0.1.0'
EXIT_USAGE = 2
DEFAULT_ENTRY = settings.EntrySettings()
DEFAULT_AGENT = settings.AgentSettings()

app = cyclopts.App(
    name='cassiashiftd',
    help='Run one process of cassiashift on this host.',
    version=VERSION,
    config=cyclopts.config.Env(settings.ENV_PREFIX, command=False),
)


@app.command
def entry(
    *,
    cfg: settings.EntryArguments = DEFAULT_ENTRY,
    print_settings: bool = False,
) -> int:
    """Serve callers and operators; vote when a data folder is set.

    Parameters
    ----------
    print_settings: bool
        Show each setting, its value and where it came from, then end.
    """
    return _run_command(cfg, print_settings, _entry_process)


@app.command
def agent(
    *,
    cfg: settings.AgentArguments = DEFAULT_AGENT,
    print_settings: bool = False,
) -> int:
    """Relay calls of entries to the upstreams of this host.

    Parameters
    ----------
    print_settings: bool
        Show each setting, its value and where it came from, then end.
    """
    return _run_command(cfg, print_settings, _agent_process)


def _entry_process(cfg: settings.EntrySettings) -> lifecycle.Process:
    # Imported here so that an agent doesn't load the modules of an entry.
    from cassiashift_daemon import entry as role

    return role.EntryProcess.from_config(cfg)


def _agent_process(cfg: settings.AgentSettings) -> lifecycle.Process:
    from cassiashift_daemon import agent as role

    return role.AgentProcess.from_config(cfg)


def _run_command(
    cfg: settings.Settings,
    print_settings: bool,
    make_process: Callable[[Any], lifecycle.Process],
) -> int:
    if _report_problems(cfg) or print_settings:
        return _print_settings(cfg, print_settings)
    return _run_process(make_process(cfg), cfg)


def _report_problems(cfg: settings.Settings) -> bool:
    try:
        settings.check(cfg)
    except settings.SettingsError as exc:
        print(f'cassiashiftd: {exc}', file=sys.stderr)
        return True
    return False


def _print_settings(cfg: settings.Settings, print_settings: bool) -> int:
    if not print_settings:
        return EXIT_USAGE
    for name, value, origin in settings.origins(cfg, sys.argv, os.environ):
        print(f'{name} = {value!r}  ({origin})')
    return 0


def _run_process(process: lifecycle.Process, cfg: settings.Settings) -> int:
    logs.configure(cfg.log_level)
    try:
        with aiomisc.entrypoint(
            process, log_config=False, pool_size=1, catch_signals=()
        ) as loop:
            process.run(loop)
    finally:
        logs.flush()
    return process.exit_status


def run() -> None:
    """Run the command and end with its status."""
    uvloop.install()
    sys.exit(app() or 0)


if __name__ == '__main__':
    run()
