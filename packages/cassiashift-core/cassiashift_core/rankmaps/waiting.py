"""Detects a group that waits at a pass whose coordinator is lost."""

from collections.abc import Iterable

import attrs

from cassiashift_core.rankmaps import model

# Without a new pass for this long, while requests run or wait, the group
# counts as stalled.
STALL_TIMEOUT_S = 0.6
# No switch takes as long to release the pass that it holds.
MAX_HOLD_S = 3.0


@attrs.define
class WaitingGroup:
    """Since when requests wait for a pass, and since when each is held.

    The agent of the rank that holds a pass may be silent, so that a stall is
    detected by the passes and not by the hold.

    Attributes:
        newest_step: the last pass that any rank has reported.
    """

    newest_step: int = -1
    _stalled_since: float | None = None
    _held_since: dict[tuple[int, int], float] = attrs.field(factory=dict)

    def record_reports(
        self, reports: Iterable[model.RankReport], is_open: bool, now: float
    ) -> None:
        """Record the newest reports of the ranks that report.

        While a pass is held, requests that arrive stay queued, and those
        that run end as their callers leave.

        Args:
            is_open: the group accepts work.
        """
        reports = list(reports)
        step = max(report.step for report in reports)
        has_requests = any(
            report.running or report.queued for report in reports
        )
        has_begun = step != self.newest_step
        is_waiting = is_open and has_requests and not has_begun
        if not is_waiting or self._stalled_since is None:
            self._stalled_since = now
        self.newest_step = step
        self._held_since = {
            hold: self._held_since.get(hold, now)
            for hold in (
                (report.rank, report.held)
                for report in reports
                if report.held is not None
            )
        }

    def restart(self) -> None:
        """Count from the next reports on, as after a recovery."""
        self._stalled_since = None
        self._held_since.clear()

    def is_stalled(self, now: float) -> bool:
        """Return whether requests have waited too long for a pass."""
        return (
            self._stalled_since is not None
            and now - self._stalled_since > STALL_TIMEOUT_S
        )

    def has_old_hold(self, now: float) -> bool:
        """Return whether a pass is held for longer than a switch takes."""
        return any(
            now - since > MAX_HOLD_S for since in self._held_since.values()
        )

    def step_to_recover(self, now: float) -> int | None:
        """Return the first held pass if it is to be released, or None.

        It is if requests wait at it, or if it is held for longer than any
        switch takes: its coordinator is lost or was started again. A group
        without requests has to be released as well, since it would stop at
        the pass once a request arrives.
        """
        steps = [step for _, step in self._held_since]
        first = min(
            (step for step in steps if step > self.newest_step), default=None
        )
        if first is None:
            return None
        is_waiting_there = first == self.newest_step + 1
        if is_waiting_there and self.is_stalled(now):
            return first
        return first if self.has_old_hold(now) else None
