"""Token buckets that enforce the limits of a workspace."""

import math

import attrs

from cassiashift_core.admission import model

ROUNDING_TOLERANCE = 1e-9


@attrs.define
class TokenBucket:
    """A token bucket whose balance may become negative.

    A call is admitted while the balance is positive and then withdraws its
    full price, so a price may exceed what the bucket holds. A negative balance
    is refilled at the rate.

    Attributes:
        rate: units added per second.
        burst_s: seconds of the rate that the bucket holds.
    """

    rate: float
    burst_s: float
    _balance: float = attrs.field(init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._balance = self._max_balance()

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; a balance above the new maximum is cut to it."""
        self._refill(now)
        self.rate = rate
        self._balance = min(self._balance, self._max_balance())

    def wait_s(self, now: float) -> float:
        """Return the seconds until the balance is positive."""
        self._refill(now)
        if self._balance > 0:
            return 0.0
        if self.rate <= 0:
            return math.inf
        return max(-self._balance / self.rate, 1e-6)

    def withdraw(self, price: float, now: float) -> None:
        """Subtract a price from the balance; a negative one is a refund."""
        self._refill(now)
        self._balance = min(self._max_balance(), self._balance - price)

    def _max_balance(self) -> float:
        return max(1.0, self.rate * self.burst_s) if self.rate > 0 else 0.0

    def _refill(self, now: float) -> None:
        if self._updated_at is None:
            self._updated_at = now
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        if math.isinf(self.rate):
            self._balance = math.inf
        else:
            self._balance = min(
                self._max_balance(), self._balance + elapsed * self.rate
            )


@attrs.define
class WorkspaceMeter:
    """Enforces rate and concurrency limits of a workspace at an entry."""

    limits: model.WorkspaceLimits
    in_flight: int = attrs.field(default=0, init=False)
    _requests: TokenBucket = attrs.field(init=False)
    _tokens: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the buckets for calls and tokens, both full."""
        limits = self.limits
        self._requests = TokenBucket(
            limits.requests_per_second, limits.burst_s
        )
        self._tokens = TokenBucket(limits.tokens_per_second, limits.burst_s)

    def update(self, limits: model.WorkspaceLimits, now: float) -> None:
        """Replace the limits; calls in progress still count."""
        self.limits = limits
        self._requests.set_rate(limits.requests_per_second, now)
        self._tokens.set_rate(limits.tokens_per_second, now)

    def wait_s(self, now: float) -> float:
        """Return the seconds until both rate limits allow a call."""
        return max(self._requests.wait_s(now), self._tokens.wait_s(now))

    @property
    def allows_any(self) -> bool:
        """Whether the concurrency limit allows at least one call."""
        return self.limits.concurrency + ROUNDING_TOLERANCE >= 1

    def may_start(self, now: float) -> bool:
        """Return whether rate and concurrency limits allow a call now."""
        if self.in_flight + 1 > self.limits.concurrency + ROUNDING_TOLERANCE:
            return False
        return self.wait_s(now) <= 0

    def start(self, tokens: float, now: float) -> None:
        """Record the start of a call and withdraw its expected tokens."""
        self.in_flight += 1
        self._requests.withdraw(1, now)
        self._tokens.withdraw(tokens, now)

    def finish(self, correction: float, now: float) -> None:
        """Record the end of a call.

        ``correction`` is the tokens used minus the tokens withdrawn.
        """
        self.in_flight -= 1
        self._tokens.withdraw(correction, now)
