"""Membership as an entry takes part in it."""

import functools
import random
from typing import Any

import attrs

from cassiashift_core.membership import events
from cassiashift_core.membership import exchange
from cassiashift_core.membership import health
from cassiashift_core.membership import holders
from cassiashift_core.membership import knowledge
from cassiashift_core.membership import messages
from cassiashift_core.membership import prober
from cassiashift_core.membership import records
from cassiashift_core.membership import summaries
from cassiashift_core.membership import synchroniser
from cassiashift_core.membership import table

ASSIGN_INTERVAL_S = 1.0
REJOIN_INTERVAL_S = 10.0
REJOIN_ALONE_INTERVAL_S = 1.0


@attrs.define
class Membership:
    """State of an entry: its data centre in rows, others in summaries."""

    cfg: events.MembershipConfig
    rng: random.Random
    local_health: health.LocalHealth = attrs.field(factory=health.LocalHealth)
    _known: knowledge.Knowledge = attrs.field(init=False)
    _exchange: exchange.Exchange = attrs.field(init=False)
    _prober: prober.Prober = attrs.field(init=False)
    _watch: holders.Watch = attrs.field(init=False)
    _summaries: summaries.Summaries = attrs.field(init=False)
    _synchroniser: synchroniser.Synchroniser = attrs.field(init=False)
    _assigned: tuple[int, float] = (-1, 0.0)
    _next_rejoin_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Build the parts that share the state."""
        own = records.Record(
            host=self.cfg.host,
            kind=records.Kind.ENTRY,
            incarnation=self.cfg.incarnation,
            address=self.cfg.address,
            http=self.cfg.http,
        )
        self._watch = holders.Watch(self.cfg.host)
        self._known = knowledge.Knowledge(
            own, self.local_health, self._watch.excuse
        )
        self._prober = prober.Prober(
            self.rng, self.local_health, self._known.piggyback
        )
        self._summaries = summaries.Summaries(
            self.cfg.region, self.cfg.data_centre, self.cfg.host
        )
        self._exchange = exchange.Exchange(
            self.cfg, self.rng, self._known, self._watch, self._summaries
        )
        self._synchroniser = synchroniser.Synchroniser(
            self.rng, self._known.rows
        )

    @classmethod
    def from_config(
        cls, cfg: events.MembershipConfig, rng: random.Random
    ) -> 'Membership':
        """Return the state of an entry that has just started."""
        return cls(cfg=cfg, rng=rng)

    @property
    def own(self) -> records.Record:
        """Return this entry's own record."""
        return self._known.own

    @property
    def rows(self) -> table.Table:
        """Return the table of the data centre."""
        return self._known.rows

    @property
    def waiting_updates(self) -> int:
        """Return the number of updates that are not passed on yet."""
        return self._known.waiting

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Return the effects of an event at a time."""
        return self._handle(event, now)

    def alive_entries(self) -> list[records.Record]:
        """Return the entries of the data centre that may be used."""
        return list(self._known.entries().values())

    def upstreams(self) -> dict[str, records.Announcement]:
        """Return the usable upstreams of the data centre by id."""
        return {
            upstream.upstream: upstream
            for agent in self.agents()
            for upstream in agent.upstreams
        }

    def agents(self) -> list[records.Record]:
        """Return the agents of the data centre that may be used."""
        return list(self._known.agents().values())

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
        departure = messages.Departure(self._known.leave(now))
        peers = self._known.peers()
        count = min(2 * holders.HOLDERS, len(peers))
        return [
            events.Send(host, departure)
            for host in self.rng.sample(peers, count)
        ]

    @_handle.register
    def _(self, event: events.Tick, now: float) -> list[events.Effect]:
        if self._known.left:
            return []
        gap = self.local_health.observe_tick(now)
        if gap:
            self._prober.void(now)
            self._watch.shift(gap)
            self._known.shift(gap)
        effects = self._blame(now)
        effects.extend(self._known.bury(now))
        effects.extend(self._prober.advance(now, self._known.peers()))
        effects.extend(self._synchroniser.tick(now, self._known.peers()))
        effects.extend(self._rejoin(now))
        self._assign(now)
        effects.extend(self._exchange.tick(now))
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
        effects = self._known.learn_all(message.updates, now)
        if self._known.left:
            return effects
        ack = messages.Ack(message.sequence, self._known.piggyback(sender))
        return [*effects, events.Send(sender, ack)]

    @_receive.register
    def _(
        self, message: messages.PingRequest, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._known.learn_all(message.updates, now)
        return effects + self._prober.relay(sender, message, now)

    @_receive.register
    def _(
        self, message: messages.Ack, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._prober.on_ack(message)
        return effects + self._known.learn_all(message.updates, now)

    @_receive.register
    def _(
        self, message: messages.Nack, sender: str, now: float
    ) -> list[events.Effect]:
        self._prober.on_nack(message)
        return []

    @_receive.register(messages.Announce)
    @_receive.register(messages.Departure)
    def _(self, message: Any, sender: str, now: float) -> list[events.Effect]:
        if message.record.host != sender:
            return []
        return self._known.learn(message.record, now)

    @_receive.register
    def _(
        self, message: messages.Heartbeat, sender: str, now: float
    ) -> list[events.Effect]:
        ack = self._watch.answer(
            sender,
            message,
            self.rows.get(sender),
            self._known.entries(),
            now,
        )
        return [events.Send(sender, ack)]

    @_receive.register
    def _(
        self, message: messages.SyncDigest, sender: str, now: float
    ) -> list[events.Effect]:
        if self._synchroniser.agrees(message):
            self._known.confirm()
            return []
        return self._synchroniser.on_digest(message, sender)

    @_receive.register
    def _(
        self, message: messages.SyncRows, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._known.learn_all(message.rows, now)
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

    def _blame(self, now: float) -> list[events.Effect]:
        accused = self._watch.silent(now, self.local_health.factor)
        target = self._prober.failed_target(now)
        if target is not None:
            accused.append(target)
        effects = []
        for host in accused:
            effects.extend(self._known.accuse(host, now))
        return effects

    def _rejoin(self, now: float) -> list[events.Effect]:
        if now < self._next_rejoin_s:
            return []
        alone = not self._known.peers()
        self._next_rejoin_s = now + (
            REJOIN_ALONE_INTERVAL_S if alone else REJOIN_INTERVAL_S
        )
        usable = self._known.entries()
        gone = self._known.gone_entries()
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
            self._known.agents(),
            self._known.entries(),
            now,
        )
