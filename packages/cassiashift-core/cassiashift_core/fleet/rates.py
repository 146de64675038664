"""The rate of requests that an entry announces."""

import attrs

# Weight of the newest interval in the moving average.
WEIGHT = 0.3
ANNOUNCED_DIGITS = 1


@attrs.define
class RequestRate:
    """Moving average of the requests per second.

    Only what is announced is rounded: an average of rounded figures would
    never return to 0.
    """

    _mean: float = 0.0

    def record(self, count: int, interval_s: float) -> None:
        """Record the number of requests of an interval."""
        self._mean += WEIGHT * (count / interval_s - self._mean)

    @property
    def announced(self) -> float:
        """Return the rate for announcements, in requests per second."""
        return round(self._mean, ANNOUNCED_DIGITS)
