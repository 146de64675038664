"""Expected sizes and times of one request, with their dispersion."""

import math

import attrs

# A standard deviation of the logarithm above this would let one odd
# observation multiply a mean by more than three.
LARGEST_SIGMA = 1.5


@attrs.frozen
class StatedSize:
    """What the headers of a request state; 0 is not stated.

    Attributes:
        hinted_tokens: the caller's estimate of the output tokens.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    hinted_tokens: int = 0


@attrs.frozen
class Estimate:
    """A log-normal estimate of a quantity.

    Attributes:
        sigma: standard deviation of the logarithm; 0 if it is known.
        largest: upper limit; infinite if there is none.
    """

    median: float
    sigma: float = 0.0
    largest: float = math.inf

    @property
    def mean(self) -> float:
        """Return the expected value, at most ``largest``."""
        sigma = min(self.sigma, LARGEST_SIGMA)
        return min(self.largest, self.median * math.exp(sigma**2 / 2))

    @property
    def high(self) -> float:
        """Return the value that five of six observations stay below."""
        return self.upper(1.0)

    def upper(self, deviations: float) -> float:
        """Return the value some standard deviations above the median."""
        sigma = min(self.sigma, LARGEST_SIGMA)
        return min(self.largest, self.median * math.exp(deviations * sigma))

    def remaining(self, received: float) -> float:
        """Return the expected rest, given that some was received already.

        That the estimate was exceeded makes a long rest more likely, so that
        an underestimate corrects itself while the stream runs.
        """
        if received <= 0:
            return self.mean
        room = max(0.0, self.largest - received)
        sigma = min(self.sigma, LARGEST_SIGMA)
        if sigma <= 0 or self.median <= 0:
            return min(room, max(0.0, self.median - received))
        position = (math.log(self.median) - math.log(received)) / sigma
        beyond = _normal_share(position)
        if beyond < 1e-6:
            # The distribution has no figures so far out: as much as its
            # deviation at this size.
            return min(room, sigma * received)
        mean = self.median * math.exp(sigma**2 / 2)
        rest = mean * _normal_share(position + sigma) / beyond - received
        return min(room, max(0.0, rest))


@attrs.frozen
class Cost:
    """What a request is expected to cost.

    Attributes:
        tokens: tokens that it holds in an upstream's memory at the end of
            its output.
        prompt_s: time in which its prompt is processed.
        time_s: time at an upstream.
    """

    prompt_tokens: Estimate
    output_tokens: Estimate
    tokens: Estimate
    prompt_s: float
    time_s: Estimate


def _normal_share(position: float) -> float:
    """Return the share of a standard normal distribution below a value."""
    return 0.5 * math.erfc(-position / math.sqrt(2))
