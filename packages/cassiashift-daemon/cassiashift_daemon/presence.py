"""Runs the membership protocol in a process."""

from collections.abc import Callable
import functools
import time
from typing import Any

import attrs

from cassiashift_core import membership
from cassiashift_daemon import peers
from cassiashift_net import links

NANOSECONDS_PER_MILLISECOND = 1_000_000


def contacts(addresses: dict[str, str]) -> tuple[membership.Contact, ...]:
    """Return the contacts for a mapping of hosts to link addresses."""
    return tuple(
        membership.Contact(host, address)
        for host, address in addresses.items()
    )


def incarnation_now() -> int:
    """Return the wall clock in milliseconds, an incarnation that rises."""
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND


@attrs.define(eq=False)
class PresenceRunner:
    """Connects membership with the links to peers.

    Attributes:
        member: an entry's ``Membership`` or an agent's ``Announcer``.
        on_changed: called with each change of a member.
    """

    member: membership.Membership | membership.Announcer
    peers: peers.Peers
    on_changed: Callable[[membership.Changed], None] = lambda changed: None

    def handle(self, event: Any) -> None:
        """Pass an event to membership and carry out its effects."""
        for effect in self.member.handle(event, time.monotonic()):
            self._carry_out(effect)

    def tick(self) -> None:
        """Let membership check its timeouts."""
        self.handle(membership.Tick())

    def received(self, sender: links.Sender, message: Any) -> None:
        """Pass a peer's message to membership."""
        host = self.peers.host_of(sender)
        self.handle(membership.Received(host, message))

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any) -> None:
        raise TypeError(f'unknown effect: {type(effect).__name__}')

    @_carry_out.register
    def _(self, effect: membership.Send) -> None:
        self.peers.send(effect.receiver, effect.message)

    @_carry_out.register
    def _(self, effect: membership.Changed) -> None:
        self.on_changed(effect)
