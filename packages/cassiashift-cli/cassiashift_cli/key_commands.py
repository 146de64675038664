"""Commands that make keys for hosts, operators and workspaces."""

import pathlib
from typing import Literal

import cyclopts

from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_net import keys

STATUS = statuses.ExitStatus
DEFAULT_FOLDER = pathlib.Path('keys')

app = cyclopts.App(
    name='keys',
    help='Make keys for hosts, operators and workspaces.',
)


@app.command
def host(
    name: str,
    *,
    link: str,
    folder: pathlib.Path = DEFAULT_FOLDER,
    json: bool = False,
) -> int:
    """Make the CURVE key pair of a host.

    Give NAME.key to every host and NAME.key_secret to that host alone.

    Parameters
    ----------
    name: str
        Name of the host, as in its setting --host.
    link: str
        The host's link address, as in its setting --link.
    folder: pathlib.Path
        Where the two files go.
    json: bool
        Print the result as JSON.
    """
    if not link.startswith('tcp://') or not link.isascii() or '"' in link:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, '--link is not tcp://IP:PORT'
        )
    path = keys.create_pair(folder, name, link)
    secret = path.with_suffix(keys.SECRET_SUFFIX)
    if json:
        output.show_json({'public': str(path), 'secret': str(secret)})
    else:
        output.show(f'public key: {path}')
        output.show(f'secret key: {secret}')
    return STATUS.OK


@app.command
def operator(
    name: str,
    *,
    role: Literal['viewer', 'operator', 'admin'] = 'viewer',
    file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Make an operator key and the line for the operators file.

    Parameters
    ----------
    name: str
        Name of the operator; it stands in the log of changes.
    role: str
        A viewer reads; an operator also drains and applies manifests.
    file: pathlib.Path
        Write the key to this new file instead of showing it.
    json: bool
        Print the result as JSON.
    """
    if not name.isascii() or not name.replace('-', '').isalnum():
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, f'{name!r} is not a usable name'
        )
    key = keys.create_token()
    hash_line = f'{name} {role} {keys.hash_token(key)}'
    _show_key(key, file, json, 'line of the operators file', hash_line)
    return STATUS.OK


@app.command
def workspace(
    *,
    file: pathlib.Path | None = None,
    json: bool = False,
) -> int:
    """Make a workspace key and its hash for the manifest.

    Parameters
    ----------
    file: pathlib.Path
        Write the key to this new file instead of showing it.
    json: bool
        Print the result as JSON.
    """
    key = keys.create_token()
    _show_key(key, file, json, 'key_hashes item', keys.hash_token(key))
    return STATUS.OK


def _show_key(
    key: str, file: pathlib.Path | None, json: bool, kind: str, hash_line: str
) -> None:
    if file is not None:
        keys.write_new_file(file, key + '\n', keys.PRIVATE_MODE)
    key_or_file = str(file) if file is not None else key
    if json:
        key_field = 'key_file' if file is not None else 'key'
        output.show_json({key_field: key_or_file, 'entry': hash_line})
        return
    output.show(f'key: {key_or_file}')
    output.show(f'{kind}: {hash_line}')
