"""Heartbeats of agents and the entries that watch them.

Each agent has up to ``HOLDERS`` holders: the entries of its data centre that
get its heartbeats and suspect it when they stop. Rendezvous hashing picks
them; the first one also reports the agent's load.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from cassiashift_core import hashing
from cassiashift_core.membership import messages
from cassiashift_core.membership import records

HOLDERS = 3
HEARTBEAT_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 5.0
# Added to the timeout when an agent's holders have changed, as it has to learn
# of them before it can send heartbeats to them.
ASSIGN_GRACE_S = 4.0


def holders_of(agent: str, entries: Iterable[str]) -> list[str]:
    """Return the holders of an agent, the first holder first."""
    return hashing.rendezvous_order(agent, entries)[:HOLDERS]


def digest_of(holders: Iterable[str]) -> int:
    """Return a 32-bit digest of holders that ignores their order."""
    return hashing.stable_hash(*sorted(holders)) & 0xFFFF_FFFF


@attrs.define
class _WatchedAgent:
    last_heartbeat_s: float
    holders: list[str] = attrs.field(factory=list)
    in_flight: int = 0


@attrs.define
class HeartbeatMonitor:
    """The agents that this entry watches and their last heartbeats."""

    host: str
    _watched: dict[str, _WatchedAgent] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of watched agents."""
        return len(self._watched)

    def assign(
        self, agents: Iterable[str], entries: Iterable[str], now: float
    ) -> None:
        """Recompute which agents have this entry among their holders."""
        entries = list(entries)
        assigned = {}
        for agent in agents:
            holders = holders_of(agent, entries)
            if self.host not in holders:
                continue
            watched = self._watched.get(agent) or _WatchedAgent(now)
            if watched.holders != holders:
                watched.holders = holders
                watched.last_heartbeat_s = now + ASSIGN_GRACE_S
            assigned[agent] = watched
        self._watched = assigned

    def on_heartbeat(
        self,
        agent: str,
        heartbeat: messages.Heartbeat,
        record: records.Record | None,
        entries: Mapping[str, records.Record],
        now: float,
    ) -> messages.HeartbeatAck:
        """Record a heartbeat and return its acknowledgement.

        It names the agent's holders when the agent knows other ones.

        Args:
            agent: the sender of the heartbeat.
            heartbeat: the heartbeat.
            record: the row of the agent, None if there is none.
            entries: the usable entries of the data centre.
            now: time in seconds.
        """
        self.record_heartbeat(agent, heartbeat.in_flight, now)
        hosts = self.holders_of(agent, entries)
        contacts = ()
        if heartbeat.holders != digest_of(hosts):
            contacts = tuple(
                records.Contact(host, entries[host].address)
                for host in hosts
                if host in entries
            )
        if record is None:
            alive = records.Status.ALIVE
            return messages.HeartbeatAck(0, alive, False, contacts)
        return messages.HeartbeatAck(
            incarnation=record.incarnation,
            status=record.status,
            known=record.incarnation == heartbeat.incarnation,
            holders=contacts,
        )

    def holders_of(self, agent: str, entries: Iterable[str]) -> list[str]:
        """Return an agent's holders, as last assigned if watched here."""
        watched = self._watched.get(agent)
        return watched.holders if watched else holders_of(agent, entries)

    def record_heartbeat(self, agent: str, in_flight: int, now: float) -> None:
        """Store the time and load of a heartbeat from a watched agent."""
        watched = self._watched.get(agent)
        if watched is not None:
            watched.last_heartbeat_s = now
            watched.in_flight = in_flight

    def restart_grace(self, now: float) -> None:
        """Extend the timeouts of all agents by ``ASSIGN_GRACE_S`` from now.

        Agents drop a holder that others have declared dead, so heartbeats
        only come here again once they have learned that it is alive.
        """
        for watched in self._watched.values():
            watched.last_heartbeat_s = now + ASSIGN_GRACE_S

    def shift_deadlines(self, gap_s: float) -> None:
        """Postpone all timeouts by a gap in which this entry did not run."""
        for watched in self._watched.values():
            watched.last_heartbeat_s += gap_s

    def silent_agents(self, now: float, factor: int) -> list[str]:
        """Return the agents without a heartbeat for ``factor`` timeouts."""
        limit = HEARTBEAT_TIMEOUT_S * factor
        return [
            agent
            for agent, watched in self._watched.items()
            if now - watched.last_heartbeat_s > limit
        ]

    def agents_held_first(self) -> list[str]:
        """Return the agents whose first holder is this entry."""
        return [
            agent
            for agent, watched in self._watched.items()
            if watched.holders[0] == self.host
        ]

    def in_flight(self) -> int:
        """Return the load of the agents whose first holder is this entry.

        Only the first holder of an agent reports its load, so that no
        request is counted twice.
        """
        return sum(
            watched.in_flight
            for watched in self._watched.values()
            if watched.holders[0] == self.host
        )
