"""Tells the crashes of an upstream apart."""

import attrs


@attrs.define
class CrashCounts:
    """Numbers of crashes of the upstreams of one agent.

    Several attempts may end in one crash. An attempt that began after a
    crash was found has reached a new process, as one that reaches none ends
    without a connection.
    """

    _counts: dict[str, int] = attrs.field(factory=dict)
    _found_at: dict[str, float] = attrs.field(factory=dict)

    def record(self, upstream: str, began_at: float, now: float) -> int:
        """Return the number of the crash that ended an attempt, from 1.

        Args:
            began_at: when the attempt began.
        """
        count = self._counts.get(upstream, 0)
        if not count or began_at > self._found_at[upstream]:
            count += 1
            self._counts[upstream] = count
            self._found_at[upstream] = now
        return count
