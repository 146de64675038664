"""Concurrency limit of the upstreams of a group, from the pauses of streams.

All ranks of a group run each pass together, so the pauses between the events
of any stream show the duration of the passes. Only a part of a pass grows with
the requests that run: by the engine's timings the limit is lowered to where
the pauses meet a part of the objective, and raised by steps that shrink as
they come near it. Where that would cost more than a fifth of the throughput,
as with a slow rank or an uneven expert map, the limit returns to the slots:
the requests that then wait would be late as well.
"""

import statistics

import attrs

# Part of the objective that pauses may take. A stream is late by its single
# longest pause, so that typical pauses have to stay below the objective.
TARGET_SHARE = 0.8
# Pauses from this part of the objective lower the limit. Pauses between the
# two are on time, and a lower limit would only make requests wait.
LOWER_FROM_SHARE = 0.95
# Pauses are evaluated once in this time, which holds a pass at least if
# passes take as long as the objectives of both deployments (0.12 and 0.15 s).
PERIOD_S = 0.25
# A stream may stall alone, so that one stream does not represent the group.
MIN_STREAMS = 2
# Without that many streams for this long the pauses are not measured.
UNMEASURED_S = 1.0
# Time in which the limit returns from 1 to the slots if nothing is measured.
RETURN_S = 5.0
# Part of the slots that a period adds if passes take no time at all. It is
# large enough for a return from 1 to the slots within two seconds when passes
# take half of the target.
RAISE_SHARE = 0.3
# A decrease in one period is at most to this part of the limit.
MIN_RATIO = 0.5
# Longer pauses, in multiples of the objective, are interruptions, such as the
# formation of a group that lost a rank. Fewer requests would not avoid them.
INTERRUPTION_FACTOR = 4.0
MIN_LIMIT = 1.0
# A limit that costs more than this part of the throughput is not used.
MIN_THROUGHPUT = 0.8
# Then it isn't lowered again for this long: a slow rank or an uneven expert
# map lasts for seconds, and each try costs throughput.
ABANDONED_S = 3.0


@attrs.define
class ConcurrencyLimiter:
    """The limit of requests in flight at each upstream of one service.

    Times are of a monotonic clock, in seconds.

    Attributes:
        slots: requests that the engine runs at once on one upstream.
        objective_s: longest pause that is on time; 0 if there is none.
        step_s: part of a token step that doesn't depend on the requests.
        step_per_request_s: part that each request adds; 0 if not stated, and
            then a step grows in proportion to the requests.
        limit: the present limit, from 1 to ``slots``; may be fractional.
        pause_s: the pause that the newest evaluation found; 0 before it.
    """

    slots: int
    objective_s: float
    step_s: float = 0.0
    step_per_request_s: float = 0.0
    limit: float = attrs.field(
        default=attrs.Factory(lambda self: float(self.slots), takes_self=True)
    )
    pause_s: float = 0.0
    _longest: dict[int, float] = attrs.field(factory=dict)
    _evaluated_at: float | None = None
    _measured_at: float | None = None
    _settled_at: float = 0.0

    def configure(
        self,
        slots: int,
        objective_s: float,
        step_s: float = 0.0,
        step_per_request_s: float = 0.0,
    ) -> None:
        """Apply a changed configuration."""
        self.step_s = step_s
        self.step_per_request_s = step_per_request_s
        if slots != self.slots:
            self.limit = min(self.limit, float(slots))
        if not objective_s:
            self.limit = float(slots)
            self._longest.clear()
        self.slots = slots
        self.objective_s = objective_s

    def record_pause(self, stream: int, pause_s: float) -> None:
        """Record a pause between two events of a stream.

        Args:
            stream: number that is unique among the streams in progress.
        """
        if not self.objective_s:
            return
        if pause_s > INTERRUPTION_FACTOR * self.objective_s:
            return
        self._longest[stream] = max(self._longest.get(stream, 0.0), pause_s)

    def update(self, now: float, hold_s: float) -> bool:
        """Evaluate the pauses once a period; return whether it was due.

        Args:
            hold_s: mean time that a request occupies a slot.
        """
        if self._evaluated_at is None:
            self._evaluated_at = self._measured_at = now
            return False
        elapsed_s = now - self._evaluated_at
        if not self.objective_s or elapsed_s < PERIOD_S:
            return False
        if len(self._longest) >= MIN_STREAMS:
            # The lower median: half of the streams had such a pause.
            self.pause_s = statistics.median_low(self._longest.values())
            self._longest.clear()
            self._measured_at = now
            self._adapt(now, hold_s)
        elif now - self._measured_at >= UNMEASURED_S:
            self.pause_s = 0.0
            self._longest.clear()
            step = (self.slots - MIN_LIMIT) * elapsed_s / RETURN_S
            self.limit = min(float(self.slots), self.limit + step)
        self._evaluated_at = now
        return True

    def _adapt(self, now: float, hold_s: float) -> None:
        target_s = TARGET_SHARE * self.objective_s
        if now < self._settled_at:
            return
        if self.pause_s <= target_s:
            step = RAISE_SHARE * self.slots * (1 - self.pause_s / target_s)
            self.limit = min(float(self.slots), self.limit + step)
            return
        if self.pause_s <= LOWER_FROM_SHARE * self.objective_s:
            return
        wanted = self._limit_for(target_s)
        if self._throughput(wanted) < MIN_THROUGHPUT:
            self.limit = float(self.slots)
            self._settled_at = now + ABANDONED_S
            return
        lowered = max(wanted, MIN_LIMIT, self.limit * MIN_RATIO)
        # Requests in progress finish: their number falls to the new limit
        # only after this part of the time that they take.
        self._settled_at = now + hold_s * (1 - lowered / self.limit)
        self.limit = lowered

    def _limit_for(self, target_s: float) -> float:
        """Return the limit at which pauses are expected to take a time."""
        if not self.step_per_request_s:
            return self.limit * target_s / self.pause_s
        step_s = self.step_s + self.limit * self.step_per_request_s
        wanted_s = step_s * target_s / self.pause_s
        return max(0.0, (wanted_s - self.step_s) / self.step_per_request_s)

    def _throughput(self, limit: float) -> float:
        """Return the throughput at a limit as a part of that at all slots."""
        if not self.step_per_request_s:
            # Steps that grow with the requests leave the throughput as it is.
            return 1.0
        full_s = self.step_s + self.slots * self.step_per_request_s
        limited_s = self.step_s + limit * self.step_per_request_s
        return (limit / limited_s) / (self.slots / full_s)
