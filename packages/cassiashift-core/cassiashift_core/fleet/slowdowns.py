"""Slowdowns of upstreams that are ranks of a lock-step group.

Agents report the slow ranks of their group to two entries every second. Those
inform the other entries at once of a change, and otherwise only when what
they know is about to expire.
"""

import math

import attrs

# Without a report for this long, a rank counts as being of normal speed. Three
# reports may be lost.
HOLD_S = 3.5
# What expires sooner than this is renewed at the other entries. With a report
# a second, that is every two seconds, with two entries sending it.
RENEW_BELOW_S = 2.0
# Beliefs renewed by several entries differ by their time on the way.
TOLERANCE_S = 0.25
# Smaller changes are noise of the measurement and not sent to other entries.
LEAST_CHANGE = 0.1


@attrs.define
class Slowdown:
    """The slowdown of one start of an upstream, as an entry believes it.

    Times are of the entry's monotonic clock, in seconds.

    Attributes:
        factor: time of the same work as a multiple of the group's median; 1
            if it is not slow.
        until: time at which the belief expires.
        revision: number of the factor; a higher one is newer.
    """

    factor: float = 1.0
    until: float = -math.inf
    revision: int = 0

    def factor_at(self, now: float) -> float:
        """Return the slowdown; 1 if it has expired."""
        return self.factor if now < self.until else 1.0

    def remaining_s(self, now: float) -> float:
        """Return the seconds after which it expires."""
        return max(0.0, self.until - now)

    def age_s(self, now: float) -> float:
        """Return the seconds since it was reported."""
        return HOLD_S - self.remaining_s(now)

    def record_report(self, factor: float, now: float) -> bool:
        """Record a report of the group; return whether to inform others."""
        known = self.factor_at(now)
        is_end = factor == 1.0 != known
        if not is_end and abs(factor - known) <= LEAST_CHANGE * known:
            if known == 1.0 or self.remaining_s(now) >= RENEW_BELOW_S:
                return False
        else:
            self.factor = factor
            self.revision += 1
        self.until = now + HOLD_S if self.factor > 1 else -math.inf
        return True

    def apply(
        self, factor: float, remaining_s: float, revision: int, now: float
    ) -> bool:
        """Adopt another entry's belief; return whether the factor changed.

        Of two factors of one revision, the higher one counts.
        """
        if revision < self.revision:
            return False
        if revision == self.revision and factor < self.factor:
            return False
        before = self.factor_at(now)
        until = now + min(max(remaining_s, 0.0), HOLD_S)
        is_known = (revision, factor) == (self.revision, self.factor)
        if is_known and until <= self.until + TOLERANCE_S:
            return False
        self.revision, self.factor, self.until = revision, factor, until
        return self.factor_at(now) != before


def is_valid(factor: float) -> bool:
    """Return whether a reported slowdown has a meaning."""
    return math.isfinite(factor) and factor >= 1
