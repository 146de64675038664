"""The entry side of membership.

Das, Gupta and Motivala, "SWIM", DSN 2002, among the entries of a data centre;
agents send heartbeats to their holders; data centres exchange summaries.
"""

import functools
import random
from typing import Any

import attrs

from cassiashift_core.membership import events
from cassiashift_core.membership import exchange
from cassiashift_core.membership import health
from cassiashift_core.membership import holders
from cassiashift_core.membership import member_list
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
    """State of an entry: rows of its data centre, summaries of others."""

    cfg: events.MembershipConfig
    rng: random.Random
    local_health: health.LocalHealth = attrs.field(factory=health.LocalHealth)
    _members: member_list.MemberList = attrs.field(init=False)
    _exchange: exchange.SummaryExchange = attrs.field(init=False)
    _prober: prober.Prober = attrs.field(init=False)
    _monitor: holders.HeartbeatMonitor = attrs.field(init=False)
    _summaries: summaries.Summaries = attrs.field(init=False)
    _synchroniser: synchroniser.Synchroniser = attrs.field(init=False)
    _last_assignment: tuple[int, float] = (-1, 0.0)
    _next_rejoin_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Create the components, which share the member list."""
        own = records.Record(
            host=self.cfg.host,
            kind=records.Kind.ENTRY,
            incarnation=self.cfg.incarnation,
            address=self.cfg.address,
            http=self.cfg.http,
        )
        self._monitor = holders.HeartbeatMonitor(self.cfg.host)
        self._members = member_list.MemberList(
            own, self.local_health, self._monitor.restart_grace
        )
        self._prober = prober.Prober(
            self.rng, self.local_health, self._members.piggyback
        )
        self._summaries = summaries.Summaries(
            self.cfg.region, self.cfg.data_centre, self.cfg.host
        )
        self._exchange = exchange.SummaryExchange(
            self.cfg, self.rng, self._members, self._monitor, self._summaries
        )
        self._synchroniser = synchroniser.Synchroniser(
            self.rng, self._members.rows
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
        return self._members.own

    @property
    def rows(self) -> table.Table:
        """Return the membership table of the data centre."""
        return self._members.rows

    @property
    def pending_updates(self) -> int:
        """Return the number of updates that still have to be sent."""
        return self._members.pending_updates

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Apply an event and return its effects; ``now`` is in seconds."""
        return self._handle(event, now)

    def usable_entries(self) -> list[records.Record]:
        """Return the entries of the data centre, suspected ones included."""
        return list(self._members.entries().values())

    def upstreams(self) -> dict[str, records.Announcement]:
        """Return the upstreams behind the usable agents, by id."""
        return {
            upstream.upstream: upstream
            for agent in self.agents()
            for upstream in agent.upstreams
        }

    def agents(self) -> list[records.Record]:
        """Return the agents of the data centre, suspected ones included."""
        return list(self._members.agents().values())

    def agents_held_first(self) -> list[str]:
        """Return the agents whose first holder is this entry."""
        return self._monitor.agents_held_first()

    def summaries(self) -> tuple[records.Summary, ...]:
        """Return a summary for each known data centre, including this one."""
        return self._summaries.all()

    def summary_age_s(self, data_centre: str, now: float) -> float | None:
        """Return the age of a summary, None if there is none."""
        return self._summaries.age_s(data_centre, now)

    def address_of(self, host: str) -> str | None:
        """Return the address of a host, None if it is not known."""
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
        departure = messages.Departure(self._members.leave(now))
        peers = self._members.peers()
        count = min(2 * holders.HOLDERS, len(peers))
        return [
            events.Send(host, departure)
            for host in self.rng.sample(peers, count)
        ]

    @_handle.register
    def _(self, event: events.Tick, now: float) -> list[events.Effect]:
        if self._members.has_left:
            return []
        gap = self.local_health.observe_tick(now)
        if gap:
            self._prober.cancel(now)
            self._monitor.shift_deadlines(gap)
            self._members.shift_deadlines(gap)
        effects = self._suspect_unresponsive(now)
        effects.extend(self._members.expire_suspicions(now))
        effects.extend(self._prober.tick(now, self._members.peers()))
        effects.extend(self._synchroniser.tick(now, self._members.peers()))
        effects.extend(self._rejoin(now))
        self._assign_agents(now)
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
        effects = self._members.merge_all(message.updates, now)
        if self._members.has_left:
            return effects
        ack = messages.Ack(message.sequence, self._members.piggyback(sender))
        return [*effects, events.Send(sender, ack)]

    @_receive.register
    def _(
        self, message: messages.PingRequest, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._members.merge_all(message.updates, now)
        return effects + self._prober.relay(sender, message, now)

    @_receive.register
    def _(
        self, message: messages.Ack, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._prober.on_ack(message)
        return effects + self._members.merge_all(message.updates, now)

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
        return self._members.merge(message.record, now)

    @_receive.register
    def _(
        self, message: messages.Heartbeat, sender: str, now: float
    ) -> list[events.Effect]:
        ack = self._monitor.on_heartbeat(
            sender,
            message,
            self.rows.get(sender),
            self._members.entries(),
            now,
        )
        return [events.Send(sender, ack)]

    @_receive.register
    def _(
        self, message: messages.SyncDigest, sender: str, now: float
    ) -> list[events.Effect]:
        if self._synchroniser.matches(message):
            self._members.count_synced_peer()
            return []
        return self._synchroniser.on_digest(message, sender)

    @_receive.register
    def _(
        self, message: messages.SyncRows, sender: str, now: float
    ) -> list[events.Effect]:
        effects = self._members.merge_all(message.rows, now)
        return effects + self._synchroniser.on_rows(message, sender, now)

    @_receive.register
    def _(
        self, message: messages.LoadReport, sender: str, now: float
    ) -> list[events.Effect]:
        self._summaries.record_load(sender, message.in_flight, now)
        return []

    @_receive.register
    def _(
        self, message: messages.SummaryPull, sender: str, now: float
    ) -> list[events.Effect]:
        push = self._summaries.on_pull(message, self.rng)
        return [] if push is None else [events.Send(sender, push)]

    @_receive.register
    def _(
        self, message: messages.SummaryPush, sender: str, now: float
    ) -> list[events.Effect]:
        self._summaries.merge(message, now)
        return []

    def _suspect_unresponsive(self, now: float) -> list[events.Effect]:
        suspects = self._monitor.silent_agents(now, self.local_health.factor)
        target = self._prober.pop_failed_target(now)
        if target is not None:
            suspects.append(target)
        effects = []
        for host in suspects:
            effects.extend(self._members.suspect(host, now))
        return effects

    def _rejoin(self, now: float) -> list[events.Effect]:
        if now < self._next_rejoin_s:
            return []
        alone = not self._members.peers()
        self._next_rejoin_s = now + (
            REJOIN_ALONE_INTERVAL_S if alone else REJOIN_INTERVAL_S
        )
        usable = self._members.entries()
        absent = self._members.dead_entries()
        absent.update(contact.host for contact in self.cfg.seeds)
        candidates = sorted(absent - usable.keys())
        if not candidates:
            return []
        target = self.rng.choice(candidates)
        digest = messages.SyncDigest(self.rows.digest())
        return [self._prober.ping(target), events.Send(target, digest)]

    def _assign_agents(self, now: float) -> None:
        version, assigned_s = self._last_assignment
        if version == self.rows.version:
            return
        if version >= 0 and now - assigned_s < ASSIGN_INTERVAL_S:
            return
        self._last_assignment = (self.rows.version, now)
        self._monitor.assign(
            self._members.agents(),
            self._members.entries(),
            now,
        )
