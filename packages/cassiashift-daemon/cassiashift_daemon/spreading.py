"""Runs the spread of accepted revisions in a process."""

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

RELAYS = 2


@attrs.define(eq=False)
class SpreadRunner:
    """Connects the spread with the links and the state in force."""

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
        """Return the spread of a process that has just started."""
        spreader = spread.Spreader.from_config(cfg, rng)
        return cls(spreader, to_peers, holder)

    def handle(self, event: Any) -> None:
        """Give an event to the spread and carry its effects out."""
        for effect in self.spreader.handle(event, time.monotonic()):
            self._carry_out(effect)

    def tick(self) -> None:
        """Tell the spread that time has passed."""
        self.handle(spread.Tick())

    def received(self, sender: links.Sender, message: Any) -> None:
        """Take a message of the spread."""
        self.handle(spread.Received(self.peers.host_of(sender), message))

    def follow(self, parents: tuple[str, ...]) -> None:
        """Pull from these hosts from now on."""
        cfg = self.spreader.cfg
        if set(parents) != set(cfg.parents):
            self.handle(spread.VotersChanged(cfg.voters, parents))

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any) -> None:
        raise TypeError(f'no such effect: {type(effect).__name__}')

    @_carry_out.register
    def _(self, effect: spread.Send) -> None:
        self.peers.send(effect.receiver, effect.message)

    @_carry_out.register
    def _(self, effect: spread.ApplyDelta) -> None:
        self.holder.take_delta(effect.data)

    @_carry_out.register
    def _(self, effect: spread.ApplySnapshot) -> None:
        self.holder.take_snapshot(effect.data)

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
    """Return where an entry pulls from.

    Two relays of each data centre pull from the voters, all others from
    the relays.
    """
    relays = hashing.rendezvous_order(f'relay/{data_centre}', entries)[:RELAYS]
    if host in relays or not relays:
        return tuple(voters)
    return tuple(relays)
