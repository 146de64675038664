"""Pulls the shared state from the voters, for a process without a log."""

import attrs

from cassiashift_core import state
from cassiashift_daemon import logs
from cassiashift_daemon import shared_state
from cassiashift_net import links
from cassiashift_net import messages


@attrs.define
class Puller:
    """Asks for newer states.

    A process serves only after a leader with a quorum has confirmed its
    state; until then it asks every voter. Later it asks one at a time.
    """

    links: links.Links
    holder: shared_state.SharedHolder
    voters: tuple[str, ...]
    _turn: int = 0

    def pull(self) -> None:
        """Ask for a newer state."""
        if not self.voters:
            return
        if not self.holder.confirmed:
            self.confirm()
            return
        self._turn += 1
        address = self.voters[self._turn % len(self.voters)]
        self.links.send(address, messages.PullState(self.holder.revision))

    def confirm(self) -> None:
        """Ask every voter to confirm the state."""
        request = messages.PullState(self.holder.revision, confirm=True)
        for address in self.voters:
            self.links.send(address, request)

    def received(self, message: messages.SharedState) -> None:
        """Take an answer; unchanged states carry no data."""
        if message.data:
            taken = self.holder.take(state.Shared.decode(message.data))
            if taken:
                logs.info('revision_in_force', revision=self.holder.revision)
        if message.confirmed and message.revision <= self.holder.revision:
            self.holder.confirmed = True
