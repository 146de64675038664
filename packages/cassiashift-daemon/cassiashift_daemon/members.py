"""What an entry knows of the agents, upstreams and other entries."""

from collections.abc import Callable

import attrs

from cassiashift_net import messages


@attrs.define
class AgentRecord:
    """The newest announcement of an agent."""

    announce: messages.Announce
    heard_at: float


@attrs.define
class EntryRecord:
    """The newest state of another entry."""

    state: messages.EntryState
    heard_at: float


@attrs.define
class Members:
    """Agents and entries that were heard of lately.

    An announcement of an older incarnation is dropped, so that a late
    message can't bring back a former process.
    """

    timeout_s: float
    on_agent_lost: Callable[[str], None]
    agents: dict[str, AgentRecord] = attrs.field(factory=dict)
    entries: dict[str, EntryRecord] = attrs.field(factory=dict)

    def announced(self, message: messages.Announce, now: float) -> None:
        """Take an agent's announcement."""
        known = self.agents.get(message.host)
        if known is not None:
            if message.incarnation < known.announce.incarnation:
                return
            if message.incarnation > known.announce.incarnation:
                self.on_agent_lost(message.host)
        self.agents[message.host] = AgentRecord(message, now)

    def entry_heard(self, message: messages.EntryState, now: float) -> None:
        """Take the state of another entry."""
        known = self.entries.get(message.host)
        if known and message.incarnation < known.state.incarnation:
            return
        self.entries[message.host] = EntryRecord(message, now)

    def expire(self, now: float) -> None:
        """Forget whoever was silent for too long."""
        for host, record in list(self.agents.items()):
            if now - record.heard_at > self.timeout_s:
                del self.agents[host]
                self.on_agent_lost(host)
        for host, record in list(self.entries.items()):
            if now - record.heard_at > self.timeout_s:
                del self.entries[host]

    def agent_of(self, upstream: str) -> messages.Announce | None:
        """Return the announcement of the agent that has an upstream."""
        for record in self.agents.values():
            for item in record.announce.upstreams:
                if item.id == upstream:
                    return record.announce
        return None

    def upstreams(self) -> dict[str, messages.UpstreamState]:
        """Return the announced upstreams by id."""
        return {
            item.id: item
            for record in self.agents.values()
            for item in record.announce.upstreams
        }
