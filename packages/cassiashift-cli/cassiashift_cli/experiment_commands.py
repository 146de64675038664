"""The commands of the experiments, each loaded when it is run."""

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


def arguments_name(tokens: list[str]) -> str:
    """Return the experiment that the arguments ask for, or empty."""
    if len(tokens) > 1 and tokens[0] == 'experiment':
        return tokens[1] if tokens[1] in _MODULES else ''
    return ''


def load(tokens: list[str]) -> bool:
    """Add the experiment that the arguments ask for.

    Returns:
        False if that experiment is not part of this installation.
    """
    wanted = arguments_name(tokens)
    names = [wanted] if wanted else list(_MODULES)
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
            if name == wanted:
                output.note(f'cassiashift: there is no experiment {name!r}')
                return False
            continue
        app.command(getattr(module, name), name=name)
    return True


def run_lazily(tokens: list[str]) -> int | None:
    """Load what the arguments ask for; return a status on failure."""
    if load(tokens or sys.argv[1:]):
        return None
    return statuses.ExitStatus.FAILURE
