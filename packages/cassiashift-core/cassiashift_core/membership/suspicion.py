"""Suspicions, whose timeouts shrink with independent accusers.

Dadgar, Phillips and Currey, "Lifeguard", DSN-W 2018, section on dynamic
suspicion timeouts.
"""

import math

import attrs

MIN_TIMEOUT_PER_LOG = 4.0
MAX_TO_MIN_RATIO = 6.0
EXPECTED_ACCUSERS = 3
AGENT_MIN_TIMEOUT_S = 2.0


@attrs.define
class Suspicion:
    """One suspected member at one incarnation."""

    incarnation: int
    started_s: float
    min_timeout_s: float
    expected: int
    accusers: set[str] = attrs.field(factory=set)

    @classmethod
    def of_entry(
        cls, incarnation: int, entries: int, interval_s: float, now: float
    ) -> 'Suspicion':
        """Return a suspicion of an entry among ``entries`` entries."""
        scale = max(1.0, math.log10(max(1, entries)))
        return cls(
            incarnation=incarnation,
            started_s=now,
            min_timeout_s=MIN_TIMEOUT_PER_LOG * scale * interval_s,
            expected=max(1, min(EXPECTED_ACCUSERS, entries - 2)),
        )

    @classmethod
    def of_agent(
        cls, incarnation: int, holders: int, now: float
    ) -> 'Suspicion':
        """Return a suspicion of an agent that has ``holders`` holders."""
        return cls(
            incarnation=incarnation,
            started_s=now,
            min_timeout_s=AGENT_MIN_TIMEOUT_S,
            expected=max(1, min(EXPECTED_ACCUSERS, holders) - 1),
        )

    def accuse(self, accuser: str) -> bool:
        """Add an accuser; return whether it shortens the timeout."""
        if accuser in self.accusers:
            return False
        if len(self.accusers) > self.expected:
            return False
        self.accusers.add(accuser)
        return True

    def deadline(self) -> float:
        """Return the time at which the member counts as dead."""
        confirmations = min(max(0, len(self.accusers) - 1), self.expected)
        share = math.log(confirmations + 1) / math.log(self.expected + 1)
        longest = self.min_timeout_s * MAX_TO_MIN_RATIO
        shrunk = longest - share * (longest - self.min_timeout_s)
        return self.started_s + max(self.min_timeout_s, shrunk)
