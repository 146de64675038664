"""Local health: a process that runs late waits longer for others.

Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection", DSN-W 2018.
"""

import attrs

MAX_SCORE = 8
TICK_INTERVAL_S = 0.2
MAX_TICK_GAP_S = 3 * TICK_INTERVAL_S


@attrs.define
class LocalHealth:
    """Score of this process from 0, healthy, to ``MAX_SCORE``."""

    score: int = 0
    last_tick_s: float | None = None

    @property
    def factor(self) -> int:
        """Return the factor for timeouts: the score plus one."""
        return self.score + 1

    def adjust(self, points: int) -> None:
        """Add points, which may be negative, within the bounds."""
        self.score = max(0, min(MAX_SCORE, self.score + points))

    def observe_tick(self, now: float) -> float:
        """Return for how many seconds this process did not run, else 0.

        A gap of more than ``MAX_TICK_GAP_S`` also raises the score.
        """
        last = self.last_tick_s
        self.last_tick_s = now
        if last is None or now - last <= MAX_TICK_GAP_S:
            return 0.0
        self.adjust(1)
        return now - last - TICK_INTERVAL_S
