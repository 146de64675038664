"""Pulls the shared state from the voters, for a process without a log."""

import attrs

from cassiashift_core import state
from cassiashift_daemon import logs
from cassiashift_daemon import shared_state
from cassiashift_net import links
from cassiashift_net import messages


@attrs.define
class Puller:
    """Asks one voter each time, and all of them until a quorum answered."""

    links: links.Links
    holder: shared_state.SharedHolder
    voters: tuple[str, ...]
    _answered: set[str] = attrs.field(factory=set)
    _turn: int = 0

    def pull(self) -> None:
        """Ask for a newer state."""
        if not self.voters:
            return
        request = messages.PullState(self.holder.revision)
        if not self.holder.confirmed:
            for address in self.voters:
                self.links.send(address, request)
            return
        self._turn += 1
        address = self.voters[self._turn % len(self.voters)]
        self.links.send(address, request)

    def received(self, address: str, message: messages.SharedState) -> None:
        """Take an answer; unchanged states carry no data."""
        if message.data:
            taken = self.holder.take(state.Shared.decode(message.data))
            if taken:
                logs.info('revision_in_force', revision=self.holder.revision)
        if address in self.voters:
            self._answered.add(address)
        if len(self._answered) * 2 > len(self.voters):
            self.holder.confirmed = True
