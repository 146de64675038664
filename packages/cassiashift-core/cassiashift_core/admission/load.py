"""Estimates of the load of a service at one entry."""

import math

import attrs

from cassiashift_core.admission import urgency_queue

# Averaging time of arrival rates; long enough for the arrivals of an entry
# (35 per second), short enough to follow a burst.
RATE_WINDOW_S = 2.0
# Weight of the newest sample in the moving averages.
WEIGHT = 0.1
INITIAL_HOLD_S = 0.5
# Bounds of the error of the expected waits, as a share of them.
MIN_ERROR = 0.1
MAX_ERROR = 1.0


@attrs.define
class MovingMean:
    """Moving mean of samples, with their mean deviation from it."""

    mean: float
    deviation: float = 0.0

    def record(self, sample: float) -> None:
        """Record a sample."""
        error = sample - self.mean
        self.mean += WEIGHT * error
        self.deviation += WEIGHT * (abs(error) - self.deviation)


def _rate() -> urgency_queue.DecayingSum:
    return urgency_queue.DecayingSum(RATE_WINDOW_S)


@attrs.define
class LoadEstimate:
    """What an entry has observed of the requests of one service.

    Attributes:
        hold: seconds that a cost unit occupies a slot.
        first_event: seconds from a send to the first event of its stream.
        wait_error: error of the expected waits, as a share of them.
    """

    hold: MovingMean = attrs.field(factory=lambda: MovingMean(INITIAL_HOLD_S))
    first_event: MovingMean = attrs.field(factory=lambda: MovingMean(0.0))
    wait_error: MovingMean = attrs.field(
        factory=lambda: MovingMean(MAX_ERROR / 2)
    )
    _arrivals: dict[int, urgency_queue.DecayingSum] = attrs.field(factory=dict)

    @property
    def error(self) -> float:
        """Return the error of the expected waits, as a share of them."""
        return min(MAX_ERROR, max(MIN_ERROR, self.wait_error.mean))

    @property
    def first_event_s(self) -> float:
        """Return the time to a first event that most streams need."""
        return self.first_event.mean + self.first_event.deviation

    def record_arrival(self, priority: int, cost: float, now: float) -> None:
        """Record the arrival of a request."""
        self._arrivals.setdefault(priority, _rate()).add(cost, now)

    def record_wait(self, expected_s: float, waited_s: float) -> None:
        """Record how long a queued request has waited."""
        if expected_s > 0 and math.isfinite(expected_s):
            error = abs(waited_s - expected_s) / expected_s
            self.wait_error.record(min(MAX_ERROR, error))

    def arrival_rate(self, now: float, below: int | None = None) -> float:
        """Return the cost that arrives per second.

        Args:
            below: count only the classes more urgent than this one.
        """
        return sum(
            arrivals.rate(now)
            for priority, arrivals in self._arrivals.items()
            if below is None or priority < below
        )

    def certain_arrival_rate(self, now: float) -> float:
        """Return the arrival rate less its standard deviation.

        The deviation is that of random arrivals, which the exponential
        weights average over twice their window.
        """
        rate = self.arrival_rate(now)
        return rate - math.sqrt(rate / (2 * RATE_WINDOW_S))

    def service_rate(self, slots: float) -> float:
        """Return the cost per second that some slots can serve."""
        return slots / max(self.hold.mean, 1e-3)

    def wait_s(
        self,
        ahead: urgency_queue.Ahead,
        priority: int,
        slots: float,
        now: float,
        error: float = 0.0,
    ) -> float:
        """Return the expected wait of a request; infinite if none is in sight.

        Args:
            ahead: the queued requests that go first.
            error: share by which the service rate may be higher.
        """
        rate = self.service_rate(slots) * (1 + error)
        if ahead.is_late:
            return _wait_s(ahead.total, rate - self.arrival_rate(now))
        urgent = self.arrival_rate(now, below=priority)
        own = self.arrival_rate(now, below=priority + 1) - urgent
        wait_s = _wait_s(ahead.total, rate - urgent)
        if not urgent:
            return wait_s
        # The floor of the class leaves it this share of the service rate,
        # however many urgent requests are queued.
        floor = urgency_queue.FLOOR * own
        floor_rate = rate * floor / (urgent + floor)
        return min(wait_s, _wait_s(ahead.own_class, floor_rate))


def _wait_s(ahead: float, rate: float) -> float:
    """Return the time until a slot is free at a rate of free slots."""
    # On average half of the time between two ends has passed.
    return (ahead + 0.5) / rate if rate > 0 else math.inf
