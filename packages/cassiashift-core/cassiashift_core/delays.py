"""Time-outs from the mean and deviation of observed delays.

Paxson, Allman, Chu and Sargent, "Computing TCP's Retransmission Timer",
RFC 6298, with limits of the user's choice.
"""

import attrs

SMOOTHED_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


@attrs.define
class DelayEstimate:
    """The delays of one kind, in seconds.

    Attributes:
        shortest_timeout_s: lower limit of the time-out.
        longest_timeout_s: upper limit; the time-out before the first delay.
    """

    shortest_timeout_s: float
    longest_timeout_s: float
    _smoothed_s: float | None = None
    _deviation_s: float = 0.0
    _backed_off_by: float = 1.0

    @property
    def timeout_s(self) -> float:
        """Return the seconds after which something awaited is late."""
        if self._smoothed_s is None:
            return self.longest_timeout_s
        timeout_s = self._smoothed_s + DEVIATIONS * self._deviation_s
        timeout_s = max(self.shortest_timeout_s, timeout_s)
        return min(self.longest_timeout_s, timeout_s * self._backed_off_by)

    def record(self, sample_s: float) -> None:
        """Record a delay; the time-out is no longer backed off."""
        self._backed_off_by = 1.0
        if self._smoothed_s is None:
            self._smoothed_s = sample_s
            self._deviation_s = sample_s / 2
            return
        error_s = sample_s - self._smoothed_s
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
        self._smoothed_s += SMOOTHED_WEIGHT * error_s

    def back_off(self) -> None:
        """Double the time-out until the next delay is recorded."""
        self._backed_off_by *= 2

    def record_false_alarm(self) -> None:
        """Double the shortest time-out: something was late, not lost."""
        self.shortest_timeout_s = min(
            2 * self.shortest_timeout_s, self.longest_timeout_s
        )
