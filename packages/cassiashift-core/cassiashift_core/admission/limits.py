"""Token buckets for the limits of a workspace."""

import math

import attrs

from cassiashift_core.admission import model

ROUNDING = 1e-9


@attrs.define
class TokenBucket:
    """A bucket that may go into debt.

    A call is let in while the balance is positive and then takes its whole
    price, so a price above the burst is still possible. Debt is paid back
    at the rate.
    """

    rate: float
    burst_s: float
    _balance: float = attrs.field(init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._balance = self._bound()

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; the balance is kept up to the new bound."""
        self._refill(now)
        self.rate = rate
        self._balance = min(self._balance, self._bound())

    def wait_s(self, now: float) -> float:
        """Return the seconds until the balance is positive."""
        self._refill(now)
        if self._balance > 0:
            return 0.0
        if self.rate <= 0:
            return math.inf
        return max(-self._balance / self.rate, 1e-6)

    def take(self, price: float, now: float) -> None:
        """Withdraw a price; a negative price gives back."""
        self._refill(now)
        self._balance = min(self._bound(), self._balance - price)

    def _bound(self) -> float:
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
                self._bound(), self._balance + elapsed * self.rate
            )


@attrs.define
class WorkspaceMeter:
    """Rates and concurrency of a workspace at this entry."""

    limits: model.WorkspaceLimits
    in_flight: int = attrs.field(default=0, init=False)
    _requests: TokenBucket = attrs.field(init=False)
    _tokens: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the buckets."""
        limits = self.limits
        self._requests = TokenBucket(
            limits.requests_per_second, limits.burst_s
        )
        self._tokens = TokenBucket(limits.tokens_per_second, limits.burst_s)

    def update(self, limits: model.WorkspaceLimits, now: float) -> None:
        """Put other limits in force."""
        self.limits = limits
        self._requests.set_rate(limits.requests_per_second, now)
        self._tokens.set_rate(limits.tokens_per_second, now)

    def wait_s(self, now: float) -> float:
        """Return the seconds until the rates allow a call."""
        return max(self._requests.wait_s(now), self._tokens.wait_s(now))

    @property
    def allows_any(self) -> bool:
        """Tell whether the concurrency allows a call at all."""
        return self.limits.concurrency + ROUNDING >= 1

    def may_start(self, now: float) -> bool:
        """Tell whether rates and concurrency allow a call now."""
        if self.in_flight + 1 > self.limits.concurrency + ROUNDING:
            return False
        return self.wait_s(now) <= 0

    def start(self, tokens: float, now: float) -> None:
        """Count the start of a call."""
        self.in_flight += 1
        self._requests.take(1, now)
        self._tokens.take(tokens, now)

    def finish(self, correction: float, now: float) -> None:
        """Count the end of a call; ``correction`` is used less expected."""
        self.in_flight -= 1
        self._tokens.take(correction, now)
