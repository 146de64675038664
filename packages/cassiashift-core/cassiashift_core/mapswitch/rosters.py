"""What a coordinator knows of the ranks' processes and promises."""

import attrs

from cassiashift_core.mapswitch import messages


@attrs.define
class Roster:
    """Ranks of a group, and how far each is in the open switch.

    Attributes:
        staged: reports of the ranks that have loaded the weights.
        armed: the starts of ranks that have armed in the present round.
        gone: ranks that cannot take part in a step any more.
        incarnations: the last known start of each rank's agent.
    """

    staged: dict[str, messages.Staged] = attrs.field(factory=dict)
    armed: dict[str, str] = attrs.field(factory=dict)
    gone: set[str] = attrs.field(factory=set)
    incarnations: dict[str, str] = attrs.field(factory=dict)

    def join(self, rank: str, incarnation: str) -> None:
        """Record that a start of a rank is alive."""
        self.gone.discard(rank)
        self.incarnations[rank] = incarnation

    def leave(self, rank: str, incarnation: str) -> bool:
        """Record that a start of a rank is gone, unless a later is known."""
        known = self.incarnations.get(rank, incarnation)
        if known != incarnation:
            return False
        self.gone.add(rank)
        return True

    def has_restarted(self, rank: str, incarnation: str) -> bool:
        """Tell whether another start of the rank has staged or armed."""
        staged = self.staged.get(rank)
        if staged is not None and staged.incarnation != incarnation:
            return True
        return self.armed.get(rank, incarnation) != incarnation

    def forget_switch(self) -> None:
        """Forget what the ranks have done for a switch."""
        self.staged = {}
        self.armed = {}
