"""Decaying mean and deviation of the logarithms of observations.

Sizes and times of requests are long-tailed; their logarithms are much closer
to a normal distribution, and one extreme value moves them little.
"""

import math

import attrs

# Weight of the newest observation once there are enough: a change of what
# callers send is learned within about 20 requests.
NEWEST_WEIGHT = 0.05
# Observations of a workspace that count as much as the mean of its route.
PRIOR_COUNT = 4
SMALLEST = 1e-6


@attrs.define
class LogMoments:
    """Mean and variance of the logarithms of positive observations."""

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def record(self, value: float) -> None:
        """Record an observation."""
        logarithm = math.log(max(SMALLEST, value))
        self.count += 1
        weight = max(NEWEST_WEIGHT, 1 / self.count)
        delta = logarithm - self.mean
        self.mean += weight * delta
        self.variance = (1 - weight) * (self.variance + weight * delta**2)

    def combined(self, prior: 'LogMoments') -> 'LogMoments':
        """Return the moments with another's as the prior of their mean."""
        if not self.count:
            return prior
        if not prior.count:
            return self
        own = self.count / (self.count + PRIOR_COUNT)
        return LogMoments(
            self.count,
            own * self.mean + (1 - own) * prior.mean,
            own * self.variance + (1 - own) * prior.variance,
        )
