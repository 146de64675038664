"""Membership as an entry takes part in it."""

import functools
import random
from typing import Any

import attrs

from cassiashift_core.membership import broadcasts
from cassiashift_core.membership import events
from cassiashift_core.membership import health
from cassiashift_core.membership import holders
from cassiashift_core.membership import messages
from cassiashift_core.membership import prober
from cassiashift_core.membership import records
from cassiashift_core.membership import summaries
from cassiashift_core.membership import suspicion
from cassiashift_core.membership import synchroniser
from cassiashift_core.membership import table

ASSIGN_INTERVAL_S = 1.0
REJOIN_INTERVAL_S = 10.0
REMOTE_SHARE = 0.5
REJOIN_ALONE_INTERVAL_S = 1.0


@attrs.define
class Membership:
    """State of an entry: its data centre in rows, others in summaries."""

    cfg: events.MembershipConfig
    rng: random.Random
    own: records.Record
    rows: table.Table = attrs.field(factory=table.Table)
    local_health: health.LocalHealth = attrs.field(factory=health.LocalHealth)
    left: bool = False
    _broadcasts: broadcasts.Broadcasts = attrs.field(
        factory=broadcasts.Broadcasts
    )
    _suspicions: dict[str, suspicion.Suspicion] = attrs.field(factory=dict)
    _prober: prober.Prober = attrs.field(init=False)
    _watch: holders.Watch = attrs.field(init=False)
    _summaries: summaries.Summaries = attrs.field(init=False)
    _synchroniser: synchroniser.Synchroniser = attrs.field(init=False)
    _assigned: tuple[int, float] = (-1, 0.0)
    _next_summary_s: float = 0.0
    _next_pull_s: float = 0.0
    _next_rejoin_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Build the parts that share the state."""
        self._prober = prober.Prober(
            self.rng, self.local_health, self._piggyback
        )
        self._watch = holders.Watch(self.cfg.host)
        self._summaries = summaries.Summaries(
            self.cfg.region, self.cfg.data_centre, self.cfg.host
        )
        self._synchroniser = synchroniser.Synchroniser(self.rng, self.rows)

    @classmethod
    def from_config(
        cls, cfg: events.MembershipConfig, rng: random.Random
    ) -> 'Membership':
        """Return the state of an entry that has just started."""
        own = records.Record(
            host=cfg.host,
            kind=records.Kind.ENTRY,
            incarnation=cfg.incarnation,
            address=cfg.address,
            http=cfg.http,
        )
        member = cls(cfg=cfg, rng=rng, own=own)
        member.rows.merge(own, 0.0)
        member._broadcasts.add(own)
        return member

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Return the effects of an event at a time."""
        return self._handle(event, now)

    def alive_entries(self) -> list[records.Record]:
        """Return the entries of the data centre that may be used."""
        return list(self.rows.usable(records.Kind.ENTRY).values())

    def upstreams(self) -> dict[str, records.Announcement]:
        """Return the usable upstreams of the data centre by id."""
        return {
            upstream.upstream: upstream
            for agent in self.agents()
            for upstream in agent.upstreams
        }

    def agents(self) -> list[records.Record]:
        """Return the agents of the data centre that may be used."""
        return list(self.rows.usable(records.Kind.AGENT).values())

    def watched_agents(self) -> list[str]:
        """Return the agents whose heartbeats come to this entry first."""
        return self._watch.first_held()

    def summaries(self) -> tuple[records.Summary, ...]:
        """Return one summary for each known data centre."""
        return self._summaries.all()

    def summary_age_s(self, data_centre: str, now: float) -> float | None:
        """Return the seconds since a summary last became newer."""
        return self._summaries.age_s(data_centre, now)

    def address_of(self, host: str) -> str | None:
        """Return the address of a host that effects may name."""
        record = self.rows.get(host)
        if record is not None and record.address:
            return record.address
        contacts = (
            *self.cfg.seeds,
            *self.cfg.remote_seeds,
            *self._summaries.remote_contacts(),
        )
        for contact in contacts:
            if contact.host == host:
                return contact.address
        return None

    @functools.singledispatchmethod
    def _handle(self, event: Any, now: float) -> list[events.Effect]:
        raise TypeError(f'unknown event {type(event).__name__}')

    @_handle.register
    def _(self, event: events.Leaving, now: float) -> list[events.Effect]:
        self.left = True
        self.own = attrs.evolve(self.own, status=records.Status.LEFT)
        self.rows.merge(self.own, now)
        departure = messages.Departure(self.own.without_content())
        peers = self._peers()
        count = min(2 * holders.HOLDERS, len(peers))
        return [
            events.Send(host, departure)
            for host in self.rng.sample(peers, count)
        ]

    @_handle.register
    def _(self, event: events.Tick, now: float) -> list[events.Effect]:
        if self.left:
            return []
        gap = self.local_health.observe_tick(now)
        if gap:
            self._prober.void(now)
            self._watch.shift(gap)
            self._shift_suspicions(gap)
        effects = self._blame(now)
        effects.extend(self._bury(now))
        effects.extend(self._prober.advance(now, self._peers()))
        effects.extend(self._synchroniser.tick(now, self._peers()))
        effects.extend(self._rejoin(now))
        self._assign(now)
        effects.extend(self._summarise(now))
        self.rows.expire(now)
        return effects

    @_handle.register
    def _(self, event: events.Received, now: float) -> list[events.Effect]:
        return self._receive(event.message, event.sender, now)

    @functools.singledispatchmethod
    def _receive(
        self, message: Any, sender: str, now: float
    ) -> list[events.Effect]:
        return []

    @_receive.register
    def _(
        self, message: messages.Ping, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._learn_all(message.updates, now)
        if self.left:
            return effects
        ack = messages.Ack(message.sequence, self._piggyback(sender))
        return [*effects, events.Send(sender, ack)]

    @_receive.register
    def _(
        self, message: messages.PingRequest, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._learn_all(message.updates, now)
        return effects + self._prober.relay(sender, message, now)

    @_receive.register
    def _(
        self, message: messages.Ack, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._prober.on_ack(message)
        return effects + self._learn_all(message.updates, now)

    @_receive.register
    def _(
        self, message: messages.Nack, sender: str, now: float
    ) -> list[events.Effect]:
        self._prober.on_nack(message)
        return []

    @_receive.register
    def _(
        self, message: messages.Departure, sender: str, now: float
    ) -> list[events.Effect]:
        if message.record.host != sender:
            return []
        return self._learn(message.record, now)

    @_receive.register
    def _(
        self, message: messages.Announce, sender: str, now: float
    ) -> list[events.Effect]:
        if message.record.host != sender:
            return []
        return self._learn(message.record, now)

    @_receive.register
    def _(
        self, message: messages.Heartbeat, sender: str, now: float
    ) -> list[events.Effect]:
        return [self._on_heartbeat(sender, message, now)]

    @_receive.register
    def _(
        self, message: messages.SyncDigest, sender: str, now: float
    ) -> list[events.Effect]:
        if self._synchroniser.agrees(message):
            entries = len(self.rows.usable(records.Kind.ENTRY))
            self._broadcasts.confirm(entries)
            return []
        return self._synchroniser.on_digest(message, sender)

    @_receive.register
    def _(
        self, message: messages.SyncRows, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._learn_all(message.rows, now)
        return effects + self._synchroniser.on_rows(message, sender, now)

    @_receive.register
    def _(
        self, message: messages.LoadReport, sender: str, now: float
    ) -> list[events.Effect]:
        self._summaries.report_load(sender, message.in_flight, now)
        return []

    @_receive.register
    def _(
        self, message: messages.SummaryPull, sender: str, now: float
    ) -> list[events.Effect]:
        push = self._summaries.answer(message, self.rng)
        return [] if push is None else [events.Send(sender, push)]

    @_receive.register
    def _(
        self, message: messages.SummaryPush, sender: str, now: float
    ) -> list[events.Effect]:
        self._summaries.merge(message, now)
        return []

    def _peers(self) -> list[str]:
        entries = self.rows.usable(records.Kind.ENTRY)
        return [host for host in entries if host != self.cfg.host]

    def _piggyback(self, receiver: str) -> tuple[records.Record, ...]:
        known = self.rows.get(receiver)
        first = None
        if known is not None and known.status is not records.Status.ALIVE:
            first = known.without_content()
        entries = len(self.rows.usable(records.Kind.ENTRY))
        return self._broadcasts.take(entries, first)

    def _learn_all(
        self, updates: tuple[records.Record, ...], now: float
    ) -> list[events.Effect]:
        effects = []
        for record in updates:
            effects.extend(self._learn(record, now))
        return effects

    def _learn(
        self, record: records.Record, now: float
    ) -> list[events.Effect]:
        if record.incarnation > records.MAX_INCARNATION:
            return []
        if record.host == self.cfg.host:
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
            self._watch.excuse(now)
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
        entries = len(self.rows.usable(records.Kind.ENTRY))
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

    def _shift_suspicions(self, gap_s: float) -> None:
        for held in self._suspicions.values():
            held.started_s += gap_s

    def _blame(self, now: float) -> list[events.Effect]:
        accused = self._watch.silent(now, self.local_health.factor)
        target = self._prober.failed_target(now)
        if target is not None:
            accused.append(target)
        effects = []
        for host in accused:
            effects.extend(self._accuse(host, now))
        return effects

    def _accuse(self, host: str, now: float) -> list[events.Effect]:
        known = self.rows.get(host)
        if known is None or not known.usable:
            return []
        return self._learn(
            attrs.evolve(
                known.without_content(),
                status=records.Status.SUSPECT,
                accuser=self.cfg.host,
            ),
            now,
        )

    def _bury(self, now: float) -> list[events.Effect]:
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
            effects.extend(self._learn(dead, now))
        return effects

    def _rejoin(self, now: float) -> list[events.Effect]:
        if now < self._next_rejoin_s:
            return []
        alone = not self._peers()
        self._next_rejoin_s = now + (
            REJOIN_ALONE_INTERVAL_S if alone else REJOIN_INTERVAL_S
        )
        usable = self.rows.usable(records.Kind.ENTRY)
        gone = {
            record.host
            for record in self.rows.unusable(records.Kind.ENTRY)
            if record.status is records.Status.DEAD
        }
        gone.update(contact.host for contact in self.cfg.seeds)
        candidates = sorted(gone - usable.keys())
        if not candidates:
            return []
        target = self.rng.choice(candidates)
        digest = messages.SyncDigest(self.rows.digest())
        return [self._prober.ping(target), events.Send(target, digest)]

    def _assign(self, now: float) -> None:
        version, assigned_s = self._assigned
        if version == self.rows.version:
            return
        if version >= 0 and now - assigned_s < ASSIGN_INTERVAL_S:
            return
        self._assigned = (self.rows.version, now)
        self._watch.assign(
            self.rows.usable(records.Kind.AGENT),
            self.rows.usable(records.Kind.ENTRY),
            now,
        )

    def _on_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat, now: float
    ) -> events.Effect:
        self._watch.heard(sender, heartbeat.in_flight, now)
        entries = self.rows.usable(records.Kind.ENTRY)
        hosts = self._watch.holders_of(sender, entries)
        contacts = ()
        if heartbeat.holders != holders.digest_of(hosts):
            contacts = tuple(
                records.Contact(host, entries[host].address)
                for host in hosts
                if host in entries
            )
        record = self.rows.get(sender)
        ack = messages.HeartbeatAck(
            incarnation=record.incarnation if record else 0,
            status=record.status if record else records.Status.ALIVE,
            known=bool(record) and record.incarnation == heartbeat.incarnation,
            holders=contacts,
        )
        return events.Send(sender, ack)

    def _summarise(self, now: float) -> list[events.Effect]:
        if now < self._next_pull_s:
            return []
        self._next_pull_s = now + summaries.PULL_INTERVAL_S
        entries = self.rows.usable(records.Kind.ENTRY)
        speakers = summaries.reporters(self.cfg.data_centre, entries)
        effects = self._report_load(speakers[0], now)
        if speakers[0] == self.cfg.host and now >= self._next_summary_s:
            self._next_summary_s = now + summaries.SUMMARY_INTERVAL_S
            self._summaries.renew(entries, self.agents(), self.rng, now)
        return effects + self._pull_summaries(speakers)

    def _pull_summaries(self, speakers: list[str]) -> list[events.Effect]:
        sources = self._peers()
        speaks = self.cfg.host in speakers
        if speaks and (not sources or self.rng.random() < REMOTE_SHARE):
            sources = self._remote_sources() or sources
        if not sources:
            return []
        source = self.rng.choice(sources)
        return [events.Send(source, self._summaries.pull())]

    def _report_load(self, reporter: str, now: float) -> list[events.Effect]:
        in_flight = self._watch.in_flight()
        if reporter == self.cfg.host:
            self._summaries.report_load(reporter, in_flight, now)
            return []
        return [events.Send(reporter, messages.LoadReport(in_flight))]

    def _remote_sources(self) -> list[str]:
        contacts = self._summaries.remote_contacts()
        hosts = {contact.host for contact in contacts}
        hosts.update(contact.host for contact in self.cfg.remote_seeds)
        return sorted(hosts)
