"""Hybrid logical clocks.

Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks",
OPODIS 2014.
"""

import attrs

MAX_DRIFT_US = 60_000_000


@attrs.frozen(order=True)
class Timestamp:
    """A reading of a hybrid logical clock.

    Attributes:
        wall_us: microseconds since 1970.
        logical: counts the readings with the same ``wall_us``.
    """

    wall_us: int = 0
    logical: int = 0

    def __str__(self) -> str:
        """Return the seconds since 1970 and the logical counter."""
        seconds, micros = divmod(self.wall_us, 1_000_000)
        return f'{seconds}.{micros:06d}+{self.logical}'


@attrs.define
class Clock:
    """The hybrid logical clock of one process.

    Attributes:
        last: the latest reading; each reading is above the one before.
        drift_rejections: received readings that were more than
            ``MAX_DRIFT_US`` ahead and therefore ignored.
    """

    last: Timestamp = Timestamp()
    drift_rejections: int = 0

    def tick(self, wall_us: int) -> Timestamp:
        """Return the reading for a local event or a send."""
        if wall_us > self.last.wall_us:
            self.last = Timestamp(wall_us)
        else:
            self.last = Timestamp(self.last.wall_us, self.last.logical + 1)
        return self.last

    def receive(self, remote: Timestamp, wall_us: int) -> Timestamp:
        """Return the reading for a receipt, above the sender's reading.

        A sender's reading that is more than ``MAX_DRIFT_US`` ahead of this
        host's wall time is ignored and counted in ``drift_rejections``.
        """
        if remote.wall_us - wall_us > MAX_DRIFT_US:
            self.drift_rejections += 1
            return self.tick(wall_us)
        if remote > self.last:
            self.last = remote
        return self.tick(wall_us)
