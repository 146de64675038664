"""Adaptive concurrency limit of one upstream.

The limit grows by one in a window in which it was used and nearly all
calls met their targets, and shrinks by a tenth in a window in which too
many missed them (additive increase, multiplicative decrease).
"""

import attrs

WINDOW_S = 1.0
MISSED_SHARE = 0.05
DECREASE = 0.9
USED_SHARE = 0.8
MIN_LIMIT = 2.0


@attrs.define
class AdaptiveLimit:
    """Limit on the calls in progress of an upstream.

    Attributes:
        maximum: calls that the upstream can hold.
    """

    maximum: float
    value: float = attrs.field(init=False)
    _since: float | None = attrs.field(default=None, init=False)
    _met: int = attrs.field(default=0, init=False)
    _missed: int = attrs.field(default=0, init=False)
    _peak: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Start at the maximum."""
        self.value = float(self.maximum)

    def set_maximum(self, maximum: float) -> None:
        """Change the maximum."""
        if maximum != self.maximum:
            self.value = min(self.value, maximum)
            self.maximum = maximum

    def record(self, met: bool, running: int, now: float) -> None:
        """Count a call or a run of tokens that met its target or not."""
        if self._since is None:
            self._since = now
        self._met += met
        self._missed += not met
        self._peak = max(self._peak, running)
        if now - self._since >= WINDOW_S:
            self._adjust()
            self._since = now
            self._met = self._missed = self._peak = 0

    def _adjust(self) -> None:
        total = self._met + self._missed
        if self._missed > MISSED_SHARE * total:
            lowest = min(MIN_LIMIT, self.maximum)
            self.value = max(lowest, self.value * DECREASE)
        elif self._peak >= USED_SHARE * self.value:
            self.value = min(self.maximum, self.value + 1.0)
