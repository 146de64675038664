"""Cost of requests relative to the mean of their service."""

import math

import attrs

# Weight of the newest request in the means, and of earlier ones in sum: means
# of 50 requests vary by a tenth at the usual dispersion of sizes.
NEWEST_WEIGHT = 0.02
# A cost counts up to this multiple of the usual one, so that a workspace with
# the largest tenth of requests is served at least half as often as the others;
# that tenth raises the usual cost to 1.08 times that of the rest.
LARGEST = 1.85
# Step of the usual cost, as a logarithm. With the whole difference one odd
# size of a long tail would count like many requests.
LARGEST_STEP = math.log(2)
# A smaller cost would make one workspace pass all others for too long, and
# errors of the estimate count too much in the mean time of a cost unit.
SMALLEST = 0.25


@attrs.define
class RelativeCost:
    """Scales the expected costs of the requests of one service.

    Costs are of any unit. The result refers to the mean of the bounded costs.
    """

    _count: int = 0
    _log_usual: float = 0.0
    _mean: float = 0.0

    def record(self, cost: float) -> None:
        """Record the expected cost of a request that arrived."""
        if not 0 < cost < math.inf:
            return
        self._count += 1
        weight = max(NEWEST_WEIGHT, 1 / self._count)
        step = math.log(cost) - self._log_usual
        if self._count > 1:
            step = min(LARGEST_STEP, max(-LARGEST_STEP, step))
        self._log_usual += weight * step
        self._mean += weight * (self._bounded(cost) - self._mean)

    def relative(self, cost: float) -> float:
        """Return a cost in units of the mean; 1 if either is not known."""
        if not self._count or not 0 < cost < math.inf:
            return 1.0
        return max(SMALLEST, self._bounded(cost) / self._mean)

    def _bounded(self, cost: float) -> float:
        return min(cost, LARGEST * math.exp(self._log_usual))
