"""Judges the silence of a stream by the streams of its service.

A stream has stalled if it is silent for long while others go on. If all stand
still, as ranks in lock-step do, the cause lies behind all of them, and another
upstream would not help; only the time since they move again counts.
"""

import math

import attrs

from cassiashift_core import delays

# Limits of the time-out between two events.
MIN_PAUSE_S = 0.6
MAX_PAUSE_S = 1.2
# Limits of the time-out before the first event, which has a queue and the
# reading of the prompt before it.
MIN_FIRST_S = 0.8
MAX_FIRST_S = 3.0
# Without an event for this long, a service stands still.
STANDS_STILL_S = 0.3


@attrs.define(eq=False)
class Watch:
    """One send of a stream.

    Attributes:
        since: time of its newest event, or of the send.
    """

    service: str
    since: float
    has_begun: bool = False


@attrs.define
class _Service:
    """The events of all streams of one service.

    Attributes:
        moves_since: time since which events come without a long pause.
    """

    firsts: delays.DelayEstimate = attrs.field(
        factory=lambda: delays.DelayEstimate(MIN_FIRST_S, MAX_FIRST_S)
    )
    pauses: delays.DelayEstimate = attrs.field(
        factory=lambda: delays.DelayEstimate(MIN_PAUSE_S, MAX_PAUSE_S)
    )
    newest_event_at: float = -math.inf
    moves_since: float = 0.0

    def estimate(self, watch: Watch) -> delays.DelayEstimate:
        """Return the estimate of the delay that a stream is in."""
        return self.pauses if watch.has_begun else self.firsts


@attrs.define
class StallJudge:
    """What one entry knows of the pauses of its streams.

    Times are of a monotonic clock, in seconds.
    """

    _services: dict[str, _Service] = attrs.field(factory=dict)

    def begin(self, service: str, now: float) -> Watch:
        """Return a watch over a stream that is sent now."""
        return Watch(service, now)

    def record_events(self, watch: Watch, now: float) -> None:
        """Record that events of a stream have arrived."""
        service = self._services.setdefault(watch.service, _Service())
        if now - service.newest_event_at > STANDS_STILL_S:
            service.moves_since = now
        service.newest_event_at = now
        service.estimate(watch).record(now - watch.since)
        watch.since = now
        watch.has_begun = True

    def is_stalled(self, watch: Watch, now: float) -> bool:
        """Return whether another upstream should continue a stream."""
        service = self._services.get(watch.service)
        if service is None or now - service.newest_event_at > STANDS_STILL_S:
            return False
        silent_s = now - max(watch.since, service.moves_since)
        return silent_s >= service.estimate(watch).timeout_s
