"""A retry budget that all entries of a region share.

In every sliding window the repeated sends are at most ``ratio`` times the
first sends, plus ``slack``. Each entry spends its part without coordination:
the ratio of its own first sends and an equal part of the slack.
"""

import collections

import attrs

# Entries disagree on their number while one joins or leaves; the margin keeps
# the sum of their parts within the budget.
SAFETY_SHARE = 0.7


@attrs.define
class WindowBudget:
    """The part of the budget of one service that one entry may spend.

    Attributes:
        ratio: repeated sends allowed per first send.
        slack: repeated sends allowed in a window besides, over all entries.
        window_s: length of the sliding window.
        denied: repeated sends that the budget did not allow.
    """

    ratio: float
    slack: float
    window_s: float
    denied: int = 0
    _first_sends: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    _repeated_sends: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def record_first_send(self, now: float) -> None:
        """Count the first send of a request."""
        self._first_sends.append(now)

    def try_spend(self, entries: int, now: float) -> bool:
        """Return whether the budget allows a repeated send; count it if so.

        Args:
            entries: entries that share the slack, this one included.
        """
        if not self.has_room(entries, now):
            self.denied += 1
            return False
        self._repeated_sends.append(now)
        return True

    def has_room(self, entries: int, now: float) -> bool:
        """Return whether the budget allows a repeated send; see above."""
        self._drop_expired(now)
        allowed = self.ratio * len(self._first_sends) + self.slack / entries
        return len(self._repeated_sends) + 1 <= SAFETY_SHARE * allowed

    def _drop_expired(self, now: float) -> None:
        for sends in (self._first_sends, self._repeated_sends):
            while sends and sends[0] <= now - self.window_s:
                sends.popleft()
