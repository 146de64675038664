"""Checksummed frames in a file that starts with a random salt.

The checksum covers the salt and the offset. Bytes inside a payload that look
like a frame, and frames left over from an older file, therefore do not match.
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
class ParsedFile:
    """The result of parsing a file.

    Attributes:
        payloads: payloads of the valid frames before the first invalid one.
        size: bytes up to the end of the last of these frames.
        is_whole: whether the file ends there, without an invalid frame.
        has_later_frame: whether a valid frame follows an invalid one.
    """

    salt: bytes
    payloads: tuple[bytes, ...]
    size: int
    is_whole: bool
    has_later_frame: bool


def encode_header(salt: bytes) -> bytes:
    """Return the header of a file: magic, salt and checksum."""
    start = FILE_MAGIC + salt
    return start + _CHECKSUM.pack(zlib.crc32(start))


def encode_frame(salt: bytes, offset: int, payload: bytes) -> bytes:
    """Return the frame for a payload that is written at a byte offset."""
    checksum = _checksum(salt, offset, payload)
    return _FRAME.pack(FRAME_MAGIC, len(payload), checksum) + payload


def parse(data: bytes, name: str) -> ParsedFile:
    """Parse the content of a file up to the first invalid frame.

    Raises:
        CassiashiftError: STORAGE_DAMAGED if the header is damaged.
    """
    salt = data[len(FILE_MAGIC) : len(FILE_MAGIC) + SALT_BYTES]
    if data[:HEADER_BYTES] != encode_header(salt):
        raise damage_error(name, 'the header is invalid')
    payloads = []
    offset = HEADER_BYTES
    while offset < len(data):
        payload = _read_payload(data, salt, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += _FRAME.size + len(payload)
    is_whole = offset == len(data)
    has_later = not is_whole and _has_frame_after(data, salt, offset)
    return ParsedFile(salt, tuple(payloads), offset, is_whole, has_later)


def damage_error(name: str, text: str) -> CassiashiftError:
    """Return a STORAGE_DAMAGED error that names the file."""
    return CassiashiftError(
        ErrorCode.STORAGE_DAMAGED, f'{name} is damaged: {text}'
    )


def _checksum(salt: bytes, offset: int, payload: bytes) -> int:
    start = zlib.crc32(salt + _OFFSET.pack(offset, len(payload)))
    return zlib.crc32(payload, start)


def _read_payload(data: bytes, salt: bytes, offset: int) -> bytes | None:
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
        if _read_payload(data, salt, offset) is not None:
            return True
        offset = data.find(FRAME_MAGIC, offset + 1)
    return False
