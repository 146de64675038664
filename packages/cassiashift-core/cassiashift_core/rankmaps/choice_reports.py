"""Keeps the choices that ranks report from filling the coordinator's link.

All ranks of a group report to one host, whose link also carries the requests
and answers of the rank there. Ranks take turns once the choices of all of them
would take more than a share of it.
"""

import math

import attrs

from cassiashift_core.rankmaps import demand
from cassiashift_core.rankmaps import messages

# Share of the coordinator's link that choices may take.
LINK_SHARE = 0.25


@attrs.define
class ChoiceReports:
    """The choices of one rank that are to be reported.

    Attributes:
        interval_s: seconds between two statuses of a rank.
        link_bytes_per_s: rate of the link of each host of the group; 0 if
            it is not stated, then every status has choices.
    """

    interval_s: float
    link_bytes_per_s: float = 0.0
    _statuses: int = 0
    _pending: demand.Demand | None = None

    def add(self, counts: list[int], now: float) -> None:
        """Add new choices, one count for each set and expert."""
        if self._pending is None or not self._pending.fits(1, len(counts)):
            self._pending = demand.Demand(1, len(counts))
        self._pending.add(counts, now)

    def discard(self) -> None:
        """Drop the choices that are not reported yet."""
        self._pending = None

    def take(self, rank: int, size: int) -> messages.Choices | None:
        """Return the choices for the next status of a rank, or None.

        Args:
            size: ranks of the group.
        """
        self._statuses += 1
        if self._pending is None:
            return None
        (counts,) = self._pending.loads
        if (self._statuses + rank) % self._turns(len(counts), size):
            return None
        self._pending = None
        return messages.Choices.from_counts(counts) if any(counts) else None

    def _turns(self, choice_bytes: int, size: int) -> int:
        """Return of how many statuses of a rank one has choices."""
        allowed = LINK_SHARE * self.link_bytes_per_s * self.interval_s
        if not allowed:
            return 1
        return max(1, math.ceil(size * choice_bytes / allowed))
