"""Tells a rank that is slow by itself from one that has too much load.

Each rank's step time is regressed on its load, ``time = a + b * load``, with
the line that most ranks share: Theil's estimator (1950), which a minority of
slow ranks does not bend. A rank that lies on the line is explained by its
load; one that lies above it for several windows is not.
"""

import enum
import itertools
import statistics

import attrs

MIN_RANKS = 3
OVERLOAD_RATIO = 1.1
SLOW_RATIO = 1.15
SLOW_WINDOWS = 3


class RankHealth(enum.Enum):
    """What a rank's step times say about it, and so what helps."""

    FINE = 'fine'
    OVERLOADED = 'shift load away'
    SUSPECT = 'wait for more windows'
    FAULTY = 'drain the rank'


@attrs.frozen
class RankSample:
    """One window of one rank.

    Attributes:
        load: tokens for each step.
        step_s: mean time of a step, without waiting for the others.
    """

    rank: str
    load: float
    step_s: float


@attrs.define
class StragglerDetector:
    """Judge the ranks of one group, window by window."""

    slow_ratio: float = SLOW_RATIO
    slow_windows: int = SLOW_WINDOWS
    _slow: dict[str, int] = attrs.field(factory=dict)

    def observe(self, samples: list[RankSample]) -> dict[str, RankHealth]:
        """Take in one window and return the health of each rank."""
        if len(samples) < MIN_RANKS:
            return {sample.rank: RankHealth.FINE for sample in samples}
        base, slope = fit_line(samples)
        mean = statistics.fmean(sample.load for sample in samples)
        return {
            sample.rank: self._judge(sample, base, slope, mean)
            for sample in samples
        }

    def _judge(
        self, sample: RankSample, base: float, slope: float, mean: float
    ) -> RankHealth:
        expected = max(base + slope * sample.load, 1e-12)
        if sample.step_s > self.slow_ratio * expected:
            count = self._slow.get(sample.rank, 0) + 1
            self._slow[sample.rank] = count
            if count >= self.slow_windows:
                return RankHealth.FAULTY
            return RankHealth.SUSPECT
        self._slow.pop(sample.rank, None)
        if sample.load > OVERLOAD_RATIO * mean:
            return RankHealth.OVERLOADED
        return RankHealth.FINE


def fit_line(samples: list[RankSample]) -> tuple[float, float]:
    """Return the base time and the time for each unit of load."""
    slopes = [
        (two.step_s - one.step_s) / (two.load - one.load)
        for one, two in itertools.combinations(samples, 2)
        if abs(two.load - one.load) > 1e-9 * max(one.load, two.load)
    ]
    slope = max(0.0, statistics.median(slopes)) if slopes else 0.0
    base = statistics.median(
        sample.step_s - slope * sample.load for sample in samples
    )
    return base, slope
