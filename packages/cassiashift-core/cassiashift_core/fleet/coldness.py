"""Coldness of upstreams: who is cold, until when, and what ends it.

A cold upstream takes only so many requests a second from all entries
together. Coldness belongs to one start of an upstream and is in one of three
states: announced until a time, unstated after a start, or presumed. It is
presumed while an entry has reason to believe that the upstream may have
restarted unnoticed; only an announcement that is newer ends that.
"""

import math
from typing import Any

import attrs

# A longer announcement is taken for a mistake and shortened to this.
LONGEST_COLD_S = 600.0
# Announcements of one end of coldness differ by their time on the way. They
# are told to other entries only if they differ by more.
TOLERANCE_S = 0.25
# A permit for a cold upstream is valid for so long. All permits of the last
# window and of this time before it can be used within one window.
PERMIT_VALID_S = 0.25
# The bound on arrivals holds for any window of this length.
WINDOW_S = 1.0
# Part of the allowed arrivals that is kept free for permits of issuers that
# overlap and for requests that are on the way.
RESERVED_SHARE = 0.25
# Cost of a cold upstream in the comparison, in requests in flight: while a
# warm upstream has at most one request of this entry less, it is preferred.
COLD_COST = 1.0


@attrs.frozen
class ColdTerms:
    """How many requests the cold upstreams of a service take.

    Attributes:
        per_s: requests a second from all entries; 0 if not stated, and then
            no upstream of the service counts as cold.
        start_s: how long an upstream is cold after its start.
    """

    per_s: float = 0.0
    start_s: float = 0.0

    @classmethod
    def from_bounds(
        cls, per_s: float, start_s: float, overage: float, slack: float
    ) -> 'ColdTerms':
        """Return terms that keep ``per_s`` x ``overage`` + ``slack``.

        That many requests may arrive in any second. A permit may be used up
        to ``PERMIT_VALID_S`` after it was issued.
        """
        allowed = (per_s * overage + slack) * (1 - RESERVED_SHARE)
        return cls(min(per_s, allowed / (WINDOW_S + PERMIT_VALID_S)), start_s)


@attrs.define
class Coldness:
    """Whether one start of an upstream is cold, as an entry believes it.

    Times are of the entry's monotonic clock, so that a step of the time of
    day changes nothing.

    Attributes:
        until: time until which it has announced to be cold.
        revision: number of the announced belief; a higher one is newer.
        heard_at: time of the newest announcement.
        is_presumed: it may have restarted; an announcement is awaited.
    """

    terms: ColdTerms = ColdTerms()
    until: float = -math.inf
    revision: int = 0
    heard_at: float = -math.inf
    is_presumed: bool = False
    # Time of an announcement that did not state whether it is cold.
    _unstated_at: float = -math.inf
    _presumed_at: float = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether its requests need permits."""
        if self.terms.per_s <= 0:
            return False
        return self.is_presumed or now < self._ends_at()

    def cost(self, now: float) -> float:
        """Return its extra cost, in requests in flight of this entry.

        It falls to 0 while the upstream has been warm for ``start_s``, so
        that the share of an upstream that returns rises gradually.
        """
        if self.is_cold(now):
            return COLD_COST
        if self.terms.per_s <= 0 or self.terms.start_s <= 0:
            return 0.0
        warm_s = now - self._ends_at()
        return COLD_COST * max(0.0, 1 - warm_s / self.terms.start_s)

    def remaining_s(self, now: float) -> float:
        """Return the seconds that it stays cold if it is only announced."""
        return max(0.0, self._ends_at() - now)

    def record_start(self, cold_s: float | None, now: float) -> None:
        """Record the first announcement of a start.

        Args:
            cold_s: seconds that it stays cold; None if not stated.
        """
        self.heard_at = now
        if cold_s is None:
            self._unstated_at = now
        else:
            self.until = now + cold_s

    def record_announcement(self, cold_s: float | None, now: float) -> bool:
        """Record a newer announcement of the same start.

        One that states nothing leaves what was announced before. After a
        presumption the upstream then counts as just started.

        Returns:
            whether other entries must be told.
        """
        was_presumed, self.is_presumed = self.is_presumed, False
        self.heard_at = now
        if cold_s is None:
            if was_presumed:
                self._unstated_at = now
            return False
        ends_at, until = self._ends_at(), now + cold_s
        is_changed = was_presumed
        if abs(until - max(ends_at, now)) > TOLERANCE_S:
            is_changed = True
            ends_at = until
        elif was_presumed or cold_s > 0:
            # Even if it is warm, its share rises from now on.
            ends_at = max(ends_at, until)
        self.until = ends_at
        self._unstated_at = -math.inf
        if self.terms.per_s <= 0:
            return False
        self.revision += is_changed
        return is_changed

    def record_answer(self, cold_s: float, sent_at: float, now: float) -> bool:
        """Record what an answer states; return whether others must be told.

        An answer to a request that was sent before the newest announcement
        or presumption may be older than that. It makes an upstream colder
        only.

        Args:
            sent_at: time at which its request was sent.
        """
        may_be_older = sent_at <= max(self.heard_at, self._presumed_at)
        is_colder = not self.is_presumed and now + cold_s > self._ends_at()
        if may_be_older and not is_colder:
            return False
        return self.record_announcement(cold_s, now)

    def presume(self, now: float) -> bool:
        """Take it for cold until a newer announcement.

        Returns:
            whether it was not presumed to be cold before.
        """
        was_presumed, self.is_presumed = self.is_presumed, True
        self._presumed_at = now
        return not was_presumed

    def apply(self, remaining_s: float, revision: int, now: float) -> bool:
        """Adopt another entry's belief; return whether this changed it.

        Of two beliefs of one revision, the one that ends later counts. What
        others believe may be older than a presumption and does not end it.
        """
        until = now + min(max(remaining_s, 0.0), LONGEST_COLD_S)
        if revision > self.revision:
            self.revision = revision
            self.until = until
            self._unstated_at = -math.inf
            return True
        if revision < self.revision or until <= self.until + TOLERANCE_S:
            return False
        self.until = until
        return True

    def _ends_at(self) -> float:
        return max(self.until, self._unstated_at + self.terms.start_s)


def parse_cold_s(value: Any) -> float:
    """Return the seconds of coldness that an upstream states in ms.

    Args:
        value: a number, or its text in a header.

    Raises:
        ValueError: it is no finite number of at least 0.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float, str)):
        raise ValueError(f'{value!r} is no number of milliseconds')
    try:
        cold_ms = float(value)
    except OverflowError:
        cold_ms = math.inf
    if not math.isfinite(cold_ms) or cold_ms < 0:
        raise ValueError(f'{value!r} is no number of milliseconds')
    return min(cold_ms / 1000, LONGEST_COLD_S)
