"""The last contact with a leader, on which its lease may rely."""

import math

from cassiashift_core.consensus import clock
from cassiashift_core.consensus import config


class LeaderContact:
    """When a host was last in contact with a leader, by its own clock.

    The replicas that a process runs one after another share it: what one of
    them has promised to a leader binds the next one. After the start of the
    process or a step of the clock the last contact is unknown, so a contact
    at that time is assumed. The owner calls ``advance`` between two replicas
    as often as it gives a Tick to a replica; a longer gap is a step.
    """

    def __init__(self, cfg: config.ReplicaConfig) -> None:
        """Use the election timeout of ``cfg``."""
        self._clock = clock.Clock(cfg.clock_step_s)
        self._timeout_s = cfg.election_timeout_s
        self.at: float | None = None

    def read(self, reading_s: float) -> tuple[float, bool]:
        """Return the time in seconds, and whether the clock has stepped."""
        return self._clock.read(reading_s)

    def advance(self, reading_s: float) -> tuple[float, bool]:
        """Return the result of ``read`` and record it as the latest time."""
        now, stepped = self._clock.advance(reading_s)
        if stepped or self.at is None:
            self.at = now
        return now, stepped

    def record(self, now: float) -> None:
        """Record a contact."""
        self.at = now

    def forget(self) -> None:
        """Forget the contact: the leader has given up its lease for good."""
        self.at = -math.inf

    def may_support_lease(self, now: float) -> bool:
        """Return whether a leader may rely on the last contact."""
        return self.at is not None and now < self.at + self._timeout_s
