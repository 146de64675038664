"""Circuit breaker of one upstream.

After it tripped, the breaker pauses, then lets one call through as a
probe. The pause doubles with each probe that fails.
"""

import functools

import attrs

from cassiashift_core import charts


@attrs.define(slots=False)
class Breaker:
    """Breaker that runs the chart in ``breaker.toml``.

    Attributes:
        max_reopen_s: longest pause.
    """

    max_reopen_s: float
    now: float = attrs.field(default=0.0, init=False)
    _first_pause_s: float = attrs.field(default=0.0, init=False)
    _pause_s: float = attrs.field(default=0.0, init=False)
    _open_until: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        """Bind the chart."""
        _chart().bind(self)

    def reset(self) -> None:
        """Forget the pauses, on entry of the closed state."""
        self._pause_s = 0.0

    def pause(self) -> None:
        """Start a pause, on entry of the open state."""
        doubled = max(self._first_pause_s, 2 * self._pause_s)
        self._pause_s = min(self.max_reopen_s, doubled)
        self._open_until = self.now + self._pause_s

    def paused_long_enough(self) -> bool:
        """Tell whether the pause is over."""
        return self.now >= self._open_until

    def allows(self, in_flight: int, now: float) -> bool:
        """Tell whether a call may be sent now."""
        self.now = now
        if self.state == 'closed':
            return True
        if self.state == 'open':
            return self.paused_long_enough()
        return in_flight == 0

    def sent(self, now: float) -> None:
        """Note that a call is sent; the first after a pause probes."""
        self.now = now
        if self.state == 'open':
            self.probe()

    def failed(self, now: float, first_pause_s: float) -> None:
        """Open the breaker; the first pause is given, later ones double."""
        self.now = now
        self._first_pause_s = first_pause_s
        self.trip()

    def succeeded(self, now: float) -> None:
        """Close the breaker after a probe that went well."""
        self.now = now
        self.recover()


@functools.cache
def _chart() -> charts.Chart:
    return charts.load(__package__, 'breaker.toml', Breaker)
