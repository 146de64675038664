"""What an entry knows of one upstream: its load, pace and health."""

import bisect
import math

import attrs

from cassiashift_core.routing import breaker
from cassiashift_core.routing import limits
from cassiashift_core.routing import model

EWMA_SHARE = 0.2
PROBE_SHARE = 1.0
HISTORY_S = 10.0
OVERDUE_MIN_S = 0.5
MIN_RAMP = 0.1


@attrs.define
class Attempt:
    """An attempt in progress.

    Attributes:
        expected_s: predicted time to the first token.
        last_progress: time of the last token, or of the start.
    """

    started_at: float
    tokens: int
    expected_s: float
    last_progress: float
    has_first_token: bool = False


@attrs.frozen
class _Own:
    """The entry's own load on the upstream since a time."""

    since: float
    running: int
    pending: int


@attrs.define
class UpstreamState:
    """Load, pace and health of one upstream.

    Attributes:
        slowness: observed over predicted time to the first token.
        gap_s: mean time between tokens.
        slowness_bound: slowness above which it counts as a straggler.
        gap_bound_s: time between tokens above which it does.
        joined_at: when it came or came back, for the slow start.
    """

    cfg: model.RoutingConfig
    view: model.UpstreamView
    joined_at: float | None
    limit: limits.AdaptiveLimit
    slowness: float = 1.0
    gap_s: float | None = None
    slowness_bound: float = math.inf
    gap_bound_s: float = math.inf
    failures: int = 0
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    pending: int = 0
    _breaker: breaker.Breaker | None = None
    _others_running: int = 0
    _others_pending: int = 0
    _reported_at: float = -1e9
    _refuses_until: float = -1e9
    _slots: int | None = None
    _slots_at: float = -1e9
    _history: list[_Own] = attrs.field(factory=list)

    @property
    def usable(self) -> bool:
        """Tell whether membership lets new calls go there."""
        return self.view.alive and not self.view.draining

    def running(self, now: float) -> int:
        """Return the calls in progress, those of other entries included."""
        return len(self.attempts) + self._others(now)[0]

    def pending_tokens(self, now: float) -> int:
        """Return the prompt tokens not yet prefilled."""
        return self.pending + self._others(now)[1]

    def effective_limit(self, now: float) -> float:
        """Return the concurrency limit, reduced during the slow start."""
        if self.joined_at is None:
            return self.limit.value
        age = now - self.joined_at
        ramp = max(MIN_RAMP, min(1.0, age / self.cfg.slow_start_s))
        return max(1.0, self.limit.value * ramp)

    def room(self, now: float) -> float:
        """Return how many more calls the upstream may get.

        With slots from the agent, the entry uses its part of the limit;
        without, it counts the calls of other entries.
        """
        if now < self._refuses_until:
            return 0.0
        limit = self.effective_limit(now)
        age = now - self._slots_at
        if self._slots is None or age > self.cfg.report_max_age_s:
            return limit - self.running(now)
        part = min(1.0, limit / self.view.concurrency)
        return self._slots * part - len(self.attempts)

    def allows(self, now: float) -> bool:
        """Tell whether the breaker lets a call through."""
        if self._breaker is None:
            return True
        return self._breaker.allows(len(self.attempts), now)

    def predict_s(self, uncached_tokens: int, now: float) -> float:
        """Return the predicted time to a first token."""
        pending_s, token_s = self.predictor(now)
        return pending_s + uncached_tokens * token_s

    def predictor(self, now: float) -> tuple[float, float]:
        """Return the time before a prefill, and the time for a token."""
        slowness = self.current_slowness(now)
        pending_s = slowness * self.nominal_s(0, now)
        return pending_s, slowness * self.cfg.prefill_s_per_token

    def nominal_s(self, uncached_tokens: int, now: float) -> float:
        """Return the time to a first token at a slowness of 1."""
        tokens = self.pending_tokens(now) + uncached_tokens
        cfg = self.cfg
        return cfg.first_token_floor_s + tokens * cfg.prefill_s_per_token

    def current_slowness(self, now: float) -> float:
        """Return the slowness, raised by a first token that is overdue."""
        slowness = self.slowness
        for attempt in self.attempts.values():
            if attempt.has_first_token:
                continue
            waited = now - attempt.started_at
            if waited > OVERDUE_MIN_S:
                slowness = max(slowness, waited / attempt.expected_s)
            break
        return slowness

    def is_slow(self, now: float) -> bool:
        """Tell whether the upstream is a straggler of its pool."""
        if self.gap_s is not None and self.gap_s > self.gap_bound_s:
            return True
        return self.current_slowness(now) > self.slowness_bound

    def wants_probe(self, now: float) -> bool:
        """Tell whether a call should find out if it is well again."""
        return self.tripped and not self.attempts and self.allows(now)

    def start(self, attempt_id: str, tokens: int, now: float) -> None:
        """Count the start of an attempt."""
        expected_s = self.nominal_s(tokens, now)
        self.attempts[attempt_id] = Attempt(now, tokens, expected_s, now)
        self.pending += tokens
        if self._breaker is not None:
            self._breaker.sent(now)
        self._remember(now)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Count a first token."""
        attempt = self.attempts[attempt_id]
        if attempt.has_first_token:
            return
        attempt.has_first_token = True
        attempt.last_progress = now
        self.pending -= attempt.tokens
        waited = now - attempt.started_at
        ratio = waited / attempt.expected_s
        self.slowness += self._share() * (ratio - self.slowness)
        prefill_s = (
            attempt.tokens * self.cfg.prefill_s_per_token * self.slowness
        )
        met = waited - prefill_s <= self.cfg.queue_target_s
        self.limit.record(met, self.running(now), now)
        self._remember(now)

    def progress(self, attempt_id: str, tokens: int, now: float) -> None:
        """Count tokens that came since the last progress."""
        attempt = self.attempts[attempt_id]
        if tokens <= 0:
            return
        gap_s = (now - attempt.last_progress) / tokens
        attempt.last_progress = now
        if self.gap_s is None:
            self.gap_s = gap_s
        self.gap_s += self._share() * (gap_s - self.gap_s)
        met = gap_s <= self.cfg.token_gap_target_s
        self.limit.record(met, self.running(now), now)
        if self.tripped and not self.paused and self.is_slow(now):
            self.trip_slow(now)

    def finish(
        self, attempt_id: str, outcome: model.Outcome, now: float
    ) -> None:
        """Count the end of an attempt."""
        attempt = self.attempts.pop(attempt_id)
        if not attempt.has_first_token:
            self.pending -= attempt.tokens
        self._remember(now)
        if outcome is model.Outcome.OK:
            self._succeed(now)
        elif outcome is model.Outcome.REFUSED:
            self._refuses_until = now + self.cfg.refused_pause_s
        elif outcome is model.Outcome.DRAINING:
            self._refuses_until = now + self.cfg.draining_pause_s
        elif outcome in (model.Outcome.FAILED, model.Outcome.TIMEOUT):
            self._fail(now)

    def trip_slow(self, now: float) -> None:
        """Open the breaker of a straggler."""
        self._trip(now, self.cfg.slow_reopen_s)

    def _trip(self, now: float, first_pause_s: float) -> None:
        if self._breaker is None:
            self._breaker = breaker.Breaker(self.cfg.max_reopen_s)
        self._breaker.failed(now, first_pause_s)

    @property
    def tripped(self) -> bool:
        """Tell whether the breaker is not closed."""
        return self._breaker is not None and self._breaker.state != 'closed'

    @property
    def paused(self) -> bool:
        """Tell whether the breaker is open, with no probe on its way."""
        return self._breaker is not None and self._breaker.state == 'open'

    def report(self, report: model.LoadReport, now: float) -> None:
        """Take a load report; own calls at its time are subtracted."""
        if report.slots is not None and now >= self._slots_at:
            self._slots = report.slots
            self._slots_at = now
        if report.measured_at <= self._reported_at:
            return
        own = self._own_at(report.measured_at)
        self._reported_at = report.measured_at
        self._others_running = max(0, report.running - own.running)
        self._others_pending = max(0, report.pending_tokens - own.pending)

    def _share(self) -> float:
        """Return the weight of a new observation; a probe's is high."""
        return PROBE_SHARE if self.tripped else EWMA_SHARE

    def _others(self, now: float) -> tuple[int, int]:
        if now - self._reported_at > self.cfg.report_max_age_s:
            return 0, 0
        return self._others_running, self._others_pending

    def _succeed(self, now: float) -> None:
        self.failures = 0
        if self._breaker is None or not self.tripped:
            return
        if self.is_slow(now):
            self.trip_slow(now)
        else:
            self._breaker.succeeded(now)
            self.joined_at = now

    def _fail(self, now: float) -> None:
        self.failures += 1
        if self.tripped or self.failures >= self.cfg.trip_failures:
            self.failures = 0
            self._trip(now, self.cfg.reopen_s)

    def _remember(self, now: float) -> None:
        self._history.append(_Own(now, len(self.attempts), self.pending))
        if len(self._history) > 64:
            first = bisect.bisect_left(
                self._history, now - HISTORY_S, key=lambda own: own.since
            )
            del self._history[: min(first, len(self._history) - 1)]

    def _own_at(self, when: float) -> _Own:
        index = bisect.bisect_right(
            self._history, when, key=lambda own: own.since
        )
        return self._history[index - 1] if index else _Own(when, 0, 0)
