"""A link to a simulated peer whose connections are slow or fall silent."""

import heapq
import itertools
import math
import random

import attrs

from cassiashift_core import linkhealth


@attrs.define(eq=False)
class SimulatedLink:
    """Plays a link in simulated time, with one event after another.

    Attributes:
        sends_every_s: pause between two messages.
        round_trip_s: draws a round trip.
        silent_from: time from which the connections opened before it carry
            nothing.
        is_reachable: whether a peer answers at a time.
        now: simulated time in seconds.
        opened_at: time of opening by connection.
        closed: connections that were closed.
        switched_at: times at which another connection replaced the one used.
        given_up_at: time at which the link was given up, None if never.
    """

    seed: int
    sends_every_s: float = 0.1
    round_trip_s: object = lambda rng: rng.uniform(0.001, 0.004)
    silent_from: float = math.inf
    is_reachable: object = lambda now: True
    answers_probes: bool = True
    now: float = 0.0
    probe_count: int = 0
    opened_at: dict = attrs.field(factory=lambda: {0: 0.0})
    answered_at: dict = attrs.field(factory=dict)
    closed: dict = attrs.field(factory=dict)
    switched_at: list = attrs.field(factory=list)
    given_up_at: float | None = None
    health: linkhealth.LinkHealth = attrs.field(factory=linkhealth.LinkHealth)
    rng: random.Random = attrs.field(init=False)
    _queue: list = attrs.field(factory=list)
    _order: object = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)

    def play(self, until):
        """Play until a time or until the link is given up."""
        self._plan(self.now, self._send)
        while self._queue and self.given_up_at is None:
            next_tick = self.health.next_tick
            if next_tick is not None and next_tick <= self._queue[0][0]:
                self.now = max(self.now, next_tick)
                if self.now > until:
                    return
                self._carry_out(self.health.tick(self.now))
                continue
            at, _, action, arguments = heapq.heappop(self._queue)
            if at > until:
                return
            self.now = at
            action(*arguments)

    def _plan(self, at, action, *arguments):
        heapq.heappush(self._queue, (at, next(self._order), action, arguments))

    def _send(self):
        self._carry_out(self.health.record_sent(self.now))
        pause_s = self.sends_every_s * self.rng.uniform(0.5, 1.5)
        self._plan(self.now + pause_s, self._send)

    def _answer(self, connection, token):
        if connection not in self.closed:
            self.answered_at[connection] = self.now
            self._carry_out(
                self.health.record_answer(connection, token, self.now)
            )

    def _carry_out(self, effects):
        for effect in effects:
            match effect:
                case linkhealth.SendProbe():
                    self._send_probe(effect)
                case linkhealth.Open():
                    self.opened_at[effect.connection] = self.now
                case linkhealth.Close():
                    self.closed[effect.connection] = self.now
                case linkhealth.Switch():
                    self.switched_at.append(self.now)
                case linkhealth.GiveUp():
                    self.given_up_at = self.now

    def _send_probe(self, probe):
        self.probe_count += 1
        is_silent = (
            self.now >= self.silent_from
            and self.opened_at[probe.connection] < self.silent_from
        )
        if (
            not self.answers_probes
            or is_silent
            or not self.is_reachable(self.now)
        ):
            return
        arrives_at = self.now + self.round_trip_s(self.rng)
        if self.opened_at[probe.connection] < self.silent_from <= arrives_at:
            return
        self._plan(arrives_at, self._answer, probe.connection, probe.token)
