"""Turns readings of a clock into time that never runs backwards."""


class Clock:
    """A clock that notices steps.

    A forward gap may be a step of the clock or a pause of the process; both
    make what the replica believes about others stale.
    """

    def __init__(self, step_s: float) -> None:
        """Count a gap above ``step_s`` seconds as a step."""
        self._step_s = step_s
        self._offset_s = 0.0
        self._last_s: float | None = None

    def read(self, reading_s: float) -> tuple[float, bool]:
        """Return the time in seconds and whether the clock stepped."""
        now = reading_s + self._offset_s
        last = now if self._last_s is None else self._last_s
        if now < last:
            return last, True
        return now, now - last > self._step_s

    def advance(self, reading_s: float) -> tuple[float, bool]:
        """Do as ``read`` and take the result as the latest time."""
        now, stepped = self.read(reading_s)
        self._offset_s = max(self._offset_s, now - reading_s)
        self._last_s = now
        return now, stepped
