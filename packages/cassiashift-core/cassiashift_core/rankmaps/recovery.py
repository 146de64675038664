"""Releases a group whose coordinator failed during a switch.

The group waits at a pass that some rank holds, without a coordinator. The
recovery first places another hold, at a rank that holds nothing yet (the
guard), so that the group can't continue even if the previous coordinator
returns and releases its pass. It then makes every version that a rank is armed
with or has prepared dead at all ranks (see ``switch``), and releases the
holds, the guard's last.

The rank of the lost coordinator may be unreachable. It is left out if some
other rank was never seen armed: a coordinator arms its own rank last, and
makes the version dead at its own rank first.
"""

import enum

import attrs

from cassiashift_core.rankmaps import model
from cassiashift_core.rankmaps import retries
from cassiashift_core.rankmaps import switch


class _Phase(enum.Enum):
    HOLD = 'hold'
    KILL = 'kill'
    RELEASE_OTHERS = 'release_others'
    RELEASE_GUARD = 'release_guard'
    DONE = 'done'


@attrs.define
class Recovery:
    """One recovery of one group.

    It is used like a ``Switch``: reports go in, due orders come out.

    Attributes:
        guard_rank: a rank that held nothing when the recovery began.
        version: a version above all that the ranks have reported.
        lists: the map in use, prepared under that version.
        step: the pass that the group waits at.
        unreachable_rank: rank of the lost coordinator if it can't be reached.
        reports: the newest report of each rank. It may be old, since an
            engine refuses an order that does not fit its state.
    """

    epoch: int
    size: int
    guard_rank: int
    version: int
    lists: model.ExpertLists
    step: int
    _reports: dict[int, model.RankReport]
    unreachable_rank: int | None = None
    _phase: _Phase = _Phase.HOLD
    _retries: retries.OrderRetries = attrs.field(factory=retries.OrderRetries)
    _seen_armed: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Record which ranks are armed at the start."""
        for report in self._reports.values():
            self._record_armed(report)

    @property
    def is_over(self) -> bool:
        """Whether the group was released."""
        return self._phase is _Phase.DONE

    def record_report(self, report: model.RankReport, now: float) -> None:
        """Record a new report of a rank; a new epoch ends the recovery."""
        if report.epoch > self.epoch:
            self._phase = _Phase.DONE
        if report.epoch != self.epoch:
            return
        self._reports[report.rank] = report
        self._record_armed(report)
        self._retries.record_report(report.rank)
        self._advance()

    def orders(self, now: float) -> list[model.Order]:
        """Return the orders that are due, at most one for each rank."""
        return self._retries.due_orders(
            self._reports, now, switch.RETRY_S, self._order_for
        )

    def is_unanswered(self, rank: int) -> bool:
        """Return whether a rank has not reported after several orders."""
        return self._retries.is_unanswered(rank)

    def _order_for(self, rank: int) -> model.Order | None:
        report = self._reports[rank]
        is_guard = rank == self.guard_rank
        match self._phase:
            case _Phase.HOLD if is_guard:
                return self._order(model.OrderKind.HOLD, rank, self.step)
            case _Phase.KILL if not self._is_clear(report):
                return self._kill_order(rank, report)
            case _Phase.RELEASE_OTHERS if not is_guard and report.held:
                return self._order(model.OrderKind.GO, rank, report.held)
            case _Phase.RELEASE_GUARD if is_guard:
                return self._order(model.OrderKind.GO, rank, self.step)
        return None

    def _kill_order(self, rank: int, report: model.RankReport) -> model.Order:
        if self._has_earlier_armed(report):
            order = self._order(model.OrderKind.DISARM, rank)
            return attrs.evolve(order, version=report.armed.version)
        order = self._order(model.OrderKind.PREPARE, rank)
        return attrs.evolve(order, lists=self.lists)

    def _order(
        self, kind: model.OrderKind, rank: int, step: int = 0
    ) -> model.Order:
        return model.Order(kind, rank, self.epoch, self.version, step)

    def _record_armed(self, report: model.RankReport) -> None:
        if report.armed is not None:
            self._seen_armed.add(report.rank)

    def _all_clear(self) -> bool:
        """Return whether every earlier version is dead at all ranks.

        At an unreachable rank it is if another rank was never seen armed.
        """
        reports = self._reports.values()
        if not all(map(self._is_clear, reports)):
            return False
        all_reported = len(reports) == self.size
        return all_reported or len(self._seen_armed) < len(reports)

    def _advance(self) -> None:
        next_phase = self._next_phase()
        if next_phase is not None:
            self._phase = next_phase

    def _next_phase(self) -> _Phase | None:
        """Return the next phase if the reports permit it, or None."""
        guard = self._reports[self.guard_rank]
        others = [r for r in self._reports.values() if r is not guard]
        match self._phase:
            case _Phase.HOLD:
                return self._phase_after_hold(guard)
            case _Phase.KILL if self._all_clear():
                return _Phase.RELEASE_OTHERS
            case _Phase.RELEASE_OTHERS if not any(r.held for r in others):
                return _Phase.RELEASE_GUARD
            case _Phase.RELEASE_GUARD if guard.held != self.step:
                return _Phase.DONE
        return None

    def _phase_after_hold(self, guard: model.RankReport) -> _Phase | None:
        if guard.held == self.step:
            return _Phase.KILL
        if guard.step >= self.step:
            # Another coordinator released the group.
            return _Phase.DONE
        return None

    def _is_clear(self, report: model.RankReport) -> bool:
        """Return whether every earlier version is dead at a rank.

        Earlier means below the version of the recovery. A later version
        belongs to a live coordinator and to a later pass.
        """
        return (
            report.newest_version >= self.version
            and not self._has_earlier_armed(report)
        )

    def _has_earlier_armed(self, report: model.RankReport) -> bool:
        return report.armed is not None and report.armed.version < self.version
