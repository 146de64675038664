"""An entry's state of one upstream: load, speed and health."""

import bisect
import math

import attrs

from cassiashift_core import breaker
from cassiashift_core.routing import limits
from cassiashift_core.routing import model

EWMA_WEIGHT = 0.2
PROBE_WEIGHT = 1.0
OWN_LOAD_HISTORY_S = 10.0
MIN_OVERDUE_S = 0.5
MIN_SLOW_START_SHARE = 0.1


@attrs.define
class Attempt:
    """An attempt in progress at the upstream.

    Attributes:
        tokens: prompt tokens to prefill.
        expected_s: predicted time to the first token.
        last_progress: time of the last token, or of the start.
    """

    started_at: float
    tokens: int
    expected_s: float
    last_progress: float
    has_first_token: bool = False


@attrs.frozen
class _OwnLoad:
    """The entry's own calls and pending tokens from ``since`` on."""

    since: float
    running: int
    pending: int


@attrs.define
class UpstreamState:
    """Load, speed and health of one upstream.

    Attributes:
        slowness: ratio of observed to predicted time to the first token.
        gap_s: mean time between tokens.
        slowness_bound: slowness above which it counts as a straggler.
        gap_bound_s: time between tokens above which it counts as one.
        joined_at: when it joined or recovered, for the slow start; None
            skips the slow start.
        failures: consecutive failed attempts.
        pending: the entry's own prompt tokens not yet prefilled.
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
    _slots_received_at: float = -1e9
    _history: list[_OwnLoad] = attrs.field(factory=list)

    @property
    def usable(self) -> bool:
        """Whether the upstream is alive and not draining."""
        return self.view.alive and not self.view.draining

    def running(self, now: float) -> int:
        """Return the calls in progress, including other entries'."""
        return len(self.attempts) + self._others_load(now)[0]

    def pending_tokens(self, now: float) -> int:
        """Return prompt tokens not yet prefilled, including other entries'."""
        return self.pending + self._others_load(now)[1]

    def effective_limit(self, now: float) -> float:
        """Return the concurrency limit, reduced during the slow start."""
        if self.joined_at is None:
            return self.limit.value
        age = now - self.joined_at
        share = max(
            MIN_SLOW_START_SHARE, min(1.0, age / self.cfg.slow_start_s)
        )
        return max(1.0, self.limit.value * share)

    def spare_capacity(self, now: float) -> float:
        """Return how many more calls the entry may send to the upstream.

        With slots from the agent, the entry uses its slots, scaled by the
        limit over the concurrency. Without, it subtracts the calls of all
        entries from the limit. Returns 0 in the pause after a refusal.
        """
        if now < self._refuses_until:
            return 0.0
        limit = self.effective_limit(now)
        age = now - self._slots_received_at
        if self._slots is None or age > self.cfg.report_max_age_s:
            return limit - self.running(now)
        part = min(1.0, limit / self.view.concurrency)
        return self._slots * part - len(self.attempts)

    def allows(self, now: float) -> bool:
        """Return whether the breaker lets a call through."""
        if self._breaker is None:
            return True
        return self._breaker.allows(len(self.attempts), now)

    def predict_s(self, uncached_tokens: int, now: float) -> float:
        """Return the predicted time to a first token in seconds."""
        pending_s, token_s = self.prefill_estimate(now)
        return pending_s + uncached_tokens * token_s

    def prefill_estimate(self, now: float) -> tuple[float, float]:
        """Return the seconds before a prefill starts and per prompt token."""
        slowness = self.current_slowness(now)
        pending_s = slowness * self.nominal_s(0, now)
        return pending_s, slowness * self.cfg.prefill_s_per_token

    def nominal_s(self, uncached_tokens: int, now: float) -> float:
        """Return the seconds to a first token at a slowness of 1."""
        tokens = self.pending_tokens(now) + uncached_tokens
        cfg = self.cfg
        return cfg.first_token_floor_s + tokens * cfg.prefill_s_per_token

    def current_slowness(self, now: float) -> float:
        """Return the slowness, raised if a first token is overdue.

        Only the oldest attempt without a first token counts.
        """
        slowness = self.slowness
        for attempt in self.attempts.values():
            if attempt.has_first_token:
                continue
            waited = now - attempt.started_at
            if waited > MIN_OVERDUE_S:
                slowness = max(slowness, waited / attempt.expected_s)
            break
        return slowness

    def is_slow(self, now: float) -> bool:
        """Return whether the upstream is a straggler of its pool."""
        if self.gap_s is not None and self.gap_s > self.gap_bound_s:
            return True
        return self.current_slowness(now) > self.slowness_bound

    def is_probe_due(self, now: float) -> bool:
        """Return whether the next call should probe a tripped upstream."""
        return self.tripped and not self.attempts and self.allows(now)

    def record_start(self, attempt_id: str, tokens: int, now: float) -> None:
        """Record the start of an attempt with prompt tokens to prefill."""
        expected_s = self.nominal_s(tokens, now)
        self.attempts[attempt_id] = Attempt(now, tokens, expected_s, now)
        self.pending += tokens
        if self._breaker is not None:
            self._breaker.record_send(now)
        self._record_own_load(now)

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Record a first token; update slowness and concurrency limit."""
        attempt = self.attempts[attempt_id]
        if attempt.has_first_token:
            return
        attempt.has_first_token = True
        attempt.last_progress = now
        self.pending -= attempt.tokens
        waited = now - attempt.started_at
        ratio = waited / attempt.expected_s
        self.slowness += self._observation_weight() * (ratio - self.slowness)
        prefill_s = (
            attempt.tokens * self.cfg.prefill_s_per_token * self.slowness
        )
        met_target = waited - prefill_s <= self.cfg.queue_target_s
        self.limit.record(met_target, self.running(now), now)
        self._record_own_load(now)

    def record_progress(
        self, attempt_id: str, tokens: int, now: float
    ) -> None:
        """Record tokens since the last progress; update ``gap_s``."""
        attempt = self.attempts[attempt_id]
        if tokens <= 0:
            return
        gap_s = (now - attempt.last_progress) / tokens
        attempt.last_progress = now
        if self.gap_s is None:
            self.gap_s = gap_s
        self.gap_s += self._observation_weight() * (gap_s - self.gap_s)
        met_target = gap_s <= self.cfg.token_gap_target_s
        self.limit.record(met_target, self.running(now), now)
        if self.tripped and not self.paused and self.is_slow(now):
            self.trip_straggler(now)

    def record_finish(
        self, attempt_id: str, outcome: model.Outcome, now: float
    ) -> None:
        """Record the end of an attempt; update breaker and pauses."""
        attempt = self.attempts.pop(attempt_id)
        if not attempt.has_first_token:
            self.pending -= attempt.tokens
        self._record_own_load(now)
        if outcome is model.Outcome.OK:
            self._record_success(now)
        elif outcome is model.Outcome.REFUSED:
            self._refuses_until = now + self.cfg.refused_pause_s
        elif outcome is model.Outcome.DRAINING:
            self._refuses_until = now + self.cfg.draining_pause_s
        elif outcome in (model.Outcome.FAILED, model.Outcome.TIMEOUT):
            self._record_failure(now)

    def trip_straggler(self, now: float) -> None:
        """Open the breaker of a straggler."""
        self._trip(now, self.cfg.slow_reopen_s)

    def _trip(self, now: float, first_pause_s: float) -> None:
        if self._breaker is None:
            self._breaker = breaker.Breaker(self.cfg.max_reopen_s)
        self._breaker.record_failure(now, first_pause_s)

    @property
    def tripped(self) -> bool:
        """Whether the breaker is not closed."""
        return self._breaker is not None and self._breaker.state != 'closed'

    @property
    def paused(self) -> bool:
        """Whether the breaker is open, without a probe in flight."""
        return self._breaker is not None and self._breaker.state == 'open'

    def apply_report(self, report: model.LoadReport, now: float) -> None:
        """Apply a load report.

        The entry's own load when it was measured is subtracted, so that it
        is not counted twice.
        """
        if report.slots is not None and now >= self._slots_received_at:
            self._slots = report.slots
            self._slots_received_at = now
        if report.measured_at <= self._reported_at:
            return
        own = self._own_load_at(report.measured_at)
        self._reported_at = report.measured_at
        self._others_running = max(0, report.running - own.running)
        self._others_pending = max(0, report.pending_tokens - own.pending)

    def _observation_weight(self) -> float:
        """Return the smoothing weight; a probe replaces the mean."""
        return PROBE_WEIGHT if self.tripped else EWMA_WEIGHT

    def _others_load(self, now: float) -> tuple[int, int]:
        if now - self._reported_at > self.cfg.report_max_age_s:
            return 0, 0
        return self._others_running, self._others_pending

    def _record_success(self, now: float) -> None:
        self.failures = 0
        if self._breaker is None or not self.tripped:
            return
        if self.is_slow(now):
            self.trip_straggler(now)
        else:
            self._breaker.record_success(now)
            self.joined_at = now

    def _record_failure(self, now: float) -> None:
        self.failures += 1
        if self.tripped or self.failures >= self.cfg.trip_failures:
            self.failures = 0
            self._trip(now, self.cfg.reopen_s)

    def _record_own_load(self, now: float) -> None:
        self._history.append(_OwnLoad(now, len(self.attempts), self.pending))
        if len(self._history) > 64:
            first = bisect.bisect_left(
                self._history,
                now - OWN_LOAD_HISTORY_S,
                key=lambda own: own.since,
            )
            del self._history[: min(first, len(self._history) - 1)]

    def _own_load_at(self, at: float) -> _OwnLoad:
        index = bisect.bisect_right(
            self._history, at, key=lambda own: own.since
        )
        return self._history[index - 1] if index else _OwnLoad(at, 0, 0)
