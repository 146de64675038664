"""The message in which an entry states its work in flight.

A row takes 9 bytes. Upstreams are named by 32 bits of a hash of the id and the
start: two entries whose tables differ for a moment still mean the same
upstream, which indexes into an agreed order would not ensure. Two of 12,000
upstreams share such a name with a probability of 0.017; each of them then also
counts the work of the other.
"""

from collections.abc import Iterable
import struct

import attrs

_ROW = struct.Struct('<IBHH')
WORK_UNIT_MS = 10
TOKEN_UNIT = 16
_LARGEST_BYTE = 0xFF
_LARGEST_SHORT = 0xFFFF
# Upstreams in one digest. An entry that uses more states the fullest ones.
MAX_ROWS = 512


@attrs.frozen
class WorkRow:
    """Work that one entry has in flight at one upstream.

    Attributes:
        short_id: see ``fleet.short_id``.
        work_ms: expected time until the upstream has done it.
        tokens: tokens that it holds in memory.
    """

    short_id: int
    in_flight: int
    work_ms: float = 0.0
    tokens: int = 0


@attrs.frozen
class WorkDigest:
    """The work that an entry has in flight at all upstreams.

    Attributes:
        started_ns: start of the sender's process.
        sent_ms: sender's monotonic clock; orders the digests of one process.
        interval_ms: time until the next digest.
        rows: see ``pack_rows``; empty once nothing is in flight any more.
        promises: see ``admission.pack_promises``; new since the last digest.
    """

    host: str
    started_ns: int
    sent_ms: int
    interval_ms: int
    rows: bytes = b''
    promises: bytes = b''


def pack_rows(rows: Iterable[WorkRow]) -> bytes:
    """Encode the ``MAX_ROWS`` fullest rows; work and tokens round up."""
    fullest = sorted(rows, key=lambda row: -row.in_flight)[:MAX_ROWS]
    return b''.join(
        _ROW.pack(
            row.short_id,
            min(row.in_flight, _LARGEST_BYTE),
            min(-int(-row.work_ms // WORK_UNIT_MS), _LARGEST_SHORT),
            min(-(-row.tokens // TOKEN_UNIT), _LARGEST_SHORT),
        )
        for row in fullest
    )


def unpack_rows(packed: bytes) -> list[WorkRow]:
    """Return the rows that ``pack_rows`` encoded.

    Raises:
        ValueError: the length fits no such rows.
    """
    if len(packed) % _ROW.size or len(packed) > MAX_ROWS * _ROW.size:
        raise ValueError(f'{len(packed)} bytes of rows')
    return [
        WorkRow(name, count, work * WORK_UNIT_MS, tokens * TOKEN_UNIT)
        for name, count, work, tokens in _ROW.iter_unpack(packed)
    ]
