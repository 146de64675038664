"""Base class of the drains of entries and upstreams."""

import functools

import attrs

from cassiashift_core.draining import model


@attrs.define(slots=False)
class DrainMachine:
    """Tracks calls in progress and collects the effects of a chart.

    The chart adds ``state`` and the methods ``stop``, ``tick`` and, if it
    has that event, ``resume``.

    Attributes:
        in_flight: calls in progress or waiting.
    """

    cfg: model.DrainConfig
    in_flight: int = attrs.field(default=0, init=False)
    _now: float = attrs.field(default=0.0, init=False)
    _idle_since: float | None = attrs.field(default=None, init=False)
    _effects: list[model.DrainEffect] = attrs.field(factory=list, init=False)

    def handle(
        self, event: model.DrainEvent, now: float
    ) -> list[model.DrainEffect]:
        """Apply an event and a tick; return the requested effects."""
        self._now = now
        if self._idle_since is None and not self.in_flight:
            self._idle_since = now
        self._apply(event)
        self.tick()
        effects = self._effects
        self._effects = []
        return effects

    @functools.singledispatchmethod
    def _apply(self, event: model.DrainEvent) -> None:
        """Apply one event to the chart or the number of calls."""
        raise TypeError(event)

    @_apply.register
    def _(self, event: model.StopRequested) -> None:
        self.stop()

    @_apply.register
    def _(self, event: model.Resume) -> None:
        resume = getattr(self, 'resume', None)
        if resume is not None:
            resume()

    @_apply.register
    def _(self, event: model.InFlightChanged) -> None:
        self.in_flight = event.count
        if event.count:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = self._now

    @_apply.register
    def _(self, event: model.Tick) -> None:
        pass

    def quiet(self) -> bool:
        """Return whether no call has been in progress for ``quiet_s``."""
        if self.in_flight or self._idle_since is None:
            return False
        return self._now - self._idle_since >= self.cfg.quiet_s

    def leave_directory(self) -> None:
        """Request removal from every directory."""
        self._effects.append(model.LeaveDirectory())

    def close_idle_connections(self) -> None:
        """Request that idle connections are closed."""
        self._effects.append(model.CloseIdleConnections())

    def refuse_new_calls(self) -> None:
        """Request that calls arriving from now on are refused."""
        self._effects.append(model.RefuseNewCalls())

    def end(self) -> None:
        """Request the end of the process."""
        self._effects.append(model.End())
