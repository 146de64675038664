"""The membership table: rows, tombstones and bucket hashes."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from cassiashift_core import hashing
from cassiashift_core.membership import records

BUCKETS = 32
MAX_ROWS = 16_384
TOMBSTONE_RETENTION_S = 86_400.0


def _row_hash(record: records.Record) -> int:
    return hashing.stable_hash(
        record.host, str(record.incarnation), str(int(record.status))
    )


def _lacks_new_content(record: records.Record, old: records.Record) -> bool:
    if record.address or not record.usable:
        return False
    return record.incarnation != old.incarnation


def bucket_of(host: str) -> int:
    """Return the bucket of a host's row."""
    return hashing.stable_hash(host) % BUCKETS


@attrs.define
class Table:
    """Rows by host; that of a dead or left member is kept as a tombstone.

    Attributes:
        version: raised when the set of usable members changes.
    """

    _rows: dict[str, records.Record] = attrs.field(factory=dict)
    _hashes: list[int] = attrs.field(factory=lambda: [0] * BUCKETS)
    _tombstones_s: dict[str, float] = attrs.field(factory=dict)
    _usable: dict[records.Kind, dict[str, records.Record]] = attrs.field(
        factory=lambda: {kind: {} for kind in records.Kind}
    )
    version: int = 0

    def __len__(self) -> int:
        """Return the number of rows, tombstones included."""
        return len(self._rows)

    def get(self, host: str) -> records.Record | None:
        """Return the row of a host, None if there is none."""
        return self._rows.get(host)

    def usable(self, kind: records.Kind) -> dict[str, records.Record]:
        """Return the rows of a kind that are alive or suspected, by host."""
        return self._usable[kind]

    def tombstones(self, kind: records.Kind) -> list[records.Record]:
        """Return the tombstones of a kind."""
        rows = (self._rows[host] for host in self._tombstones_s)
        return [row for row in rows if row.kind is kind]

    def merge(
        self, record: records.Record, now: float
    ) -> records.Record | None:
        """Merge a record; return the new row, or None if nothing changed.

        A status without content keeps the content of the row. At an unknown
        incarnation, it is merged only if the member is dead or has left.
        """
        old = self._rows.get(record.host)
        if old is not None and not record.supersedes(old):
            return None
        if old is None and not self._may_add(record):
            return None
        if old is not None and _lacks_new_content(record, old):
            return None
        if old is not None and not record.address:
            record = attrs.evolve(
                record, address=old.address, upstreams=old.upstreams
            )
        self._store(old, record, now)
        return record

    def digest(self) -> tuple[int, ...]:
        """Return the hash of each bucket, equal for equal rows."""
        return tuple(self._hashes)

    def rows_in(self, buckets: Iterable[int]) -> Iterator[records.Record]:
        """Yield the rows whose hosts fall into the given buckets."""
        chosen = set(buckets)
        for record in self._rows.values():
            if bucket_of(record.host) in chosen:
                yield record

    def expire(self, now: float) -> None:
        """Remove the tombstones that are older than the retention period."""
        while self._tombstones_s:
            host, ended_s = next(iter(self._tombstones_s.items()))
            if now - ended_s < TOMBSTONE_RETENTION_S:
                return
            del self._tombstones_s[host]
            record = self._rows.pop(host)
            self._hashes[bucket_of(host)] ^= _row_hash(record)

    def _may_add(self, record: records.Record) -> bool:
        if len(self._rows) >= MAX_ROWS:
            return False
        return bool(record.address) or not record.usable

    def _store(
        self, old: records.Record | None, new: records.Record, now: float
    ) -> None:
        bucket = bucket_of(new.host)
        if old is not None:
            self._hashes[bucket] ^= _row_hash(old)
            self._usable[old.kind].pop(new.host, None)
            self._tombstones_s.pop(new.host, None)
        self._hashes[bucket] ^= _row_hash(new)
        self._rows[new.host] = new
        if new.usable:
            self._usable[new.kind][new.host] = new
        else:
            self._tombstones_s[new.host] = now
        if old is None or old.usable is not new.usable:
            self.version += 1
