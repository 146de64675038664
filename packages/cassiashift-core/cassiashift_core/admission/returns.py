"""Times at which refused callers are asked to return."""

import random

import attrs

# Part of the service rate that is promised to returning callers while the
# load exceeds it. Some are to return before the end of the overload is seen.
MIN_RETURN_SHARE = 0.1


@attrs.frozen
class ReturnTime:
    """When a refused caller should return.

    Attributes:
        has_capacity: capacity is expected then, and kept for the caller.
    """

    at: float
    has_capacity: bool


@attrs.define
class ReturnPlan:
    """Schedules returns at the rate at which there is capacity for them.

    Each class has the time up to which the capacity is promised to it and to
    more urgent classes. So less urgent callers return after the urgent ones,
    and no two sets of callers are given the same time.
    """

    rng: random.Random
    _promised_until: dict[int, float] = attrs.field(factory=dict)

    def schedule(
        self,
        priority: int,
        cost: float,
        earliest_at: float,
        latest_at: float,
        spare_rate: float,
        service_rate: float,
    ) -> ReturnTime:
        """Return the time at which a refused caller should return.

        Args:
            earliest_at: capacity for the class is expected from then on.
            latest_at: callers don't wait longer.
            spare_rate: cost per second that the arrivals leave over.
        """
        rate = max(spare_rate, MIN_RETURN_SHARE * service_rate, 1e-3)
        lasts_s = cost / rate
        starts_at = max(
            earliest_at, self._promised_until.get(priority, earliest_at)
        )
        if starts_at + lasts_s > latest_at:
            # No capacity is left until then. These returns are spread over
            # the later half of the time, where the load may have fallen.
            earliest_at = min(earliest_at, latest_at)
            middle = (earliest_at + latest_at) / 2
            return ReturnTime(self.rng.uniform(middle, latest_at), False)
        for other in {priority, *self._promised_until}:
            if other >= priority:
                held = self._promised_until.get(other, starts_at)
                self._promised_until[other] = max(held, starts_at) + lasts_s
        return ReturnTime(starts_at + lasts_s * self.rng.random(), True)
