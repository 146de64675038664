"""The members that an entry knows, and the rules by which they change.

Merging, refutation and suspicion after Das, Gupta and Motivala, "SWIM",
DSN 2002.
"""

from collections.abc import Callable

import attrs

from cassiashift_core.membership import broadcasts
from cassiashift_core.membership import events
from cassiashift_core.membership import health
from cassiashift_core.membership import holders
from cassiashift_core.membership import prober
from cassiashift_core.membership import records
from cassiashift_core.membership import suspicion
from cassiashift_core.membership import table


@attrs.define
class MemberList:
    """The table of members, the suspicions and the updates to send on.

    Attributes:
        own: this entry's own record.
        on_declared_dead: called with the time when this entry learns that
            others have declared it dead.
        has_left: this entry has left and refutes no suspicion or death.
    """

    own: records.Record
    local_health: health.LocalHealth
    on_declared_dead: Callable[[float], None]
    rows: table.Table = attrs.field(factory=table.Table)
    has_left: bool = False
    _broadcasts: broadcasts.Broadcasts = attrs.field(
        factory=broadcasts.Broadcasts
    )
    _suspicions: dict[str, suspicion.Suspicion] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add this entry's record to the table and to the updates to send."""
        self.rows.merge(self.own, 0.0)
        self._broadcasts.add(self.own)

    @property
    def pending_updates(self) -> int:
        """Return the number of updates that still have to be sent."""
        return len(self._broadcasts)

    def entries(self) -> dict[str, records.Record]:
        """Return the usable entries of the data centre."""
        return self.rows.usable(records.Kind.ENTRY)

    def agents(self) -> dict[str, records.Record]:
        """Return the usable agents of the data centre."""
        return self.rows.usable(records.Kind.AGENT)

    def peers(self) -> list[str]:
        """Return the usable entries other than this one."""
        return [host for host in self.entries() if host != self.own.host]

    def dead_entries(self) -> set[str]:
        """Return the entries that are dead, without those that left."""
        return {
            record.host
            for record in self.rows.tombstones(records.Kind.ENTRY)
            if record.status is records.Status.DEAD
        }

    def leave(self, now: float) -> records.Record:
        """Mark this entry as left; return the update for the others."""
        self.has_left = True
        self.own = attrs.evolve(self.own, status=records.Status.LEFT)
        self.rows.merge(self.own, now)
        return self.own.without_content()

    def count_synced_peer(self) -> None:
        """Count a transmission of every update, as a peer has equal rows."""
        self._broadcasts.count_synced_peer(len(self.entries()))

    def piggyback(self, receiver: str) -> tuple[records.Record, ...]:
        """Return the updates for a message to a receiver.

        A receiver that is not known as alive gets its own status among
        them, so that it can refute it.
        """
        known = self.rows.get(receiver)
        required = None
        if known is not None and known.status is not records.Status.ALIVE:
            required = known.without_content()
        entries = len(self.entries())
        return self._broadcasts.next_batch(entries, required)

    def merge_all(
        self, updates: tuple[records.Record, ...], now: float
    ) -> list[events.Effect]:
        """Merge records and return a ``Changed`` for each new status."""
        effects = []
        for record in updates:
            effects.extend(self.merge(record, now))
        return effects

    def merge(self, record: records.Record, now: float) -> list[events.Effect]:
        """Merge a record; return a ``Changed`` if it is newer than the row.

        A record of this entry itself is refuted if it is newer. One with
        an incarnation above ``MAX_INCARNATION`` is ignored.
        """
        if record.incarnation > records.MAX_INCARNATION:
            return []
        if record.host == self.own.host:
            self._refute(record, now)
            return []
        if record.status is records.Status.SUSPECT:
            self._add_accuser(record)
        merged = self.rows.merge(record, now)
        if merged is None:
            return []
        if record.usable and record.address:
            self._broadcasts.add(merged)
        else:
            self._broadcasts.add(merged.without_content())
        self._track_suspicion(merged, now)
        return [events.Changed(merged, merged.status)]

    def _refute(self, record: records.Record, now: float) -> None:
        if self.has_left or not record.supersedes(self.own):
            return
        if record.status is records.Status.SUSPECT:
            self.local_health.adjust(1)
        if record.status is records.Status.DEAD:
            self.on_declared_dead(now)
        self.own = attrs.evolve(self.own, incarnation=record.incarnation + 1)
        self.rows.merge(self.own, now)
        self._broadcasts.add(self.own)

    def _add_accuser(self, record: records.Record) -> None:
        current = self._suspicions.get(record.host)
        if current is None or current.incarnation != record.incarnation:
            return
        if current.add_accuser(record.accuser):
            self._broadcasts.add(record)

    def _track_suspicion(self, record: records.Record, now: float) -> None:
        if record.status is not records.Status.SUSPECT:
            self._suspicions.pop(record.host, None)
            return
        entries = len(self.entries())
        if record.kind is records.Kind.ENTRY:
            current = suspicion.Suspicion.for_entry(
                record.incarnation, entries, prober.PROBE_INTERVAL_S, now
            )
        else:
            current = suspicion.Suspicion.for_agent(
                record.incarnation, min(entries, holders.HOLDERS), now
            )
        current.add_accuser(record.accuser)
        self._suspicions[record.host] = current

    def shift_deadlines(self, gap_s: float) -> None:
        """Postpone all deadlines by a gap in which this entry did not run."""
        for item in self._suspicions.values():
            item.started_s += gap_s

    def suspect(self, host: str, now: float) -> list[events.Effect]:
        """Suspect a usable member; return a ``Changed`` if that is new."""
        known = self.rows.get(host)
        if known is None or not known.usable:
            return []
        return self.merge(
            attrs.evolve(
                known.without_content(),
                status=records.Status.SUSPECT,
                accuser=self.own.host,
            ),
            now,
        )

    def expire_suspicions(self, now: float) -> list[events.Effect]:
        """Declare dead the members whose suspicion is past its deadline."""
        expired = [
            host
            for host, item in self._suspicions.items()
            if now >= item.deadline()
        ]
        effects = []
        for host in expired:
            dead = attrs.evolve(
                self.rows.get(host).without_content(),
                status=records.Status.DEAD,
            )
            effects.extend(self.merge(dead, now))
        return effects
