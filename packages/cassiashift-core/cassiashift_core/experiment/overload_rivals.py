"""Known ways of overload control, to compare the admission with."""

import math
import random

import attrs

from cassiashift_core.capacity import limiter
from cassiashift_core.experiment import overload_model

# Gradient: the delay may exceed the lowest one by this factor.
GRADIENT_TOLERANCE = 1.5
GRADIENT_WEIGHT = 0.2
# Growth of the lowest delay in a period, so that an old one is forgotten.
GRADIENT_FORGETS = 1.002
# Additive raise and multiplicative decrease.
AIMD_STEP = 0.25
AIMD_FACTOR = 0.7
# DAGOR: decrease of admitted requests under overload, and increase without it,
# as in the paper. Its queueing time of 20 ms is for services with shorter
# requests; here it is half of the objective for the first event.
DAGOR_WINDOW_S = 0.5
DAGOR_DECREASE = 0.05
DAGOR_INCREASE = 0.01
DAGOR_WAIT_S = 0.25
DAGOR_LEVELS = 16


@attrs.define
class GradientLimiter(limiter.ConcurrencyLimiter):
    """The limit follows the ratio of the lowest pause to the present one."""

    lowest_s: float = math.inf

    def _adapt(self, now: float, hold_s: float) -> None:
        pause_s = max(self.pause_s, 1e-4)
        self.lowest_s = min(self.lowest_s * GRADIENT_FORGETS, pause_s)
        gradient = GRADIENT_TOLERANCE * self.lowest_s / pause_s
        wanted = self.limit * min(1.0, max(0.5, gradient))
        wanted += math.sqrt(self.limit) / 2
        limit = self.limit + GRADIENT_WEIGHT * (wanted - self.limit)
        self.limit = min(float(self.slots), max(limiter.MIN_LIMIT, limit))


@attrs.define
class AimdLimiter(limiter.ConcurrencyLimiter):
    """Additive raise below the target, multiplicative decrease above it."""

    def _adapt(self, now: float, hold_s: float) -> None:
        limit = self.limit + AIMD_STEP
        if self.pause_s > limiter.TARGET_SHARE * self.objective_s:
            limit = self.limit * AIMD_FACTOR
        self.limit = min(float(self.slots), max(limiter.MIN_LIMIT, limit))


@attrs.define
class Dagor:
    """Admits requests up to a level of urgency and caller.

    Zhou, Chen et al., "Overload Control for Scaling WeChat Microservices",
    SoCC 2018. The level is lowered while requests wait long for their first
    events.
    """

    level: int = 3 * DAGOR_LEVELS
    _arrived: dict[int, int] = attrs.field(factory=dict)
    _admitted: int = 0
    _ends_at: float = DAGOR_WINDOW_S

    def admits(self, call: overload_model.OverloadCall) -> bool:
        """Return whether a call is admitted."""
        caller = random.Random(call.id).randrange(DAGOR_LEVELS)
        level = call.priority * DAGOR_LEVELS + caller
        self._arrived[level] = self._arrived.get(level, 0) + 1
        is_admitted = level <= self.level
        self._admitted += is_admitted
        return is_admitted

    def update(self, now: float, first_event_s: float) -> None:
        """Adapt the level at the end of a window."""
        if now < self._ends_at:
            return
        self._ends_at = now + DAGOR_WINDOW_S
        if first_event_s > DAGOR_WAIT_S:
            self._lower((1 - DAGOR_DECREASE) * self._admitted)
        else:
            total = sum(self._arrived.values())
            self._raise(self._admitted + DAGOR_INCREASE * total)
        self._arrived.clear()
        self._admitted = 0

    def _lower(self, expected: float) -> None:
        admitted = self._admitted
        while self.level > 0 and admitted > expected:
            admitted -= self._arrived.get(self.level, 0)
            self.level -= 1

    def _raise(self, expected: float) -> None:
        admitted = self._admitted
        while self.level < 3 * DAGOR_LEVELS and admitted < expected:
            self.level += 1
            admitted += self._arrived.get(self.level, 0)
        self.level = min(3 * DAGOR_LEVELS, self.level + 1)
