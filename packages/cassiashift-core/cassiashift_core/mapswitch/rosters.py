"""The coordinator's record of the ranks' agents and their progress."""

import attrs

from cassiashift_core.mapswitch import messages


@attrs.define
class Roster:
    """Ranks of a group and how far each is in the open switch.

    Attributes:
        staged: reports of the ranks that have loaded the weights.
        armed: incarnations of the ranks that armed in this round.
        gone: ranks that cannot take part in a step any more.
        incarnations: last known incarnation of each rank's agent.
    """

    staged: dict[str, messages.Staged] = attrs.field(factory=dict)
    armed: dict[str, str] = attrs.field(factory=dict)
    gone: set[str] = attrs.field(factory=set)
    incarnations: dict[str, str] = attrs.field(factory=dict)

    def record_alive(self, rank: str, incarnation: str) -> None:
        """Record that an incarnation of a rank is alive."""
        self.gone.discard(rank)
        self.incarnations[rank] = incarnation

    def record_gone(self, rank: str, incarnation: str) -> bool:
        """Record that an incarnation of a rank is gone; return whether it was.

        If another incarnation is known, nothing is recorded.
        """
        known_incarnation = self.incarnations.get(rank, incarnation)
        if known_incarnation != incarnation:
            return False
        self.gone.add(rank)
        return True

    def has_restarted(self, rank: str, incarnation: str) -> bool:
        """Return whether another incarnation has staged or armed."""
        staged = self.staged.get(rank)
        if staged is not None and staged.incarnation != incarnation:
            return True
        return self.armed.get(rank, incarnation) != incarnation

    def forget_switch(self) -> None:
        """Clear the progress of the ranks in a switch that has ended."""
        self.staged = {}
        self.armed = {}
