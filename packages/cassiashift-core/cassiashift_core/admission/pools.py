"""State of one pool at an entry: capacity, queue and service rate."""

import math
from typing import Self

import attrs

from cassiashift_core.admission import fair_queue
from cassiashift_core.admission import model


@attrs.define
class ServiceRate:
    """Tokens that a saturated pool completes each second, smoothed.

    Attributes:
        window_s: averaging time.
        tokens_per_s: the rate; None before the first sample.
    """

    window_s: float
    tokens_per_s: float | None = None
    _window_start: float | None = None
    _tokens: float = 0.0

    def record(self, tokens: float, saturated: bool, now: float) -> None:
        """Add completed tokens; only a saturated pool is measured.

        A sample is taken once a tenth of the window has passed.
        """
        if not saturated:
            self._window_start = None
            return
        if self._window_start is None:
            self._window_start = now
            self._tokens = 0.0
            return
        self._tokens += tokens
        elapsed = now - self._window_start
        if elapsed < self.window_s / 10:
            return
        sample = self._tokens / elapsed
        if self.tokens_per_s is None:
            self.tokens_per_s = sample
        else:
            share = 1 - math.exp(-elapsed / self.window_s)
            self.tokens_per_s += share * (sample - self.tokens_per_s)
        self._window_start = now
        self._tokens = 0.0


@attrs.define
class FirstTokenTime:
    """Mean time from admission to the first token, and its deviation.

    The bound is the mean plus four mean deviations, as in the
    retransmission timeout of TCP: Jacobson, "Congestion avoidance and
    control", 1988.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def record(self, elapsed_s: float) -> None:
        """Update mean and deviation with the time of one first token."""
        error_s = elapsed_s - self.mean_s
        self.mean_s += error_s / 8
        self.deviation_s += (abs(error_s) - self.deviation_s) / 4

    @property
    def bound_s(self) -> float:
        """Return an upper estimate, in seconds, that few calls exceed."""
        return self.mean_s + 4 * self.deviation_s


@attrs.define
class RunningCall:
    """A call in progress."""

    waiting: fair_queue.WaitingCall
    admitted_at: float
    has_first_token: bool = False


@attrs.define
class Pool:
    """Capacity, queue and measured times of one model or service.

    Attributes:
        capacity: calls that may be in progress.
    """

    capacity: int
    rate: ServiceRate
    first_token_time: FirstTokenTime = attrs.field(factory=FirstTokenTime)
    in_flight: int = 0
    queue: fair_queue.FairQueue = attrs.field(factory=fair_queue.FairQueue)

    @classmethod
    def from_config(cls, cfg: model.AdmissionConfig) -> Self:
        """Return an empty pool with the default capacity of the config."""
        return cls(cfg.capacity, ServiceRate(cfg.rate_window_s))

    def max_wait_s(self, cfg: model.AdmissionConfig) -> float:
        """Return the longest wait that still meets the first-token target."""
        left_s = cfg.first_token_target_s - self.first_token_time.bound_s
        return max(cfg.min_wait_s, min(cfg.max_wait_s, left_s))

    @property
    def is_saturated(self) -> bool:
        """Whether calls wait because the pool is at capacity.

        This is False while they wait only for their workspace's limit.
        """
        return self.queue.count > 0 and self.in_flight >= self.capacity

    def estimated_wait_s(self, req: model.AdmissionRequest) -> float:
        """Return an estimate of a new call's wait in the queue.

        It is 0 while no service rate has been measured.
        """
        tokens = self.queue.tokens_before(req)
        if not tokens or not self.rate.tokens_per_s:
            return 0.0
        return tokens / self.rate.tokens_per_s
