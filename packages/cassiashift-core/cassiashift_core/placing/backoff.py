"""Upstreams that have asked this entry to send nothing for some time."""

import math

import attrs

from cassiashift_core import fleet

# A longer pause is taken for a mistake and shortened to this.
LONGEST_BACK_OFF_S = 600.0


@attrs.frozen
class _BackOff:
    """The end of a pause that one start of an upstream has asked for."""

    born_ms: int
    until: float


@attrs.define
class BackOffs:
    """Pauses by upstream; a new start of an upstream ends its pause.

    Times are of the entry's monotonic clock, in seconds.
    """

    _by_id: dict[str, _BackOff] = attrs.field(factory=dict)

    def record(
        self, upstream: fleet.Upstream, seconds: float, now: float
    ) -> float:
        """Record a pause; return its seconds, 0 if the value is no pause."""
        if not math.isfinite(seconds) or seconds <= 0:
            return 0.0
        pause_s = min(seconds, LONGEST_BACK_OFF_S)
        until = max(now + pause_s, self.ends_at(upstream))
        self._by_id[upstream.id] = _BackOff(upstream.born_ms, until)
        return pause_s

    def ends_at(self, upstream: fleet.Upstream) -> float:
        """Return when the pause of an upstream ends; 0 if it has none."""
        held = self._by_id.get(upstream.id)
        if held is None or held.born_ms != upstream.born_ms:
            return 0.0
        return held.until

    def forget(self, upstream_id: str) -> None:
        """Drop the pause of an upstream that is gone."""
        self._by_id.pop(upstream_id, None)

    def room_in_s(self, upstreams: list[fleet.Upstream], now: float) -> float:
        """Return the seconds until one of some upstreams has no pause."""
        ends = [self.ends_at(upstream) for upstream in upstreams]
        return max(0.0, min(ends, default=0.0) - now)
