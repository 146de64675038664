"""Determines which ranks of a group are slow, and when to announce them.

The slowdown of a rank is compared with the median of the group, so a group
whose ranks are all equally slow has no slow rank.
"""

import math
import statistics

import attrs

# Ranks up to a quarter slower or faster than the median, and changes up to a
# quarter, count as noise.
SLOW_RATIO = 1.25
# A slow rank is normal again within a tenth of the median, even if that is
# less than a quarter away from its ratio.
NORMAL_RATIO = 1.1
# Bounds what a wrong report can do, and keeps powers of loads finite.
MAX_RATIO = 100.0
# Agents report every 0.5 s.
REPORT_TIMEOUT_S = 5.0
ANNOUNCE_INTERVAL_S = 1.0
# Keeps an announcement below 2 KB.
MAX_ROWS = 64

# Host and ratio to the median of each slow rank.
Rows = tuple[tuple[str, float], ...]


def parse_slowdown(value: object) -> float:
    """Return a reported slowdown; 1 unless it is a finite number above 0."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 1.0
    try:
        number = float(value)
    except OverflowError:
        return 1.0
    return number if math.isfinite(number) and number > 0 else 1.0


@attrs.define
class SlowRanks:
    """The slowdowns of the ranks of a group, relative to their median.

    The ranks are kept by host: that outlives a new formation of the group.
    """

    _reports: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    _ratios: dict[str, float] = attrs.field(factory=dict)
    _announced: Rows = ()
    _announced_at: float = 0.0

    def record(self, host: str, slowdown: float, now: float) -> None:
        """Record the slowdown that the rank on a host reports."""
        self._reports[host] = (now, parse_slowdown(slowdown))

    def update(self, size: int, now: float) -> None:
        """Remove old reports and compute the ratios.

        All ratios are 1 while at most half of the ranks have reported.

        Args:
            size: ranks of the group.
        """
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now - report[0] <= REPORT_TIMEOUT_S
        }
        if 2 * len(self._reports) <= size:
            self._ratios = {}
            return
        # The lower one of two medians: of two ranks, the slower one is slow.
        median = statistics.median_low(
            slowdown for _, slowdown in self._reports.values()
        )
        self._ratios = {
            host: _next_ratio(self.ratio(host), slowdown / median)
            for host, (_, slowdown) in self._reports.items()
        }

    @property
    def report_count(self) -> int:
        """Return the number of ranks with a recent report."""
        return len(self._reports)

    @property
    def highest_ratio(self) -> float:
        """Return the ratio of the slowest rank; 1 if none is slow."""
        return max(self._ratios.values(), default=1.0)

    def ratio(self, host: str) -> float:
        """Return the ratio of a host's rank to the median, without noise."""
        return self._ratios.get(host, 1.0)

    def rows(self) -> Rows:
        """Return the slow ranks, the slowest one first."""
        slow = [
            (host, ratio)
            for host, ratio in self._ratios.items()
            if ratio >= SLOW_RATIO
        ]
        slow.sort(key=lambda row: (-row[1], row[0]))
        return tuple(slow[:MAX_ROWS])

    def rows_to_announce(self, now: float) -> Rows | None:
        """Return the slow ranks if they are to be announced now, or None.

        They are announced at once after a change, periodically while there
        are any, and once when there are none any more.
        """
        rows = self.rows()
        is_due = now - self._announced_at >= ANNOUNCE_INTERVAL_S
        if rows == self._announced and not (rows and is_due):
            return None
        self._announced, self._announced_at = rows, now
        return rows

    def stop_announcing(self) -> None:
        """Leave the announcements to another coordinator."""
        self._announced = ()


def _next_ratio(old: float, new: float) -> float:
    """Return the ratio in use after a newly measured one."""
    new = min(MAX_RATIO, max(1 / MAX_RATIO, new))
    if 1 / NORMAL_RATIO <= new <= NORMAL_RATIO:
        return 1.0
    is_noise = old / SLOW_RATIO < new < old * SLOW_RATIO
    return old if is_noise else new
