"""Circuit breaker of one upstream.

A tripped breaker blocks calls for a pause, then lets one call through as a
probe. The pause doubles with each probe that fails.
"""

import functools

import attrs

from cassiashift_core import charts


@attrs.define(slots=False)
class Breaker:
    """Circuit breaker with the state chart in ``breaker.toml``.

    Attributes:
        max_reopen_s: longest pause.
        now: time of the latest event, in seconds.
    """

    max_reopen_s: float
    now: float = attrs.field(default=0.0, init=False)
    _first_pause_s: float = attrs.field(default=0.0, init=False)
    _pause_s: float = attrs.field(default=0.0, init=False)
    _open_until: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        """Bind the chart, which adds ``state`` and the event methods."""
        _chart().bind(self)

    def reset(self) -> None:
        """Clear the length of the pause, on entry to the closed state."""
        self._pause_s = 0.0

    def pause(self) -> None:
        """Start a pause, longer each time, on entry to the open state."""
        doubled = max(self._first_pause_s, 2 * self._pause_s)
        self._pause_s = min(self.max_reopen_s, doubled)
        self._open_until = self.now + self._pause_s

    def paused_long_enough(self) -> bool:
        """Return whether the pause is over; guard of the probe event."""
        return self.now >= self._open_until

    def allows(self, in_flight: int, now: float) -> bool:
        """Return whether a call may be sent now.

        Half open, it allows a call only while none is in flight.
        """
        self.now = now
        if self.state == 'closed':
            return True
        if self.state == 'open':
            return self.paused_long_enough()
        return in_flight == 0

    def record_send(self, now: float) -> None:
        """Record a sent call; the first one after a pause is the probe."""
        self.now = now
        if self.state == 'open':
            self.probe()

    def record_failure(self, now: float, first_pause_s: float) -> None:
        """Open the breaker after a failure.

        The first pause lasts ``first_pause_s``; each probe that fails
        doubles it, up to ``max_reopen_s``.
        """
        self.now = now
        self._first_pause_s = first_pause_s
        self.trip()

    def record_success(self, now: float) -> None:
        """Close the breaker after a successful probe."""
        self.now = now
        self.recover()


@functools.cache
def _chart() -> charts.Chart:
    return charts.load(__package__, 'breaker.toml', Breaker)
