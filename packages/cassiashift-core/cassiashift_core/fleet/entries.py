"""The table of the entries of a region that each entry keeps."""

from collections.abc import Iterable

import attrs

from cassiashift_core.fleet import messages
from cassiashift_core import hashing

# Silent hosts are dropped after this; it exceeds any planned stop.
FORGET_AFTER_S = 60.0
# Ended processes of a host whose late records are recognised.
REMEMBERED_STARTS = 8
# A process that was taken for ended is heard again if the other one is silent.
ENDED_AFTER_S = 2.0


@attrs.define
class KnownEntry:
    """The record of an entry, and when it was received on the local clock.

    Attributes:
        ended_starts: ``started_ns`` of earlier processes of the host.
    """

    record: messages.EntryRecord
    received_at: float
    ended_starts: tuple[int, ...] = ()


@attrs.define
class EntryTable:
    """Entries by host, and hosts known only from the tables of other entries.

    Attributes:
        by_host: entries that this one has received a record from.
    """

    own_host: str
    by_host: dict[str, KnownEntry] = attrs.field(factory=dict)
    _without_record: dict[str, float] = attrs.field(factory=dict)
    _digest: int | None = None

    def update(self, record: messages.EntryRecord, now: float) -> bool:
        """Store a host's record; return whether it is new or has changed.

        A record of a process that another one has followed is ignored. The
        order in which they were first heard decides: the time of day of a
        start may step back. If a late record made that order wrong, the
        process that is still heard is taken after ``ENDED_AFTER_S``.
        """
        known = self.by_host.get(record.host)
        if known is None:
            self._digest = None
            self._without_record.pop(record.host, None)
            self.by_host[record.host] = KnownEntry(record, now)
            return True
        is_recent = now - known.received_at < ENDED_AFTER_S
        if record.started_ns in known.ended_starts and is_recent:
            return False
        ended = known.ended_starts
        if record.started_ns != known.record.started_ns:
            ended = (known.record.started_ns, *ended)[:REMEMBERED_STARTS]
        self.by_host[record.host] = KnownEntry(record, now, ended)
        return known.record != record

    def add_hosts(self, hosts: Iterable[str], now: float) -> None:
        """Add hosts from another entry's table, so that hellos reach them."""
        for host in hosts:
            if host not in self.by_host and host != self.own_host:
                self._without_record.setdefault(host, now)

    def contacts(self) -> list[str]:
        """Return the hosts to send hellos to, with or without a record."""
        return [*self.by_host, *self._without_record]

    def alive(self, now: float, timeout_s: float) -> list[KnownEntry]:
        """Return the other entries with a record received in a time-out."""
        return [
            entry
            for entry in self.by_host.values()
            if now - entry.received_at <= timeout_s
        ]

    def forget_silent(self, now: float) -> None:
        """Drop hosts from which no record came for ``FORGET_AFTER_S``."""
        for host, entry in list(self.by_host.items()):
            if now - entry.received_at > FORGET_AFTER_S:
                del self.by_host[host]
                self._digest = None
        for host, since in list(self._without_record.items()):
            if now - since > FORGET_AFTER_S:
                del self._without_record[host]

    def hosts(self) -> list[str]:
        """Return the hosts with a record, and this one, in sorted order."""
        return sorted([*self.by_host, self.own_host])

    def digest(self) -> int:
        """Return a digest of ``hosts``, to compare two entries' tables."""
        if self._digest is None:
            text = '\n'.join(self.hosts())
            self._digest = hashing.stable_digest(text.encode())
        return self._digest
