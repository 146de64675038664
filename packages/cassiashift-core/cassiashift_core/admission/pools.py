"""State of one pool of an entry: its capacity, queue and rates."""

import math
from typing import Self

import attrs

from cassiashift_core.admission import fair_queue
from cassiashift_core.admission import model


@attrs.define
class ServiceRate:
    """Tokens that a pool completes each second while calls wait."""

    window_s: float
    tokens_per_s: float | None = None
    _since: float | None = None
    _tokens: float = 0.0

    def record(self, tokens: float, saturated: bool, now: float) -> None:
        """Count completed tokens."""
        if not saturated:
            self._since = None
            return
        if self._since is None:
            self._since = now
            self._tokens = 0.0
            return
        self._tokens += tokens
        elapsed = now - self._since
        if elapsed < self.window_s / 10:
            return
        sample = self._tokens / elapsed
        if self.tokens_per_s is None:
            self.tokens_per_s = sample
        else:
            share = 1 - math.exp(-elapsed / self.window_s)
            self.tokens_per_s += share * (sample - self.tokens_per_s)
        self._since = now
        self._tokens = 0.0


@attrs.define
class StartTime:
    """Time from admission to the first token, with its deviation.

    The bound is the mean and four mean deviations, as for the time-out of
    a TCP sender: Jacobson, "Congestion avoidance and control", 1988.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def record(self, elapsed_s: float) -> None:
        """Count one first token."""
        error_s = elapsed_s - self.mean_s
        self.mean_s += error_s / 8
        self.deviation_s += (abs(error_s) - self.deviation_s) / 4

    @property
    def bound_s(self) -> float:
        """Return a time that few first tokens exceed."""
        return self.mean_s + 4 * self.deviation_s


@attrs.define
class Running:
    """A call in progress."""

    waiting: fair_queue.Waiting
    admitted_at: float
    has_first_token: bool = False


@attrs.define
class Pool:
    """Calls of one model or service."""

    capacity: int
    rate: ServiceRate
    start_time: StartTime = attrs.field(factory=StartTime)
    in_flight: int = 0
    queue: fair_queue.FairQueue = attrs.field(factory=fair_queue.FairQueue)

    @classmethod
    def from_config(cls, cfg: model.AdmissionConfig) -> Self:
        """Return an empty pool."""
        return cls(cfg.capacity, ServiceRate(cfg.rate_window_s))

    def max_wait_s(self, cfg: model.AdmissionConfig) -> float:
        """Return the wait that leaves time for the first token."""
        left_s = cfg.first_token_target_s - self.start_time.bound_s
        return max(cfg.min_wait_s, min(cfg.max_wait_s, left_s))

    @property
    def is_saturated(self) -> bool:
        """Tell whether calls wait because the pool has no room.

        Calls that wait for their workspace's limit do not count.
        """
        return self.queue.count > 0 and self.in_flight >= self.capacity

    def wait_s(self, req: model.AdmissionRequest) -> float:
        """Estimate how long a new call would wait for its turn."""
        tokens = self.queue.tokens_before(req)
        if not tokens or not self.rate.tokens_per_s:
            return 0.0
        return tokens / self.rate.tokens_per_s
