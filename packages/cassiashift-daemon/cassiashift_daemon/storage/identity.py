"""The identity of a data folder, stored in the folder itself."""

import json
import pathlib

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_daemon.storage import filesystem
from cassiashift_daemon.storage import frames

IDENTITY_FILE = 'identity.json'
INCARNATION_BYTES = 16


@attrs.frozen
class Identity:
    """The owner of a data folder.

    Attributes:
        incarnation: random id of the folder; a folder that was emptied gets
            a new one.
    """

    deployment: str
    host: str
    incarnation: str


def load(
    files: filesystem.FileSystem, folder: pathlib.Path
) -> Identity | None:
    """Return the identity of a folder, or None without an identity file.

    Raises:
        CassiashiftError: STORAGE_REFUSED if the file is empty,
            STORAGE_DAMAGED if it can't be parsed.
    """
    if IDENTITY_FILE not in files.list_names(folder):
        return None
    raw = files.read(folder / IDENTITY_FILE)
    if not raw.strip():
        raise refusal_error(folder, 'its identity was emptied')
    try:
        return Identity(**json.loads(raw))
    except (TypeError, ValueError) as exc:
        raise frames.damage_error(IDENTITY_FILE, str(exc)) from exc


def create(
    files: filesystem.FileSystem,
    folder: pathlib.Path,
    deployment: str,
    host: str,
) -> Identity:
    """Write the identity file of a new folder durably; return its content."""
    incarnation = files.random_bytes(INCARNATION_BYTES).hex()
    identity = Identity(deployment, host, incarnation)
    raw = json.dumps(attrs.asdict(identity), indent=2) + '\n'
    filesystem.write_atomically(files, folder / IDENTITY_FILE, raw.encode())
    return identity


def check_owner(
    identity: Identity, folder: pathlib.Path, deployment: str, host: str
) -> None:
    """Check that a folder belongs to this deployment and host.

    Raises:
        CassiashiftError: STORAGE_REFUSED if it belongs to another one.
    """
    if identity.deployment != deployment:
        raise refusal_error(
            folder, f'it belongs to deployment {identity.deployment}'
        )
    if identity.host != host:
        raise refusal_error(folder, f'it belongs to host {identity.host}')


def refusal_error(folder: pathlib.Path, text: str) -> CassiashiftError:
    """Return a STORAGE_REFUSED error for a folder that must not be used."""
    return CassiashiftError(
        ErrorCode.STORAGE_REFUSED, f'folder {folder} is refused: {text}'
    )
