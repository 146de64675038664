"""The command ``cassiashift``."""

from collections.abc import Iterable
import sys
from typing import Literal

import cyclopts

from cassiashift_cli import deployment_commands
from cassiashift_cli import evacuation_commands
from cassiashift_cli import experiment_commands
from cassiashift_cli import explain_command
from cassiashift_cli import key_commands
from cassiashift_cli import manifest_commands
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_cli import timeline_command
from cassiashift_core import CassiashiftError

VERSION = '0.1.0'
HELP = """Operate a deployment of cassiashift.

Write a manifest and look at it with "check", see what it would change with
"plan", and put it in force with "apply". "status", "upstreams", "groups"
and "timeline" show what runs, "explain" where a request would go; "drain"
takes an upstream out of service, "evacuation" a data centre.
"""
EPILOGUE = """Exit statuses: 0 done; 1 failure; 2 bad input; 3 conflict with
another change; 4 no entry or no quorum answers; 5 the key is refused;
6 accepted, but not in force everywhere in time; 130 interrupted.
"""
STATUS = statuses.ExitStatus

app = cyclopts.App(
    name='cassiashift',
    help=HELP,
    help_epilogue=EPILOGUE,
    version=VERSION,
    result_action='return_value',
)
app.command(manifest_commands.check)
app.command(manifest_commands.plan)
app.command(manifest_commands.apply)
app.command(deployment_commands.status)
app.command(deployment_commands.upstreams)
app.command(deployment_commands.groups)
app.command(deployment_commands.drain)
app.command(evacuation_commands.app)
app.command(explain_command.explain)
app.command(timeline_command.timeline)
app.command(key_commands.app)
app.command(manifest_commands.schema)
app.command(experiment_commands.app)


@app.command
def completion(shell: Literal['bash', 'zsh', 'fish'] = 'bash') -> int:
    """Print the completion script of a shell.

    Parameters
    ----------
    shell: str
        The shell; load the script with: source <(cassiashift completion).
    """
    output.show(app.generate_completion(prog_name='cassiashift', shell=shell))
    return STATUS.OK


def main(tokens: Iterable[str]) -> int:
    """Run a command and return its exit status; print its errors."""
    arguments = list(tokens)
    status = experiment_commands.load_for_command(arguments)
    if status is not None:
        return status
    try:
        result = app(arguments, exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        return STATUS.BAD_INPUT
    except CassiashiftError as exc:
        output.show_error(exc, '--json' in arguments)
        return statuses.for_error_code(exc.code)
    except KeyboardInterrupt:
        return STATUS.INTERRUPTED
    except BrokenPipeError:
        sys.stderr.close()
        return STATUS.FAILURE
    return int(result or STATUS.OK)


def run() -> None:
    """Run the command in ``sys.argv`` and exit with its status."""
    sys.exit(main(sys.argv[1:]))


if __name__ == '__main__':
    run()
