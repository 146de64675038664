"""Heartbeats of agents, watched by few entries of the data centre."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from cassiashift_core import hashing
from cassiashift_core.membership import messages
from cassiashift_core.membership import records

HOLDERS = 3
HEARTBEAT_INTERVAL_S = 2.0
SILENCE_S = 5.0
ASSIGN_GRACE_S = 4.0


def holders_of(agent: str, entries: Iterable[str]) -> list[str]:
    """Return the entries that watch an agent, the first one first."""
    return hashing.rendezvous(agent, entries)[:HOLDERS]


def digest_of(holders: Iterable[str]) -> int:
    """Return a 32-bit digest of a set of holders, whatever its order."""
    return hashing.stable_hash(*sorted(holders)) & 0xFFFF_FFFF


@attrs.define
class _Watched:
    heard_s: float
    holders: list[str] = attrs.field(factory=list)
    in_flight: int = 0


@attrs.define
class Watch:
    """The agents that this entry watches."""

    host: str
    _watched: dict[str, _Watched] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of watched agents."""
        return len(self._watched)

    def assign(
        self, agents: Iterable[str], entries: Iterable[str], now: float
    ) -> None:
        """Recompute which agents are this entry's to watch."""
        entries = list(entries)
        watched = {}
        for agent in agents:
            holders = holders_of(agent, entries)
            if self.host not in holders:
                continue
            known = self._watched.get(agent) or _Watched(now)
            if known.holders != holders:
                known.holders = holders
                known.heard_s = now + ASSIGN_GRACE_S
            watched[agent] = known
        self._watched = watched

    def answer(
        self,
        agent: str,
        heartbeat: messages.Heartbeat,
        known: records.Record | None,
        entries: Mapping[str, records.Record],
        now: float,
    ) -> messages.HeartbeatAck:
        """Note a heartbeat and return the answer to it.

        Args:
            agent: the sender of the heartbeat.
            heartbeat: the heartbeat.
            known: the row of the agent, if there is one.
            entries: the usable entries of the data centre.
            now: time in seconds.
        """
        self.heard(agent, heartbeat.in_flight, now)
        hosts = self.holders_of(agent, entries)
        contacts = ()
        if heartbeat.holders != digest_of(hosts):
            contacts = tuple(
                records.Contact(host, entries[host].address)
                for host in hosts
                if host in entries
            )
        if known is None:
            alive = records.Status.ALIVE
            return messages.HeartbeatAck(0, alive, False, contacts)
        return messages.HeartbeatAck(
            incarnation=known.incarnation,
            status=known.status,
            known=known.incarnation == heartbeat.incarnation,
            holders=contacts,
        )

    def holders_of(self, agent: str, entries: Iterable[str]) -> list[str]:
        """Return an agent's holders, as last assigned if it is watched."""
        watched = self._watched.get(agent)
        return watched.holders if watched else holders_of(agent, entries)

    def heard(self, agent: str, in_flight: int, now: float) -> None:
        """Note a heartbeat."""
        watched = self._watched.get(agent)
        if watched is not None:
            watched.heard_s = now
            watched.in_flight = in_flight

    def excuse(self, now: float) -> None:
        """Give all agents time to send heartbeats here again."""
        for watched in self._watched.values():
            watched.heard_s = now + ASSIGN_GRACE_S

    def shift(self, gap_s: float) -> None:
        """Move all deadlines by a gap in which this entry did not run."""
        for watched in self._watched.values():
            watched.heard_s += gap_s

    def silent(self, now: float, factor: int) -> list[str]:
        """Return the agents that have been silent for too long."""
        limit = SILENCE_S * factor
        return [
            agent
            for agent, watched in self._watched.items()
            if now - watched.heard_s > limit
        ]

    def first_held(self) -> list[str]:
        """Return the agents that name this entry as their first holder."""
        return [
            agent
            for agent, watched in self._watched.items()
            if watched.holders[0] == self.host
        ]

    def in_flight(self) -> int:
        """Return the requests in progress that this entry reports."""
        return sum(
            watched.in_flight
            for watched in self._watched.values()
            if watched.holders[0] == self.host
        )
