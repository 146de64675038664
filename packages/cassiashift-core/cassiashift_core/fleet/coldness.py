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
# are sent to other entries only if they differ by more.
TOLERANCE_S = 0.25
# A permit for a cold upstream is valid for so long. All permits of the last
# window and of this time before it can be used within one window.
PERMIT_VALID_S = 0.25
# The bound on arrivals holds for any window of this length.
WINDOW_S = 1.0
# An entry with a disk says hello each second. One that was not heard for this
# long may be cut off, or its hello was lost.
HEARD_S = 1.6
# A majority that is not heard for this much longer is lost. A short stall of
# the entry itself is not taken for that.
LOST_AFTER_S = 0.8
# Bounds that allow nothing must not mean that no upstream is cold.
LOWEST_PER_S = 0.05
# Part of the allowed arrivals that is kept free for permits of issuers that
# overlap and for requests that are on the way.
RESERVED_SHARE = 0.35
# Highest cost of a cold upstream in the comparison, in requests in flight. A
# warm upstream with less than one request of this entry more is preferred.
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
        safe_per_s = allowed / (WINDOW_S + PERMIT_VALID_S)
        return cls(min(per_s, max(safe_per_s, LOWEST_PER_S)), start_s)


@attrs.define
class Lease:
    """Time until which an entry would be informed of cold upstreams.

    It ends by itself, so that an entry that was stopped for a while does not
    go on with what it knew before.
    """

    until: float = math.inf


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
        lease: time for which the entry would be informed that it became cold.
        ease: 0 to 1; its cost is lower at an entry with a higher value.
    """

    terms: ColdTerms = ColdTerms()
    until: float = -math.inf
    revision: int = 0
    heard_at: float = -math.inf
    is_presumed: bool = False
    lease: Lease = attrs.field(factory=Lease)
    ease: float = 0.0
    # Time of an announcement that did not state whether it is cold.
    _unstated_at: float = -math.inf
    _presumed_at: float = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether its requests need permits."""
        if self.terms.per_s <= 0:
            return False
        if self.is_presumed or now >= self.lease.until:
            return True
        return now < self._ends_at()

    def cost(self, now: float) -> float:
        """Return its extra cost, in requests in flight of this entry.

        It falls to 0 from ``start_s`` before the end of coldness to
        ``start_s`` after it, at some entries sooner than at others. So the
        share of an upstream that returns rises gradually, also while all
        entries have few requests in flight and any cost keeps them away.
        """
        if now >= self.lease.until:
            # All upstreams are then, so that none is better.
            return 0.0
        if self.is_presumed and self.is_cold(now):
            share = 1.0
        elif self.terms.per_s <= 0 or self.terms.start_s <= 0:
            share = float(self.is_cold(now))
        else:
            left_s = self._ends_at() + self.terms.start_s - now
            share = min(1.0, left_s / (2 * self.terms.start_s))
        return COLD_COST * max(0.0, share - self.ease)

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
            whether other entries must be informed.
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
        """Record what an answer states; return whether to inform others.

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


@attrs.define
class Contact:
    """Whether an entry would be informed that an upstream became cold.

    It would be while it hears a majority of the entries with a disk, since
    an announcement may arrive at any entry and reach it through them. An
    entry that regains them first has to learn what it missed.
    """

    _majority_at: float
    _lost_at: float = -math.inf

    def update(self, heard: int, most: int, now: float) -> bool:
        """Return whether it would be informed now.

        Args:
            heard: entries with a disk that it has heard lately, or is.
            most: the most entries with a disk that it has ever known.
        """
        if 2 * heard > most:
            self._majority_at = now
        elif now - self._majority_at > LOST_AFTER_S:
            self._lost_at = now
        return now - self._lost_at > HEARD_S


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
