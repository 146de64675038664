"""Time that never runs backwards, derived from readings of a clock."""


class Clock:
    """Non-decreasing time that detects steps of the underlying clock.

    A forward gap may be a step of the clock or a pause of the process. In
    both cases the replica's information about others is out of date.
    """

    def __init__(self, step_s: float) -> None:
        """Treat a gap of more than ``step_s`` seconds as a step."""
        self._step_s = step_s
        self._offset_s = 0.0
        self._last_s: float | None = None

    def read(self, reading_s: float) -> tuple[float, bool]:
        """Return the time in seconds, and whether the clock has stepped.

        The state of the clock is not changed.
        """
        now = reading_s + self._offset_s
        last = now if self._last_s is None else self._last_s
        if now < last:
            return last, True
        return now, now - last > self._step_s

    def advance(self, reading_s: float) -> tuple[float, bool]:
        """Return the result of ``read`` and record it as the latest time."""
        now, stepped = self.read(reading_s)
        self._offset_s = max(self._offset_s, now - reading_s)
        self._last_s = now
        return now, stepped
