"""Adaptive concurrency limit of one upstream.

The limit grows by one after a window in which it was mostly used and nearly
all calls met their latency targets. It shrinks by a tenth after a window in
which too many missed them (additive increase, multiplicative decrease).
"""

import attrs

WINDOW_S = 1.0
MAX_MISSED_SHARE = 0.05
DECREASE_FACTOR = 0.9
MIN_USED_SHARE = 0.8
MIN_LIMIT_CALLS = 2.0


@attrs.define
class AdaptiveLimit:
    """Limit on the calls in progress of an upstream.

    Attributes:
        maximum: upper bound of the limit.
        value: the current limit.
    """

    maximum: float
    value: float = attrs.field(init=False)
    _window_start: float | None = attrs.field(default=None, init=False)
    _met: int = attrs.field(default=0, init=False)
    _missed: int = attrs.field(default=0, init=False)
    _peak_running: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the limit at the maximum."""
        self.value = float(self.maximum)

    def set_maximum(self, maximum: float) -> None:
        """Change the maximum and lower the limit to it if need be."""
        if maximum != self.maximum:
            self.value = min(self.value, maximum)
            self.maximum = maximum

    def record(self, met_target: bool, running: int, now: float) -> None:
        """Record whether a call or a run of tokens met its target.

        At the end of a window of ``WINDOW_S`` the limit is adjusted.
        """
        if self._window_start is None:
            self._window_start = now
        self._met += met_target
        self._missed += not met_target
        self._peak_running = max(self._peak_running, running)
        if now - self._window_start >= WINDOW_S:
            self._adjust()
            self._window_start = now
            self._met = self._missed = self._peak_running = 0

    def _adjust(self) -> None:
        total = self._met + self._missed
        if self._missed > MAX_MISSED_SHARE * total:
            lowest = min(MIN_LIMIT_CALLS, self.maximum)
            self.value = max(lowest, self.value * DECREASE_FACTOR)
        elif self._peak_running >= MIN_USED_SHARE * self.value:
            self.value = min(self.maximum, self.value + 1.0)
