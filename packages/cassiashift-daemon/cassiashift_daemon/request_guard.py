"""Keeps calls that crash upstreams away from them, over all agents.

Agents tell which attempts an upstream has crashed under; the entries of a
data centre share what follows from that. Parts of prompts are not judged
here.
"""

import random
from typing import Any

import attrs

from cassiashift_core import membership
from cassiashift_core import poison
from cassiashift_daemon import block_sharing
from cassiashift_daemon import peers

# An entry that has missed news asks another one for its blocks.
PULL_INTERVAL_S = 1.0


@attrs.define(eq=False)
class RequestGuard:
    """Shares crashes under calls with the entries of the data centre."""

    host: str
    peers: peers.Peers
    member: membership.Membership
    rng: random.Random
    sharing: block_sharing.BlockSharing = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create an empty table."""
        self.sharing = block_sharing.BlockSharing(
            table=poison.PoisonTable(self.host, self.rng),
            broadcast=self._broadcast,
            send=self.peers.send,
            hosts=self._hosts,
        )

    def record_crash(
        self, subject: block_sharing.Subject, upstream: str, crash: int
    ) -> None:
        """Record that an upstream crashed under a call.

        Args:
            crash: tells the crashes of one upstream apart.
        """
        suspect = poison.SuspectRequest(subject.request, (), subject.identity)
        self.sharing.report_crash(
            poison.CrashReport(subject.service, upstream, crash, (suspect,))
        )

    def pull(self) -> None:
        """Ask another entry for its blocks."""
        others = [host for host in self._hosts() if host != self.host]
        if others:
            self.peers.send(
                self.rng.choice(others), poison.BlockPull(self.host)
            )

    def _hosts(self) -> list[str]:
        return [record.host for record in self.member.usable_entries()]

    def _broadcast(self, message: Any) -> None:
        for host in self._hosts():
            if host != self.host:
                self.peers.send(host, message)
