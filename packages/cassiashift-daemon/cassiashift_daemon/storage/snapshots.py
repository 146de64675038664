"""Snapshot files: written aside, synced, renamed, and the folder synced."""

import pathlib

import msgspec

from cassiashift_core import consensus
from cassiashift_daemon.storage import filesystem
from cassiashift_daemon.storage import frames

PREFIX = 'snapshot-'
SUFFIX = '.state'

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(consensus.Snapshot)


def names(files: filesystem.FileSystem, folder: pathlib.Path) -> list[str]:
    """Return the names of the snapshots from the oldest to the newest."""
    return [
        name
        for name in files.list_names(folder)
        if name.startswith(PREFIX) and name.endswith(SUFFIX)
    ]


def save(
    files: filesystem.FileSystem,
    folder: pathlib.Path,
    snapshot: consensus.Snapshot,
) -> None:
    """Save a snapshot durably and remove older ones."""
    salt = files.random_bytes(frames.SALT_BYTES)
    payload = _encoder.encode(snapshot)
    data = frames.header(salt) + frames.frame(
        salt, frames.HEADER_BYTES, payload
    )
    path = folder / f'{PREFIX}{snapshot.index:016d}{SUFFIX}'
    filesystem.write_aside(files, path, data)
    for name in names(files, folder):
        if name < path.name:
            files.remove(folder / name)


def load(
    files: filesystem.FileSystem, folder: pathlib.Path
) -> consensus.Snapshot | None:
    """Return the newest snapshot, if there is one.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if it is damaged.
    """
    found = names(files, folder)
    if not found:
        return None
    content = frames.parse(files.read(folder / found[-1]), found[-1])
    if not content.is_whole or len(content.payloads) != 1:
        raise frames.damaged(found[-1], 'its checksum does not match')
    try:
        return _decoder.decode(content.payloads[0])
    except msgspec.MsgspecError as exc:
        raise frames.damaged(found[-1], str(exc)) from exc
