"""Log segments: files that hold batches of log records.

Each batch is one frame and is synced before the next one is written. A
damaged frame with a valid one after it was therefore acknowledged, and only
a damaged end of the newest segment can be an unfinished write.
"""

import pathlib

import attrs
import msgspec

from cassiashift_core import consensus
from cassiashift_daemon.storage import filesystem
from cassiashift_daemon.storage import frames

PREFIX = 'log-'
SUFFIX = '.segment'


@attrs.frozen
class LogRecord:
    """A change of the log; the truncation comes before the entries."""

    hard_state: consensus.HardState | None = None
    truncate_from: int | None = None
    entries: tuple[consensus.Entry, ...] = ()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or 0."""
        return self.entries[-1].index if self.entries else 0


Batch = tuple[LogRecord, ...]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Batch)


@attrs.define
class Segment:
    """A segment that may be read no more, or is being written.

    Attributes:
        first: number of its first batch.
        batches: how many batches it holds.
        last_index: the greatest index of an entry in it.
        size: bytes.
    """

    path: pathlib.Path
    salt: bytes
    first: int
    batches: int = 0
    last_index: int = 0
    size: int = frames.HEADER_BYTES

    @property
    def next(self) -> int:
        """Return the number of the batch that follows the last one."""
        return self.first + self.batches

    def frame(self, batch: Batch) -> bytes:
        """Return a batch as the next frame."""
        return frames.frame(self.salt, self.size, _encoder.encode(batch))

    def count(self, batch: Batch, size: int) -> None:
        """Note that a batch of a size in bytes is in the segment."""
        self.batches += 1
        self.size += size
        indexes = (record.last_index for record in batch)
        self.last_index = max(self.last_index, *indexes)


def names(files: filesystem.FileSystem, folder: pathlib.Path) -> list[str]:
    """Return the names of the segments from the oldest to the newest."""
    return [
        name
        for name in files.list_names(folder)
        if name.startswith(PREFIX) and name.endswith(SUFFIX)
    ]


def create(
    files: filesystem.FileSystem, folder: pathlib.Path, first: int
) -> Segment:
    """Create an empty segment durably."""
    path = folder / f'{PREFIX}{first:016d}{SUFFIX}'
    salt = files.random_bytes(frames.SALT_BYTES)
    filesystem.write_aside(files, path, frames.header(salt))
    return Segment(path, salt, first)


def load(
    files: filesystem.FileSystem, path: pathlib.Path, is_newest: bool
) -> tuple[Segment, list[Batch]]:
    """Return a segment and its batches.

    The newest segment is written anew without an unfinished last batch. What
    was read from it may never have been synced, and is durable after that.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if acknowledged data is damaged.
    """
    data = files.read(path)
    content = frames.parse(data, path.name)
    if not content.is_whole and not is_newest:
        raise frames.damaged(path.name, f'at byte {content.size}')
    if content.has_later_frame:
        raise frames.damaged(
            path.name, f'at byte {content.size}, before its end'
        )
    if is_newest:
        filesystem.write_aside(files, path, data[: content.size])
    segment = Segment(path, content.salt, _first_of(path))
    batches = [_decode(path, payload) for payload in content.payloads]
    for batch in batches:
        segment.count(batch, 0)
    segment.size = content.size
    return segment, batches


def _decode(path: pathlib.Path, payload: bytes) -> Batch:
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as exc:
        raise frames.damaged(path.name, str(exc)) from exc


def _first_of(path: pathlib.Path) -> int:
    digits = path.name.removeprefix(PREFIX).removesuffix(SUFFIX)
    if not digits.isdecimal():
        raise frames.damaged(path.name, 'its name has no number')
    return int(digits)
