"""Local health: how far this process doubts itself before others.

Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection", DSN-W 2018.
"""

import attrs

MAX_MULTIPLIER = 8
TICK_INTERVAL_S = 0.2
MAX_TICK_GAP_S = 3 * TICK_INTERVAL_S


@attrs.define
class LocalHealth:
    """Score from 0, healthy, to ``MAX_MULTIPLIER``."""

    score: int = 0
    last_tick_s: float | None = None

    @property
    def factor(self) -> int:
        """Return the factor by which timeouts are stretched."""
        return self.score + 1

    def add(self, points: int) -> None:
        """Raise or lower the score within its bounds."""
        self.score = max(0, min(MAX_MULTIPLIER, self.score + points))

    def observe_tick(self, now: float) -> float:
        """Return the seconds for which this process did not run."""
        last = self.last_tick_s
        self.last_tick_s = now
        if last is None or now - last <= MAX_TICK_GAP_S:
            return 0.0
        self.add(1)
        return now - last - TICK_INTERVAL_S
