"""The agent side of membership: heartbeats and upstream announcements."""

import functools
import random
from typing import Any

import attrs

from cassiashift_core.membership import events
from cassiashift_core.membership import holders
from cassiashift_core.membership import messages
from cassiashift_core.membership import records

# A holder that has not acknowledged a heartbeat for this long is dropped.
HOLDER_TIMEOUT_S = 9.0


@attrs.define
class Announcer:
    """State of an agent: its own record and its holders.

    Attributes:
        record: the record that the agent announces.
        in_flight: requests in progress, sent with each heartbeat.
        has_left: the agent has stopped and sends no more heartbeats.
    """

    cfg: events.MembershipConfig
    rng: random.Random
    record: records.Record
    in_flight: int = 0
    has_left: bool = False
    _holders: dict[str, records.Contact] = attrs.field(factory=dict)
    _last_ack_s: dict[str, float] = attrs.field(factory=dict)
    _next_heartbeat_s: float = 0.0

    @classmethod
    def from_config(
        cls, cfg: events.MembershipConfig, rng: random.Random
    ) -> 'Announcer':
        """Return the state of an agent that has just started."""
        record = records.Record(
            host=cfg.host,
            kind=records.Kind.AGENT,
            incarnation=cfg.incarnation,
            address=cfg.address,
            epoch=cfg.epoch,
        )
        return cls(cfg=cfg, rng=rng, record=record)

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Apply an event and return its effects; ``now`` is in seconds."""
        return self._handle(event, now)

    def address_of(self, host: str) -> str | None:
        """Return the address of a holder or seed, None for other hosts."""
        for contact in (*self._holders.values(), *self.cfg.seeds):
            if contact.host == host:
                return contact.address
        return None

    def holders(self) -> list[str]:
        """Return the entries that watch this agent, in order of name."""
        return sorted(self._holders)

    @functools.singledispatchmethod
    def _handle(self, event: Any, now: float) -> list[events.Effect]:
        raise TypeError(f'unknown event {type(event).__name__}')

    @_handle.register
    def _(self, event: events.Tick, now: float) -> list[events.Effect]:
        if self.has_left or now < self._next_heartbeat_s:
            return []
        self._next_heartbeat_s = now + holders.HEARTBEAT_INTERVAL_S
        self._drop_silent_holders(now)
        heartbeat = messages.Heartbeat(
            incarnation=self.record.incarnation,
            in_flight=self.in_flight,
            holders=holders.digest_of(self._holders),
        )
        return [events.Send(host, heartbeat) for host in self._receivers()]

    @_handle.register
    def _(
        self, event: events.UpstreamsChanged, now: float
    ) -> list[events.Effect]:
        if event.upstreams == self.record.upstreams:
            return []
        self._update_record(self.record.incarnation + 1, event.upstreams)
        return self._announce()

    @_handle.register
    def _(self, event: events.LoadChanged, now: float) -> list[events.Effect]:
        self.in_flight = event.in_flight
        return []

    @_handle.register
    def _(self, event: events.Leaving, now: float) -> list[events.Effect]:
        self.has_left = True
        self.record = attrs.evolve(self.record, status=records.Status.LEFT)
        departure = messages.Departure(self.record.without_content())
        return [events.Send(host, departure) for host in self._receivers()]

    @_handle.register
    def _(self, event: events.Received, now: float) -> list[events.Effect]:
        if not isinstance(event.message, messages.HeartbeatAck):
            return []
        return self._on_ack(event.sender, event.message, now)

    def _on_ack(
        self, sender: str, ack: messages.HeartbeatAck, now: float
    ) -> list[events.Effect]:
        self._last_ack_s[sender] = now
        if ack.holders:
            self._replace_holders(ack.holders, now)
        if self.has_left:
            return self._on_ack_after_leaving(sender, ack)
        if self._is_superseded_by(ack):
            self._update_record(ack.incarnation + 1, self.record.upstreams)
            return self._announce()
        if ack.known:
            return []
        return [events.Send(sender, messages.Announce(self.record))]

    def _replace_holders(
        self, contacts: tuple[records.Contact, ...], now: float
    ) -> None:
        before = set(self._holders)
        self._holders = {
            contact.host: contact for contact in contacts[: holders.HOLDERS]
        }
        for host in self._holders.keys() - before:
            self._last_ack_s[host] = now

    def _on_ack_after_leaving(
        self, sender: str, ack: messages.HeartbeatAck
    ) -> list[events.Effect]:
        if ack.status is records.Status.LEFT:
            return []
        departure = messages.Departure(self.record.without_content())
        return [events.Send(sender, departure)]

    def _is_superseded_by(self, ack: messages.HeartbeatAck) -> bool:
        own = self.record.incarnation
        if ack.incarnation > records.MAX_INCARNATION:
            return False
        if ack.incarnation == own:
            return ack.status is not records.Status.ALIVE
        return ack.incarnation > own

    def _update_record(
        self, incarnation: int, upstreams: tuple[records.Announcement, ...]
    ) -> None:
        self.record = attrs.evolve(
            self.record, incarnation=incarnation, upstreams=upstreams
        )

    def _announce(self) -> list[events.Effect]:
        message = messages.Announce(self.record)
        return [events.Send(host, message) for host in self._receivers()]

    def _receivers(self) -> list[str]:
        if self._holders:
            return sorted(self._holders)
        seeds = [contact.host for contact in self.cfg.seeds]
        count = min(holders.HOLDERS, len(seeds))
        return sorted(self.rng.sample(seeds, count))

    def _drop_silent_holders(self, now: float) -> None:
        for host in list(self._holders):
            if now - self._last_ack_s.get(host, now) > HOLDER_TIMEOUT_S:
                del self._holders[host]
                self._last_ack_s.pop(host, None)
        for host in self._last_ack_s.keys() - self._holders.keys():
            del self._last_ack_s[host]
