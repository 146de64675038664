"""The identity of a data folder."""

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
    """Whose folder it is; ``incarnation`` differs after it was emptied."""

    deployment: str
    host: str
    incarnation: str


def load(
    files: filesystem.FileSystem, folder: pathlib.Path
) -> Identity | None:
    """Return the identity in a folder, or None if there is no file.

    Raises:
        CassiashiftError: STORAGE_REFUSED if the file was emptied,
            STORAGE_DAMAGED if it can't be read.
    """
    if IDENTITY_FILE not in files.list_names(folder):
        return None
    raw = files.read(folder / IDENTITY_FILE)
    if not raw.strip():
        raise refused(folder, 'its identity was emptied')
    try:
        return Identity(**json.loads(raw))
    except (TypeError, ValueError) as exc:
        raise frames.damaged(IDENTITY_FILE, str(exc)) from exc


def create(
    files: filesystem.FileSystem,
    folder: pathlib.Path,
    deployment: str,
    host: str,
) -> Identity:
    """Give a new folder its identity durably."""
    incarnation = files.random_bytes(INCARNATION_BYTES).hex()
    found = Identity(deployment, host, incarnation)
    raw = json.dumps(attrs.asdict(found), indent=2) + '\n'
    filesystem.write_aside(files, folder / IDENTITY_FILE, raw.encode())
    return found


def check(
    found: Identity, folder: pathlib.Path, deployment: str, host: str
) -> None:
    """Refuse a folder of another deployment or host."""
    if found.deployment != deployment:
        raise refused(folder, f'it belongs to deployment {found.deployment}')
    if found.host != host:
        raise refused(folder, f'it belongs to host {found.host}')


def refused(folder: pathlib.Path, text: str) -> CassiashiftError:
    """Return the error for a folder that must not be used."""
    return CassiashiftError(
        ErrorCode.STORAGE_REFUSED, f'folder {folder} is refused: {text}'
    )
