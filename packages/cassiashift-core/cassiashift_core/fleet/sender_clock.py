"""Tells when a hello was sent, without a clock that hosts share.

Hellos may arrive long after they were sent, and after their sender has ended:
the kernel delivers what a partition held up, and a process that was stopped
reads what waited for it. Each hello states for how long its sender has been
running. The hello that was the fastest shows how this time relates to the
local clock; the time of day, which may step, isn't used.
"""

import attrs

# Clocks of hosts differ by less than this; the fastest hello may have been
# long ago.
DRIFT = 0.001
# Hellos in step with the local clock come from a running process. What was
# held up arrives faster than it was sent. A loop that is late by less than
# this doesn't matter; hellos are at least 0.4 s apart.
STEP_S = 0.25
# Callers may be sent to an entry whose hellos were in step for so long.
CONFIRM_S = 0.3
# A host that was suspended states too short a time ever after. Its hellos are
# taken again once so many were in step, for so long. Two of the rare hellos
# may be held up for the same time by chance.
REBASE_S = 2.0
REBASE_COUNT = 4


@attrs.define
class SenderClock:
    """The clock of one process, as its hellos show it.

    Attributes:
        offset_s: local time at which the process started, as seen by the
            fastest hello.
        is_confirmed: two hellos were in step with the local clock.
        heard_at: when the last one arrived.
    """

    offset_s: float
    heard_at: float
    is_confirmed: bool = False
    _step_at: float = 0.0
    _step_uptime_s: float = 0.0
    _in_step: int = 0

    @classmethod
    def from_hello(cls, uptime_s: float, now: float) -> 'SenderClock':
        """Return the clock that the first hello of a process shows."""
        return cls(now - uptime_s, now, False, now, uptime_s)

    def sent_at(self, uptime_s: float, now: float) -> float:
        """Return the local time at which a hello was sent, and learn by it.

        Args:
            uptime_s: how long its sender had been running.
        """
        sample = now - uptime_s
        drift_s = DRIFT * (now - self.heard_at)
        self.offset_s = min(sample, self.offset_s + drift_s)
        self.heard_at = now
        passed_s = now - self._step_at
        if abs(passed_s - (uptime_s - self._step_uptime_s)) > STEP_S:
            self._step_at, self._step_uptime_s = now, uptime_s
            self._in_step, passed_s = 0, 0.0
        self._in_step += 1
        if passed_s >= REBASE_S and self._in_step > REBASE_COUNT:
            self.offset_s = sample
        # A late hello doesn't confirm that its sender still runs.
        is_late = sample - self.offset_s > STEP_S
        if passed_s >= CONFIRM_S and not is_late:
            self.is_confirmed = True
        return uptime_s + self.offset_s
