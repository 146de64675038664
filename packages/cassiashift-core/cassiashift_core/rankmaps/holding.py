"""Chooses the passes that switches hold, each of them once only.

An order to release a pass names a rank and the pass, but not the hold. If it
takes effect late, in a group that has begun no pass meanwhile, it releases
whatever holds that pass at that rank. So a switch holds no pass that any
earlier order may release.
"""

from collections.abc import Iterable

import attrs

from cassiashift_core.rankmaps import model

# Passes between the last one reported and the one at which maps change, where
# nothing is known of their length.
LEAD_STEPS = 3
# No pass is held that is further ahead, so that an agent that knows nothing of
# earlier holds knows a pass that is beyond all of them.
MAX_LEAD_STEPS = 16


@attrs.define
class HeldSteps:
    """The passes that one agent's switches must not hold any more.

    Holds of other agents' recoveries are not seen, but their versions are:
    each prepares one at all ranks before it releases anything.

    Attributes:
        highest: highest pass that an order on its way may release.
    """

    highest: int = 0
    _versions: dict[int, int] = attrs.field(factory=dict)

    @classmethod
    def from_report(cls, report: model.RankReport) -> 'HeldSteps':
        """Return those of a process that has just been started."""
        return cls(report.step + MAX_LEAD_STEPS)

    def record_hold(self, step: int) -> None:
        """Record a pass that a switch or recovery of this agent holds."""
        self.highest = max(self.highest, step)

    def record_versions(
        self, reports: Iterable[model.RankReport], own_rank: int, size: int
    ) -> None:
        """Record the versions of other coordinators that ranks report.

        Args:
            own_rank: rank of this agent, whose versions are known.
            size: ranks of the group.
        """
        for report in reports:
            for version in report.versions:
                rank = version % size
                if rank == own_rank or version <= self._versions.get(rank, 0):
                    continue
                self._versions[rank] = version
                self.record_hold(report.step + MAX_LEAD_STEPS)

    def next_step(self, newest_step: int, lead: int = LEAD_STEPS) -> int:
        """Return the pass to hold next.

        Args:
            newest_step: the last pass that any rank has reported.
            lead: passes that it is to be ahead of that one, at most
                ``MAX_LEAD_STEPS``.
        """
        return max(newest_step + lead, self.highest + 1)

    def may_hold(self, newest_step: int) -> bool:
        """Return whether the next pass to hold is not too far ahead."""
        return self.next_step(newest_step) <= newest_step + MAX_LEAD_STEPS
