"""Learns how many requests a second an entry can carry."""

import attrs

MEGABYTE = 1024 * 1024
# The loop of an entry runs on one core, whatever its host has.
LOOP_CORES = 1.0
# Share of each resource that requests may use in steady operation: the load
# of another entry that is lost still fits.
TARGET_SHARE = 0.5
# Processor time of a request and of control, before any was measured.
INITIAL_COST_S = 0.006
INITIAL_BASE_CORES = 0.05
# Weight of these, in squared requests a second and in seconds.
COST_WEIGHT = 100.0
BASE_WEIGHT = 0.5
# Weight that each observation keeps a second later: half of it after 34 s.
KEPT_PER_S = 0.98
# Observed requests before the use of link and memory counts.
LEAST_REQUESTS = 50.0
# No measured cost is taken to be below this share of the initial one; a
# second in which requests only waited would make the capacity unlimited.
LEAST_COST_SHARE = 0.1
# A delay of the loop delays every event of its streams. The shortest
# objective for pauses is 120 ms.
SLOW_LAG_S = 0.05
SOUND_LAG_S = 0.02
# Seconds of such delays until an entry is slow, and of sound ones until it
# isn't. One collection of garbage doesn't make it slow.
SLOW_AFTER = 2
SOUND_AFTER = 5


@attrs.frozen
class Supply:
    """What an entry may use; 0 where it is not stated."""

    cpu_cores: float = 0.0
    link_bytes_per_s: float = 0.0
    buffer_bytes: float = 0.0


@attrs.frozen
class Usage:
    """What an entry used in an interval.

    Attributes:
        link_bytes: in the busier direction of its link.
        buffered_bytes: held at the end.
        typical_lag_s: delay of its loop that one in ten turns exceeded.
    """

    elapsed_s: float
    requests: int
    cpu_s: float
    link_bytes: int = 0
    buffered_bytes: int = 0
    typical_lag_s: float = 0.0


@attrs.define(eq=False)
class CapacityEstimator:
    """Estimates the capacity of an entry from what it uses.

    Processor time is fitted by a line over requests a second, so that the
    work for control isn't taken for a cost of requests: at a low rate it
    would seem that an entry can carry very few. Earlier observations fade.

    Attributes:
        is_slow: its loop is delayed so much that callers should go elsewhere.
    """

    supply: Supply
    is_slow: bool = False
    _weight: float = 0.0
    _rate: float = 0.0
    _rate_squared: float = 0.0
    _cpu: float = 0.0
    _rate_by_cpu: float = 0.0
    _link: float = 0.0
    _buffered: float = 0.0
    _delayed: int = 0
    _sound: int = 0

    @property
    def cpu_line(self) -> tuple[float, float]:
        """Return cores used without requests, and seconds for a request."""
        a = self._weight + BASE_WEIGHT
        b = self._rate
        d = self._rate_squared + COST_WEIGHT
        e = self._cpu + BASE_WEIGHT * INITIAL_BASE_CORES
        f = self._rate_by_cpu + COST_WEIGHT * INITIAL_COST_S
        # By the weights of the initial values this is above 0.
        determinant = a * d - b * b
        base = (e * d - b * f) / determinant
        cost = (a * f - b * e) / determinant
        least = LEAST_COST_SHARE * INITIAL_COST_S
        return max(base, 0.0), max(cost, least)

    @property
    def capacity_per_s(self) -> float:
        """Return requests a second; 0 if no processor share is stated."""
        supply = self.supply
        if not supply.cpu_cores:
            return 0.0
        base, cost_s = self.cpu_line
        cores = min(supply.cpu_cores, LOOP_CORES)
        bounds = [max(TARGET_SHARE * cores - base, 0.0) / cost_s]
        if self._rate >= LEAST_REQUESTS:
            for available, used in (
                (supply.link_bytes_per_s, self._link),
                (supply.buffer_bytes, self._buffered),
            ):
                if available and used:
                    bounds.append(TARGET_SHARE * available * self._rate / used)
        # 0 would mean that it is not stated.
        return max(round(min(bounds), 1), 0.1)

    def record(self, usage: Usage) -> None:
        """Record what was used in an interval."""
        elapsed_s = usage.elapsed_s
        if elapsed_s <= 0:
            return
        kept = KEPT_PER_S**elapsed_s
        rate = usage.requests / elapsed_s
        cores = usage.cpu_s / elapsed_s
        self._weight = kept * self._weight + elapsed_s
        self._rate = kept * self._rate + elapsed_s * rate
        squared = elapsed_s * rate * rate
        self._rate_squared = kept * self._rate_squared + squared
        self._cpu = kept * self._cpu + elapsed_s * cores
        by_cpu = elapsed_s * rate * cores
        self._rate_by_cpu = kept * self._rate_by_cpu + by_cpu
        self._link = kept * self._link + usage.link_bytes
        buffered = elapsed_s * usage.buffered_bytes
        self._buffered = kept * self._buffered + buffered
        self._record_lag(usage.typical_lag_s)

    def _record_lag(self, lag_s: float) -> None:
        self._delayed = self._delayed + 1 if lag_s > SLOW_LAG_S else 0
        self._sound = self._sound + 1 if lag_s < SOUND_LAG_S else 0
        if self._delayed >= SLOW_AFTER:
            self.is_slow = True
        elif self._sound >= SOUND_AFTER:
            self.is_slow = False
