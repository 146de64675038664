"""The experiment commands; their modules are imported on demand."""

import importlib
import sys

import cyclopts

from cassiashift_cli import output
from cassiashift_cli import statuses

_MODULES = {
    'balance': 'cassiashift_cli.experiment_balance',
    'routing': 'cassiashift_cli.experiment_routing',
}

app = cyclopts.App(
    name='experiment',
    help='Compare policies on seeded traces, with no process started.',
)


def experiment_name(tokens: list[str]) -> str:
    """Return the experiment that the arguments name, or an empty text."""
    if len(tokens) > 1 and tokens[0] == 'experiment':
        return tokens[1] if tokens[1] in _MODULES else ''
    return ''


def load_experiments(tokens: list[str]) -> bool:
    """Import and add the experiment that the arguments name, or all.

    Returns:
        False if the named experiment is not part of this installation.
    """
    requested = experiment_name(tokens)
    names = [requested] if requested else list(_MODULES)
    if not tokens or tokens[0] != 'experiment':
        return True
    for name in names:
        if name in app:
            continue
        try:
            module = importlib.import_module(_MODULES[name])
        except ModuleNotFoundError as exc:
            if exc.name != _MODULES[name]:
                raise
            if name == requested:
                output.show_diagnostic(
                    f'cassiashift: there is no experiment {name!r}'
                )
                return False
            continue
        app.command(getattr(module, name), name=name)
    return True


def load_for_command(tokens: list[str]) -> int | None:
    """Import the named experiment; return a status only on failure."""
    if load_experiments(tokens or sys.argv[1:]):
        return None
    return statuses.ExitStatus.FAILURE
