"""A budget of repeated sends that all entries of a region share.

The bound holds over every sliding window: repeats are at most ``ratio``
times the first sends, and ``slack`` more. Each entry spends its own part
without asking: the ratio of its own first sends and an equal part of the
slack.
"""

import collections

import attrs

# Entries count differently while one joins or leaves; the margin keeps
# their parts below the whole.
SAFETY_SHARE = 0.7


@attrs.define
class WindowBudget:
    """Counts the sends to one service at one entry.

    Attributes:
        ratio: repeats that one first send pays for.
        slack: repeats that are free in a window, over all entries.
        window_s: length of the sliding window.
    """

    ratio: float
    slack: float
    window_s: float
    denied: int = 0
    _firsts: collections.deque[float] = attrs.field(factory=collections.deque)
    _repeats: collections.deque[float] = attrs.field(factory=collections.deque)

    def first_sent(self, now: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now)

    def try_spend(self, entries: int, now: float) -> bool:
        """Count a repeat if the budget allows it.

        Args:
            entries: entries that share the slack, this one included.
        """
        self._drop_old(now)
        allowed = self.ratio * len(self._firsts) + self.slack / entries
        if len(self._repeats) + 1 > SAFETY_SHARE * allowed:
            self.denied += 1
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for sends in (self._firsts, self._repeats):
            while sends and sends[0] <= now - self.window_s:
                sends.popleft()
