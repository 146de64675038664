"""The heads that are being received, and which of them have to end."""

from collections.abc import Hashable
import enum

import attrs

from cassiashift_core.heads import limits as head_limits

# A busy process reads the end of a head this late.
LATE_READ_S = 1.0


class Excess(enum.Enum):
    """Why a connection is ended before its head is complete."""

    LARGE = 'head_too_large'
    SLOW = 'head_too_slow'
    CROWD = 'too_many_heads'
    CONNECTIONS = 'too_many_connections'


@attrs.define
class _Head:
    """A head of which a part has been received."""

    began_at: float
    size: int


@attrs.define(eq=False)
class OpenHeads:
    """The connections of a listener whose next head is not complete.

    Times are of a monotonic clock, in seconds.

    Attributes:
        total_bytes: received of all these heads.
    """

    total_bytes: int = 0
    # Oldest first.
    _heads: dict[Hashable, _Head] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of heads that are not complete."""
        return len(self._heads)

    def record(self, key: Hashable, size: int, now: float) -> None:
        """Record how much of a connection's next head has been received."""
        head = self._heads.setdefault(key, _Head(now, 0))
        self.total_bytes += size - head.size
        head.size = size

    def end(self, key: Hashable) -> None:
        """Record that a head is complete or its connection ends."""
        head = self._heads.pop(key, None)
        if head is not None:
            self.total_bytes -= head.size

    def find_excess(
        self, limits: head_limits.HeadLimits, now: float
    ) -> list[tuple[Hashable, Excess]]:
        """Return the connections that have to end, and why.

        Of a crowd the largest heads go first: those of ordinary clients are
        small, and complete with their first bytes.
        """
        latest = now - limits.head_s - LATE_READ_S
        found = [
            (key, Excess.SLOW)
            for key, head in self._heads.items()
            if head.began_at < latest
        ]
        over = self.total_bytes - limits.open_bytes
        if over <= 0:
            return found
        slow = {key for key, _ in found}
        over -= sum(self._heads[key].size for key in slow)
        by_size = sorted(
            self._heads.items(), key=lambda item: item[1].size, reverse=True
        )
        for key, head in by_size:
            if over <= 0:
                break
            if key not in slow:
                found.append((key, Excess.CROWD))
                over -= head.size
        return found
