"""Chooses how many passes ahead of the newest one a switch holds a pass.

Ranks are armed until the group gets to the held pass. If that takes longer,
the group stands still, which is a pause of all its streams. A pass further
ahead delays the new map, and passes are longest where it is needed most: a
slow rank may lengthen them tenfold.
"""

import math

import attrs

from cassiashift_core.rankmaps import holding

# Assumed before the first switch was timed.
INITIAL_ARMING_S = 0.2
# The time varies from switch to switch.
MARGIN = 1.5
# On average half of the newest pass is over when the held one is chosen.
PASS_OVER = 0.5
# Bounds the delay if passes become much longer while ranks are armed.
MAX_STEPS = 10
# Weight of the former time when a switch took less.
DECAY = 0.7
# Shortest time over which passes are counted.
WINDOW_S = 0.3
# Ranks with requests report every 0.5 s; without reports of any, the group is
# idle and makes no passes.
IDLE_S = 0.6


@attrs.define
class SwitchLead:
    """The lead of the next switch, from times of passes and earlier switches.

    Attributes:
        arming_s: expected time from the order to hold a pass until all ranks
            are armed.
        pass_s: length of the latest passes; 0 before any was counted.
    """

    arming_s: float = INITIAL_ARMING_S
    pass_s: float = 0.0
    _step: int = 0
    _since: float = 0.0
    _reported_at: float = -math.inf

    def record_report(self, step: int, now: float) -> None:
        """Record the newest pass that a rank with requests has reported."""
        is_anew = now - self._reported_at > IDLE_S
        self._reported_at = now
        if is_anew:
            self._step, self._since = step, now
        elif step > self._step and now - self._since >= WINDOW_S:
            self.pass_s = (now - self._since) / (step - self._step)
            self._step, self._since = step, now

    def record_arming(self, spent_s: float) -> None:
        """Record how long a switch took until all ranks were armed."""
        decayed_s = DECAY * self.arming_s + (1 - DECAY) * spent_s
        self.arming_s = max(spent_s, decayed_s)

    def restart(self) -> None:
        """Count passes anew, as in a new formation of the group."""
        self._reported_at = -math.inf

    def steps(self) -> int:
        """Return the lead in passes."""
        if not self.pass_s:
            return holding.LEAD_STEPS
        wanted = math.ceil(PASS_OVER + MARGIN * self.arming_s / self.pass_s)
        return min(MAX_STEPS, wanted)
