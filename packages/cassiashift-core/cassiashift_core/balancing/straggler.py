"""Distinguishes ranks that are slow by themselves from overloaded ones.

Step times are regressed on the loads of the ranks, ``time = a + b * load``,
by Theil's estimator (1950), which is robust against a minority of slow ranks.
The time of a rank near the line is explained by its load; a rank that is
above it for several windows is faulty.
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
    """Diagnosis of a rank; the values name the remedy."""

    FINE = 'fine'
    OVERLOADED = 'shift load away'
    SUSPECT = 'wait for more windows'
    FAULTY = 'drain the rank'


@attrs.frozen
class RankSample:
    """Load and step time of one rank in one window.

    Attributes:
        load: tokens for each step.
        step_s: mean time of a step, without the wait for other ranks.
    """

    rank: str
    load: float
    step_s: float


@attrs.define
class StragglerDetector:
    """Classifies the ranks of one group in each window.

    Attributes:
        slow_ratio: step time over the expected one, above which a rank is
            slow.
        slow_windows: successive slow windows that make a rank faulty.
    """

    slow_ratio: float = SLOW_RATIO
    slow_windows: int = SLOW_WINDOWS
    _slow_counts: dict[str, int] = attrs.field(factory=dict)

    def observe(self, samples: list[RankSample]) -> dict[str, RankHealth]:
        """Return the health of each rank after one more window.

        All are fine in a window with fewer than ``MIN_RANKS`` samples.
        """
        if len(samples) < MIN_RANKS:
            return {sample.rank: RankHealth.FINE for sample in samples}
        base, slope = fit_line(samples)
        mean_load = statistics.fmean(sample.load for sample in samples)
        return {
            sample.rank: self._classify(sample, base, slope, mean_load)
            for sample in samples
        }

    def _classify(
        self, sample: RankSample, base: float, slope: float, mean_load: float
    ) -> RankHealth:
        expected = max(base + slope * sample.load, 1e-12)
        if sample.step_s > self.slow_ratio * expected:
            count = self._slow_counts.get(sample.rank, 0) + 1
            self._slow_counts[sample.rank] = count
            if count >= self.slow_windows:
                return RankHealth.FAULTY
            return RankHealth.SUSPECT
        self._slow_counts.pop(sample.rank, None)
        if sample.load > OVERLOAD_RATIO * mean_load:
            return RankHealth.OVERLOADED
        return RankHealth.FINE


def fit_line(samples: list[RankSample]) -> tuple[float, float]:
    """Return the time without load and the time per token, in seconds."""
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
