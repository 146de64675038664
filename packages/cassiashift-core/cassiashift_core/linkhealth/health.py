"""The state of one link, judged by the answers to its probes."""

import enum
import math

import attrs

from cassiashift_core import delays
from cassiashift_core.linkhealth import effects

# A peer's event loop may be busy for some tens of milliseconds.
MIN_TIMEOUT_S = 0.15
MAX_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 0.2
# A peer that has never answered may be of a release that knows no probes.
UNANSWERED_INTERVAL_S = 5.0
DEAD_AFTER_S = 4.0
# A connection that was slow, not silent, may carry an answer for long.
KEEP_ANSWERING_S = 60.0
MAX_KEPT = 8


class State(enum.Enum):
    """What is known of a link.

    DOUBTED: an answer is late, and a second connection is tried.
    REPLACED: the second one answered first; the older one is still read.
    """

    SOUND = 'sound'
    DOUBTED = 'doubted'
    REPLACED = 'replaced'
    DEAD = 'dead'


@attrs.frozen
class _Probe:
    token: int
    sent_at: float


@attrs.define
class LinkHealth:
    """Probes a link while messages are sent over it.

    Only a link whose peer has answered a probe before is judged. Times are of
    a monotonic clock, in seconds.
    """

    round_trips: delays.DelayEstimate = attrs.field(
        factory=lambda: delays.DelayEstimate(MIN_TIMEOUT_S, MAX_TIMEOUT_S)
    )
    _current: int = 0
    _spare: int | None = None
    _last_connection: int = 0
    _kept_until: dict[int, float] = attrs.field(factory=dict)
    _probes: dict[int, _Probe] = attrs.field(factory=dict)
    _last_token: int = 0
    _probed_at: float = -math.inf
    _is_unprobed: bool = False
    _has_answered: bool = False
    _is_dead: bool = False

    @property
    def state(self) -> State:
        """Return the state of the link."""
        if self._is_dead:
            return State.DEAD
        if self._spare is not None:
            return State.DOUBTED
        return State.REPLACED if self._kept_until else State.SOUND

    @property
    def next_tick(self) -> float | None:
        """Return when ``tick`` is due; None while nothing is awaited."""
        times = list(self._kept_until.values())
        probe = self._probes.get(self._current)
        if probe is None:
            if self._is_unprobed:
                times.append(self._next_probe_at)
        elif self._spare is not None:
            times.append(probe.sent_at + DEAD_AFTER_S)
            times.append(self._late_at(self._spare))
        elif self._has_answered:
            times.append(self._late_at(self._current))
        return min(times, default=None)

    def record_sent(self, now: float) -> list[effects.Effect]:
        """Record that a message was sent; return the probe behind it."""
        if now < self._next_probe_at or self._current in self._probes:
            self._is_unprobed = True
            return []
        return [self._probe(self._current, now)]

    def record_answer(
        self, connection: int, token: int, now: float
    ) -> list[effects.Effect]:
        """Record the answer to a probe; others are ignored."""
        probe = self._probes.get(connection)
        if self._is_dead or probe is None or probe.token != token:
            return []
        del self._probes[connection]
        self._has_answered = True
        self.round_trips.record(now - probe.sent_at)
        if connection == self._current:
            return self._close_spare()
        if connection == self._spare:
            return self._switch(now)
        self.round_trips.record_false_alarm()
        self._kept_until[connection] = now + KEEP_ANSWERING_S
        return []

    def tick(self, now: float) -> list[effects.Effect]:
        """Judge what is late by now.

        Answers that have arrived must have been recorded before.
        """
        if self._is_dead:
            return []
        due = self._close_kept(now)
        probe = self._probes.get(self._current)
        if probe is None:
            if self._is_unprobed and now >= self._next_probe_at:
                due.append(self._probe(self._current, now))
        elif self._spare is not None:
            due.extend(self._try_again(probe, now))
        elif self._has_answered and now >= self._late_at(self._current):
            due.extend(self._open_spare(now))
        return due

    @property
    def _next_probe_at(self) -> float:
        if self._has_answered:
            return self._probed_at + PROBE_INTERVAL_S
        return self._probed_at + UNANSWERED_INTERVAL_S

    def _late_at(self, connection: int) -> float:
        return self._probes[connection].sent_at + self.round_trips.timeout_s

    def _probe(self, connection: int, now: float) -> effects.SendProbe:
        self._last_token += 1
        self._probes[connection] = _Probe(self._last_token, now)
        if connection == self._current:
            self._probed_at = now
            self._is_unprobed = False
        return effects.SendProbe(connection, self._last_token)

    def _open_spare(self, now: float) -> list[effects.Effect]:
        self.round_trips.back_off()
        self._last_connection += 1
        self._spare = self._last_connection
        return [effects.Open(self._spare), self._probe(self._spare, now)]

    def _close_spare(self) -> list[effects.Effect]:
        if self._spare is None:
            return []
        closed, self._spare = self._spare, None
        self._probes.pop(closed, None)
        return [effects.Close(closed)]

    def _try_again(self, probe: _Probe, now: float) -> list[effects.Effect]:
        """Give up, or replace a second connection that is late, too."""
        if now >= probe.sent_at + DEAD_AFTER_S:
            self._is_dead = True
            return [effects.GiveUp()]
        if now < self._late_at(self._spare):
            return []
        return [*self._close_spare(), *self._open_spare(now)]

    def _switch(self, now: float) -> list[effects.Effect]:
        """Send over the second connection; keep reading the first one."""
        self._kept_until[self._current] = (
            self._probes[self._current].sent_at + DEAD_AFTER_S
        )
        self._current, self._spare = self._spare, None
        self._probed_at = now
        self._is_unprobed = False
        switch = [effects.Switch(self._current)]
        while len(self._kept_until) > MAX_KEPT:
            switch.append(self._close(next(iter(self._kept_until))))
        return switch

    def _close_kept(self, now: float) -> list[effects.Effect]:
        ended = [
            connection
            for connection, until in self._kept_until.items()
            if until <= now
        ]
        return [self._close(connection) for connection in ended]

    def _close(self, connection: int) -> effects.Close:
        del self._kept_until[connection]
        self._probes.pop(connection, None)
        return effects.Close(connection)
