"""Recent demand for each expert, from increments of the choice counters."""

import attrs

# Expert popularity shifts every few seconds. About half a second of history
# adapts quickly and still holds some thousand choices for each set.
HALF_LIFE_S = 0.4


@attrs.define
class Demand:
    """Exponentially decaying sums of choices, for each set and expert.

    Attributes:
        loads: choices for each set and expert, decayed to the last update.
    """

    sets: int
    experts: int
    loads: list[list[float]] = attrs.field(init=False)
    _updated_at: float | None = None

    def __attrs_post_init__(self) -> None:
        """Start without any choice."""
        self.loads = [[0.0] * self.experts for _ in range(self.sets)]

    def add(self, counts: list[int], now: float) -> None:
        """Add a rank's new choices, if their length is sets x experts."""
        if len(counts) != self.sets * self.experts:
            return
        self._decay(now)
        for number, row in enumerate(self.loads):
            start = number * self.experts
            part = counts[start : start + self.experts]
            self.loads[number] = [
                old + new for old, new in zip(row, part, strict=True)
            ]

    @property
    def total(self) -> float:
        """Return the decayed choices of all sets and experts."""
        return sum(map(sum, self.loads))

    def fits(self, sets: int, experts: int) -> bool:
        """Return whether the loads are those of a group of this shape."""
        return (self.sets, self.experts) == (sets, experts)

    def skip_time(self) -> None:
        """Do not decay for the time between the last and the next choices.

        While a group does not run, its demand does not change.
        """
        self._updated_at = None

    def _decay(self, now: float) -> None:
        if self._updated_at is not None and now > self._updated_at:
            factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
            self.loads = [
                [value * factor for value in row] for row in self.loads
            ]
        self._updated_at = (
            now if self._updated_at is None else max(now, self._updated_at)
        )
