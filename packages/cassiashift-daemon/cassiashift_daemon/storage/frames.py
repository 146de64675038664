"""Checksummed frames in a file that starts with a random salt.

The checksum covers the salt and the offset, so that bytes which look like a
frame inside of another one, or left by an older file, are not taken for one.
"""

import struct
import zlib

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode

FILE_MAGIC = b'CSFILE01'
FRAME_MAGIC = b'CSFR'
SALT_BYTES = 8
HEADER_BYTES = len(FILE_MAGIC) + SALT_BYTES + 4

_FRAME = struct.Struct('<4sII')
_OFFSET = struct.Struct('<QI')
_CHECKSUM = struct.Struct('<I')


@attrs.frozen
class Content:
    """The frames of a file.

    Attributes:
        payloads: the payloads of the valid frames from the start on.
        size: bytes up to the end of the last of them.
        is_whole: whether the file ends there.
        has_later_frame: whether a valid frame follows after damage.
    """

    salt: bytes
    payloads: tuple[bytes, ...]
    size: int
    is_whole: bool
    has_later_frame: bool


def header(salt: bytes) -> bytes:
    """Return the first bytes of a file."""
    start = FILE_MAGIC + salt
    return start + _CHECKSUM.pack(zlib.crc32(start))


def frame(salt: bytes, offset: int, payload: bytes) -> bytes:
    """Return a frame for a payload at an offset in bytes."""
    checksum = _checksum(salt, offset, payload)
    return _FRAME.pack(FRAME_MAGIC, len(payload), checksum) + payload


def parse(data: bytes, name: str) -> Content:
    """Return the frames in the content of a file.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if the header is damaged.
    """
    salt = data[len(FILE_MAGIC) : len(FILE_MAGIC) + SALT_BYTES]
    if data[:HEADER_BYTES] != header(salt):
        raise damaged(name, 'its header is not valid')
    payloads = []
    offset = HEADER_BYTES
    while offset < len(data):
        payload = _payload_at(data, salt, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += _FRAME.size + len(payload)
    is_whole = offset == len(data)
    later = not is_whole and _has_frame_after(data, salt, offset)
    return Content(salt, tuple(payloads), offset, is_whole, later)


def damaged(name: str, text: str) -> CassiashiftError:
    """Return the error for a damaged file."""
    return CassiashiftError(
        ErrorCode.STORAGE_DAMAGED, f'{name} is damaged: {text}'
    )


def _checksum(salt: bytes, offset: int, payload: bytes) -> int:
    start = zlib.crc32(salt + _OFFSET.pack(offset, len(payload)))
    return zlib.crc32(payload, start)


def _payload_at(data: bytes, salt: bytes, offset: int) -> bytes | None:
    start = offset + _FRAME.size
    if start > len(data):
        return None
    magic, length, checksum = _FRAME.unpack_from(data, offset)
    if magic != FRAME_MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    if _checksum(salt, offset, payload) != checksum:
        return None
    return payload


def _has_frame_after(data: bytes, salt: bytes, offset: int) -> bool:
    offset = data.find(FRAME_MAGIC, offset + 1)
    while offset >= 0:
        if _payload_at(data, salt, offset) is not None:
            return True
        offset = data.find(FRAME_MAGIC, offset + 1)
    return False
