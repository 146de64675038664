"""Snapshot files, written atomically with one checksummed frame each."""

import pathlib

import msgspec

from cassiashift_core import consensus
from cassiashift_daemon.storage import filesystem
from cassiashift_daemon.storage import frames

PREFIX = 'snapshot-'
SUFFIX = '.state'

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(consensus.Snapshot)


def list_names(
    files: filesystem.FileSystem, folder: pathlib.Path
) -> list[str]:
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
    """Write a snapshot durably, then remove the older ones."""
    salt = files.random_bytes(frames.SALT_BYTES)
    payload = _encoder.encode(snapshot)
    data = frames.encode_header(salt) + frames.encode_frame(
        salt, frames.HEADER_BYTES, payload
    )
    path = folder / f'{PREFIX}{snapshot.index:016d}{SUFFIX}'
    filesystem.write_atomically(files, path, data)
    for name in list_names(files, folder):
        if name < path.name:
            files.remove(folder / name)


def load(
    files: filesystem.FileSystem, folder: pathlib.Path
) -> consensus.Snapshot | None:
    """Return the newest snapshot, or None if the folder holds none.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if that snapshot is damaged.
    """
    existing = list_names(files, folder)
    if not existing:
        return None
    content = frames.parse(files.read(folder / existing[-1]), existing[-1])
    if not content.is_whole or len(content.payloads) != 1:
        raise frames.damage_error(existing[-1], 'its checksum does not match')
    try:
        return _decoder.decode(content.payloads[0])
    except msgspec.MsgspecError as exc:
        raise frames.damage_error(existing[-1], str(exc)) from exc
