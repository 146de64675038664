"""Suspicions, whose timeouts shrink with each independent accuser.

Dadgar, Phillips and Currey, "Lifeguard", DSN-W 2018, section on dynamic
suspicion timeouts.
"""

import math

import attrs

# Shortest timeout of an entry, in probe intervals per log10(entries).
MIN_TIMEOUT_PER_LOG = 4.0
MAX_TO_MIN_RATIO = 6.0
EXPECTED_ACCUSERS = 3
AGENT_MIN_TIMEOUT_S = 2.0


@attrs.define
class Suspicion:
    """Suspicion of a member at one incarnation.

    Attributes:
        expected_confirmations: accusers besides the first one with which
            the timeout is the shortest.
    """

    incarnation: int
    started_s: float
    min_timeout_s: float
    expected_confirmations: int
    accusers: set[str] = attrs.field(factory=set)

    @classmethod
    def for_entry(
        cls, incarnation: int, entries: int, interval_s: float, now: float
    ) -> 'Suspicion':
        """Return a suspicion of one of ``entries`` entries."""
        scale = max(1.0, math.log10(max(1, entries)))
        return cls(
            incarnation=incarnation,
            started_s=now,
            min_timeout_s=MIN_TIMEOUT_PER_LOG * scale * interval_s,
            expected_confirmations=max(1, min(EXPECTED_ACCUSERS, entries - 2)),
        )

    @classmethod
    def for_agent(
        cls, incarnation: int, holders: int, now: float
    ) -> 'Suspicion':
        """Return a suspicion of an agent that has ``holders`` holders."""
        return cls(
            incarnation=incarnation,
            started_s=now,
            min_timeout_s=AGENT_MIN_TIMEOUT_S,
            expected_confirmations=max(1, min(EXPECTED_ACCUSERS, holders) - 1),
        )

    def add_accuser(self, accuser: str) -> bool:
        """Add an accuser; return False for a known or superfluous one."""
        if accuser in self.accusers:
            return False
        if len(self.accusers) > self.expected_confirmations:
            return False
        self.accusers.add(accuser)
        return True

    def deadline(self) -> float:
        """Return the time at which the member is declared dead."""
        confirmations = min(
            max(0, len(self.accusers) - 1), self.expected_confirmations
        )
        share = math.log(confirmations + 1) / math.log(
            self.expected_confirmations + 1
        )
        max_timeout_s = self.min_timeout_s * MAX_TO_MIN_RATIO
        timeout_s = max_timeout_s - share * (
            max_timeout_s - self.min_timeout_s
        )
        return self.started_s + max(self.min_timeout_s, timeout_s)
