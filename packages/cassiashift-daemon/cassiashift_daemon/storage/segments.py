"""Log segments: files that hold batches of log records.

Each batch is one frame and is synced before the next one is written. An
invalid frame that a valid one follows was therefore acknowledged; only invalid
bytes at the end of the newest segment can be an unfinished write.
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
    """A change of the log.

    Attributes:
        truncate_from: first index to remove before ``entries`` are added.
    """

    hard_state: consensus.HardState | None = None
    truncate_from: int | None = None
    entries: tuple[consensus.Entry, ...] = ()

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, 0 without entries."""
        return self.entries[-1].index if self.entries else 0


Batch = tuple[LogRecord, ...]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Batch)


@attrs.define
class Segment:
    """Metadata of a segment file, whether closed or being written.

    Attributes:
        first_batch: number of its first batch.
        batch_count: how many batches it holds.
        last_index: the greatest index of an entry in it.
        size: bytes of valid content, the header included.
    """

    path: pathlib.Path
    salt: bytes
    first_batch: int
    batch_count: int = 0
    last_index: int = 0
    size: int = frames.HEADER_BYTES

    @property
    def next_batch(self) -> int:
        """Return the number of the batch that follows the last one."""
        return self.first_batch + self.batch_count

    def encode_frame(self, batch: Batch) -> bytes:
        """Return the frame that appends a batch to the segment."""
        return frames.encode_frame(
            self.salt, self.size, _encoder.encode(batch)
        )

    def add_batch(self, batch: Batch, size: int) -> None:
        """Count a batch that was written, with its frame's size in bytes."""
        self.batch_count += 1
        self.size += size
        indexes = (record.last_index for record in batch)
        self.last_index = max(self.last_index, *indexes)


def list_names(
    files: filesystem.FileSystem, folder: pathlib.Path
) -> list[str]:
    """Return the names of the segments from the oldest to the newest."""
    return [
        name
        for name in files.list_names(folder)
        if name.startswith(PREFIX) and name.endswith(SUFFIX)
    ]


def create(
    files: filesystem.FileSystem, folder: pathlib.Path, first_batch: int
) -> Segment:
    """Create an empty segment durably; its name holds ``first_batch``."""
    path = folder / f'{PREFIX}{first_batch:016d}{SUFFIX}'
    salt = files.random_bytes(frames.SALT_BYTES)
    filesystem.write_atomically(files, path, frames.encode_header(salt))
    return Segment(path, salt, first_batch)


def load(
    files: filesystem.FileSystem, path: pathlib.Path, is_newest: bool
) -> tuple[Segment, list[Batch]]:
    """Read a segment; return its metadata and its batches.

    The newest segment is rewritten without an unfinished last batch. Its
    content may never have been synced; the rewrite makes it durable.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if acknowledged data is damaged.
    """
    data = files.read(path)
    content = frames.parse(data, path.name)
    if not content.is_whole and not is_newest:
        raise frames.damage_error(path.name, f'at byte {content.size}')
    if content.has_later_frame:
        raise frames.damage_error(
            path.name, f'at byte {content.size}, before a valid frame'
        )
    if is_newest:
        filesystem.write_atomically(files, path, data[: content.size])
    segment = Segment(path, content.salt, _parse_first_batch(path))
    batches = [_decode_batch(path, payload) for payload in content.payloads]
    for batch in batches:
        segment.add_batch(batch, 0)
    segment.size = content.size
    return segment, batches


def _decode_batch(path: pathlib.Path, payload: bytes) -> Batch:
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as exc:
        raise frames.damage_error(path.name, str(exc)) from exc


def _parse_first_batch(path: pathlib.Path) -> int:
    digits = path.name.removeprefix(PREFIX).removesuffix(SUFFIX)
    if not digits.isdecimal():
        raise frames.damage_error(path.name, 'its name holds no batch number')
    return int(digits)
