"""Runs membership in a process."""

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
    """Return contacts for link addresses by host."""
    return tuple(
        membership.Contact(host, address)
        for host, address in addresses.items()
    )


def incarnation_now() -> int:
    """Return the incarnation of a process that starts now."""
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND


@attrs.define(eq=False)
class PresenceRunner:
    """Connects membership with the peers.

    Attributes:
        member: an entry's ``Membership`` or an agent's ``Announcer``.
        on_changed: called with each member that changed.
    """

    member: membership.Membership | membership.Announcer
    peers: peers.Peers
    on_changed: Callable[[membership.Changed], None] = lambda changed: None

    def handle(self, event: Any) -> None:
        """Give an event to membership and carry its effects out."""
        for effect in self.member.handle(event, time.monotonic()):
            self._carry_out(effect)

    def tick(self) -> None:
        """Tell membership that time has passed."""
        self.handle(membership.Tick())

    def received(self, sender: links.Sender, message: Any) -> None:
        """Take a message of membership."""
        host = self.peers.host_of(sender)
        self.handle(membership.Received(host, message))

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any) -> None:
        raise TypeError(f'no such effect: {type(effect).__name__}')

    @_carry_out.register
    def _(self, effect: membership.Send) -> None:
        self.peers.send(effect.receiver, effect.message)

    @_carry_out.register
    def _(self, effect: membership.Changed) -> None:
        self.on_changed(effect)
