"""What an entry knows of the members, and how it changes.

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
class Knowledge:
    """The table, the suspicions and the updates to pass on.

    Attributes:
        own: this entry's own record.
        on_buried: called with the time when others took this entry for
            dead.
        left: this entry has left and refutes nothing.
    """

    own: records.Record
    local_health: health.LocalHealth
    on_buried: Callable[[float], None]
    rows: table.Table = attrs.field(factory=table.Table)
    left: bool = False
    _broadcasts: broadcasts.Broadcasts = attrs.field(
        factory=broadcasts.Broadcasts
    )
    _suspicions: dict[str, suspicion.Suspicion] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Know oneself, and announce it."""
        self.rows.merge(self.own, 0.0)
        self._broadcasts.add(self.own)

    @property
    def waiting(self) -> int:
        """Return the number of updates that are not passed on yet."""
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

    def gone_entries(self) -> set[str]:
        """Return the entries that are dead and have not left."""
        return {
            record.host
            for record in self.rows.unusable(records.Kind.ENTRY)
            if record.status is records.Status.DEAD
        }

    def leave(self, now: float) -> records.Record:
        """Leave, and return the status to tell the others."""
        self.left = True
        self.own = attrs.evolve(self.own, status=records.Status.LEFT)
        self.rows.merge(self.own, now)
        return self.own.without_content()

    def confirm(self) -> None:
        """Count a peer that holds the same rows."""
        self._broadcasts.confirm(len(self.entries()))

    def piggyback(self, receiver: str) -> tuple[records.Record, ...]:
        """Return the updates for a message to a receiver."""
        known = self.rows.get(receiver)
        first = None
        if known is not None and known.status is not records.Status.ALIVE:
            first = known.without_content()
        entries = len(self.entries())
        return self._broadcasts.take(entries, first)

    def learn_all(
        self, updates: tuple[records.Record, ...], now: float
    ) -> list[events.Effect]:
        """Take in records and return what has changed."""
        effects = []
        for record in updates:
            effects.extend(self.learn(record, now))
        return effects

    def learn(self, record: records.Record, now: float) -> list[events.Effect]:
        """Take in a record and return what has changed."""
        if record.incarnation > records.MAX_INCARNATION:
            return []
        if record.host == self.own.host:
            self._refute(record, now)
            return []
        if record.status is records.Status.SUSPECT:
            self._confirm(record)
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
        if self.left or not record.supersedes(self.own):
            return
        if record.status is records.Status.SUSPECT:
            self.local_health.add(1)
        if record.status is records.Status.DEAD:
            self.on_buried(now)
        self.own = attrs.evolve(self.own, incarnation=record.incarnation + 1)
        self.rows.merge(self.own, now)
        self._broadcasts.add(self.own)

    def _confirm(self, record: records.Record) -> None:
        held = self._suspicions.get(record.host)
        if held is None or held.incarnation != record.incarnation:
            return
        if held.accuse(record.accuser):
            self._broadcasts.add(record)

    def _track_suspicion(self, record: records.Record, now: float) -> None:
        if record.status is not records.Status.SUSPECT:
            self._suspicions.pop(record.host, None)
            return
        entries = len(self.entries())
        if record.kind is records.Kind.ENTRY:
            held = suspicion.Suspicion.of_entry(
                record.incarnation, entries, prober.PROBE_INTERVAL_S, now
            )
        else:
            held = suspicion.Suspicion.of_agent(
                record.incarnation, min(entries, holders.HOLDERS), now
            )
        held.accuse(record.accuser)
        self._suspicions[record.host] = held

    def shift(self, gap_s: float) -> None:
        """Move all suspicions by a gap in which this entry did not run."""
        for held in self._suspicions.values():
            held.started_s += gap_s

    def accuse(self, host: str, now: float) -> list[events.Effect]:
        """Suspect a member and return what has changed."""
        known = self.rows.get(host)
        if known is None or not known.usable:
            return []
        return self.learn(
            attrs.evolve(
                known.without_content(),
                status=records.Status.SUSPECT,
                accuser=self.own.host,
            ),
            now,
        )

    def bury(self, now: float) -> list[events.Effect]:
        """Declare dead whom nobody cleared in time."""
        expired = [
            host
            for host, held in self._suspicions.items()
            if now >= held.deadline()
        ]
        effects = []
        for host in expired:
            dead = attrs.evolve(
                self.rows.get(host).without_content(),
                status=records.Status.DEAD,
            )
            effects.extend(self.learn(dead, now))
        return effects
