"""Keeps calls that crash upstreams away from them, over all agents.

Agents tell which attempts an upstream has crashed under; all entries share
what follows from that. A message for another data centre goes to some of its
entries, which relay it there. Parts of prompts are not judged here.
"""

import functools
import random
from typing import Any

import attrs

from cassiashift_core import membership
from cassiashift_core import poison
from cassiashift_daemon import block_sharing
from cassiashift_daemon import dispatch
from cassiashift_daemon import peers
from cassiashift_net import links

# An entry that has missed news asks another one for its blocks.
PULL_INTERVAL_S = 1.0
# Entries of another data centre that a message is sent to; one may be dead.
CONTACTS_PER_DATA_CENTRE = 2
RELAYED_TYPES = (
    poison.CrashReport,
    poison.PartsCleared,
    poison.BlockNews,
    poison.TrialNews,
)


@attrs.define(eq=False)
class RequestGuard:
    """Shares crashes under calls with the entries of all data centres."""

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

    def handlers(self) -> dict[type, dispatch.Handler]:
        """Return the handlers of the messages on crashes by message type."""
        return {
            cls: functools.partial(self._receive, handler)
            for cls, handler in self.sharing.handlers().items()
        }

    def pull(self) -> None:
        """Ask another entry, of any data centre, for its blocks."""
        others = [*self._neighbours(), *self._remote_contacts()]
        if others:
            self.peers.send(
                self.rng.choice(others), poison.BlockPull(self.host)
            )

    def _receive(
        self, handler: dispatch.Handler, sender: links.Sender, message: Any
    ) -> None:
        digest = self.sharing.table.digest
        is_local = self.peers.host_of(sender) in self._hosts()
        handler(sender, message)
        if is_local or not isinstance(message, RELAYED_TYPES):
            return
        is_known = digest == self.sharing.table.digest
        if isinstance(message, poison.BlockNews) and is_known:
            return
        self._send_to(self._neighbours(), message)

    def _hosts(self) -> list[str]:
        return [record.host for record in self.member.usable_entries()]

    def _neighbours(self) -> list[str]:
        """Return the other entries of the data centre."""
        return [host for host in self._hosts() if host != self.host]

    def _remote_contacts(self) -> list[str]:
        """Return some entries of each other data centre."""
        return [
            contact.host
            for summary in self.member.summaries()
            if summary.data_centre != self.member.cfg.data_centre
            for contact in summary.contacts[:CONTACTS_PER_DATA_CENTRE]
        ]

    def _broadcast(self, message: Any) -> None:
        self._send_to([*self._neighbours(), *self._remote_contacts()], message)

    def _send_to(self, hosts: list[str], message: Any) -> None:
        for host in hosts:
            self.peers.send(host, message)
