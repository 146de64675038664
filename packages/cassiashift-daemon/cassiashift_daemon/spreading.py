"""Runs the spread of committed revisions in a process."""

import functools
import random
import time
from typing import Any

import attrs

from cassiashift_core import hashing
from cassiashift_core import spread
from cassiashift_daemon import logs
from cassiashift_daemon import peers
from cassiashift_daemon import shared_state
from cassiashift_net import links

RELAYS_PER_DATA_CENTRE = 2


@attrs.define(eq=False)
class SpreadRunner:
    """Connects the spread with the links and the shared state."""

    spreader: spread.Spreader
    peers: peers.Peers
    holder: shared_state.SharedHolder

    @classmethod
    def from_config(
        cls,
        cfg: spread.SpreadConfig,
        rng: random.Random,
        to_peers: peers.Peers,
        holder: shared_state.SharedHolder,
    ) -> 'SpreadRunner':
        """Return the spread of a process; it holds no revision yet."""
        spreader = spread.Spreader.from_config(cfg, rng)
        return cls(spreader, to_peers, holder)

    def handle(self, event: Any) -> None:
        """Pass an event to the spread and carry out its effects."""
        for effect in self.spreader.handle(event, time.monotonic()):
            self._carry_out(effect)

    def tick(self) -> None:
        """Let the spread check its timeouts."""
        self.handle(spread.Tick())

    def received(self, sender: links.Sender, message: Any) -> None:
        """Pass a peer's message to the spread."""
        self.handle(spread.Received(self.peers.host_of(sender), message))

    def set_parents(self, parents: tuple[str, ...]) -> None:
        """Set the hosts to pull from."""
        cfg = self.spreader.cfg
        if set(parents) != set(cfg.parents):
            self.handle(spread.VotersChanged(cfg.voters, parents))

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any) -> None:
        raise TypeError(f'unknown effect: {type(effect).__name__}')

    @_carry_out.register
    def _(self, effect: spread.Send) -> None:
        self.peers.send(effect.receiver, effect.message)

    @_carry_out.register
    def _(self, effect: spread.ApplyDelta) -> None:
        self.holder.apply_delta(effect.data)

    @_carry_out.register
    def _(self, effect: spread.ApplySnapshot) -> None:
        self.holder.apply_snapshot(effect.data)

    @_carry_out.register
    def _(self, effect: spread.Ready) -> None:
        self.holder.confirmed = True
        logs.info('state_confirmed', revision=self.holder.revision)

    @_carry_out.register
    def _(self, effect: spread.ProvideSnapshot) -> None:
        data = self.holder.shared.encode()
        self.handle(spread.SnapshotTaken(self.holder.revision, data))


def parents_of_entry(
    host: str, data_centre: str, entries: list[str], voters: list[str]
) -> tuple[str, ...]:
    """Return the hosts that an entry pulls revisions from.

    In each data centre two entries are relays and pull from the voters; the
    others pull from the relays.
    """
    relays = hashing.rendezvous_order(f'relay/{data_centre}', entries)[
        :RELAYS_PER_DATA_CENTRE
    ]
    if host in relays or not relays:
        return tuple(voters)
    return tuple(relays)
