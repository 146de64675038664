"""The table of the entries of a region that each entry keeps."""

from collections.abc import Iterable

import attrs

from cassiashift_core.fleet import messages
from cassiashift_core.fleet import sender_clock
from cassiashift_core import hashing

# Silent hosts are dropped after this; it exceeds any planned stop.
FORGET_AFTER_S = 60.0
# Ended processes of a host whose late records are recognised.
REMEMBERED_STARTS = 8
# A process that was taken for ended is heard again if the other one is silent.
ENDED_AFTER_S = 2.0
# A hello that was sent longer ago doesn't count. Callers may be sent to a
# process until 7 s after its end; the longest silence that is allowed before
# is 6.5 s from the time at which a hello was sent.
LATE_S = 2.0
# What was held up for longer is lost: connections end sooner.
KEEP_CLOCK_S = 3600.0


@attrs.define
class KnownEntry:
    """The record of an entry, and when it was sent on the local clock.

    Attributes:
        received_at: when it was sent, or received if that isn't known.
        ended_starts: ``started_ns`` of earlier processes of the host.
        is_confirmed: its sender is known to have run when it arrived.
    """

    record: messages.EntryRecord
    received_at: float
    ended_starts: tuple[int, ...] = ()
    is_confirmed: bool = True


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
    _clocks: dict[tuple[str, int], sender_clock.SenderClock] = attrs.field(
        factory=dict
    )

    def sent_at(
        self, record: messages.EntryRecord, uptime_s: float, now: float
    ) -> float | None:
        """Return the local time at which a hello was sent; None if too late.

        Args:
            uptime_s: as the hello states it; 0 if it doesn't.
        """
        if not uptime_s:
            return now
        key = record.host, record.started_ns
        clock = self._clocks.get(key)
        if clock is None:
            self._clocks[key] = sender_clock.SenderClock.from_hello(
                uptime_s, now
            )
            return now
        sent_at = clock.sent_at(uptime_s, now)
        return sent_at if now - sent_at <= LATE_S else None

    def _is_confirmed(self, record: messages.EntryRecord) -> bool:
        clock = self._clocks.get((record.host, record.started_ns))
        return clock is None or clock.is_confirmed

    def update(self, record: messages.EntryRecord, now: float) -> bool:
        """Store a host's record; return whether it is new or has changed.

        A record of a process that another one has followed is ignored. The
        order in which they were first heard decides: the time of day of a
        start may step back. If a late record made that order wrong, the
        process that is still heard is taken after ``ENDED_AFTER_S``.

        Args:
            now: when it was sent; see ``sent_at``.
        """
        known = self.by_host.get(record.host)
        if known is None:
            self._digest = None
            self._without_record.pop(record.host, None)
            self.by_host[record.host] = KnownEntry(
                record, now, is_confirmed=self._is_confirmed(record)
            )
            return True
        is_recent = now - known.received_at < ENDED_AFTER_S
        if record.started_ns in known.ended_starts and is_recent:
            return False
        ended = known.ended_starts
        if record.started_ns != known.record.started_ns:
            ended = (known.record.started_ns, *ended)[:REMEMBERED_STARTS]
        self.by_host[record.host] = KnownEntry(
            record, now, ended, self._is_confirmed(record)
        )
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
        for key, clock in list(self._clocks.items()):
            if now - clock.heard_at > KEEP_CLOCK_S:
                del self._clocks[key]
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
