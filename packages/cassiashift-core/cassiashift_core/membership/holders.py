"""Heartbeats of agents, watched by few entries of the data centre."""

from collections.abc import Iterable

import attrs

from cassiashift_core import hashing
from cassiashift_core.membership import messages

HOLDERS = 3
HEARTBEAT_INTERVAL_S = 1.0
SILENCE_S = 3.0


def holders_of(agent: str, entries: Iterable[str]) -> list[str]:
    """Return the entries that watch an agent, the first one first."""
    return hashing.rendezvous(agent, entries)[:HOLDERS]


@attrs.define
class _Watched:
    heard_s: float
    first_holder: bool
    in_flight: int = 0
    revision: int = 0


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
            known = self._watched.get(agent) or _Watched(now, False)
            known.first_holder = holders[0] == self.host
            watched[agent] = known
        self._watched = watched

    def heard(
        self, agent: str, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Note a heartbeat."""
        watched = self._watched.get(agent)
        if watched is not None:
            watched.heard_s = now
            watched.in_flight = heartbeat.in_flight
            watched.revision = heartbeat.revision

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

    def revisions(self) -> dict[str, int]:
        """Return the revision in force at each watched agent."""
        return {
            agent: watched.revision for agent, watched in self._watched.items()
        }

    def in_flight(self) -> int:
        """Return the requests in progress that this entry reports."""
        return sum(
            watched.in_flight
            for watched in self._watched.values()
            if watched.first_holder
        )
