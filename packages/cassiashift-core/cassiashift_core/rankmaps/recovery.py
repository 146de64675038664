"""Frees a group that a coordinator left in the middle of a switch.

The group waits at a pass that some rank holds, and nobody drives it. The
recovery places another hold, at a rank that holds nothing yet, so that the
group can't go on even if the former coordinator wakes up and releases its
pass. Every version that a rank is armed with or has prepared is then made
dead at all ranks, and the holds are released, the new one last.
"""

import enum

import attrs

from cassiashift_core.rankmaps import model
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

    Attributes:
        guard_rank: a rank that held nothing when the recovery began.
        version: a version above all that the ranks have shown.
        lists: the map in use, prepared under that version.
        step: the pass that the group waits for.
    """

    epoch: int
    size: int
    guard_rank: int
    version: int
    lists: model.ExpertLists
    step: int
    _phase: _Phase = _Phase.HOLD
    _reports: dict[int, model.RankReport] = attrs.field(factory=dict)
    _sent: dict[int, float] = attrs.field(factory=dict)

    @property
    def is_over(self) -> bool:
        """Tell whether the group is free."""
        return self._phase is _Phase.DONE

    def report(self, report: model.RankReport, now: float) -> None:
        """Take a fresh report of a rank."""
        if report.epoch > self.epoch:
            self._phase = _Phase.DONE
        if report.epoch != self.epoch:
            return
        self._reports[report.rank] = report
        self._sent.pop(report.rank, None)
        self._advance()

    def orders(self, now: float) -> list[model.Order]:
        """Return the orders that are due, at most one for each rank."""
        orders = []
        for rank in range(self.size):
            if now < self._sent.get(rank, -switch.RETRY_S) + switch.RETRY_S:
                continue
            order = self._order_for(rank)
            if order is not None:
                self._sent[rank] = now
                orders.append(order)
        return orders

    def _order_for(self, rank: int) -> model.Order | None:
        report = self._reports.get(rank)
        is_guard = rank == self.guard_rank
        kind = None
        match self._phase:
            case _Phase.HOLD if is_guard:
                kind = model.OrderKind.HOLD
            case _Phase.KILL if report is None or not self._is_quiet(report):
                kind = model.OrderKind.PREPARE
                if report is None or report.armed is not None:
                    kind = model.OrderKind.DISARM
            case _Phase.RELEASE_OTHERS if not is_guard and report.held:
                kind = model.OrderKind.GO
            case _Phase.RELEASE_GUARD if is_guard:
                kind = model.OrderKind.GO
        if kind is None:
            return None
        armed = report.armed if report is not None else None
        is_disarm = kind is model.OrderKind.DISARM and armed is not None
        is_foreign_go = kind is model.OrderKind.GO and not is_guard
        return model.Order(
            kind,
            rank,
            self.epoch,
            armed.version if is_disarm else self.version,
            report.held if is_foreign_go else self.step,
            self.lists if kind is model.OrderKind.PREPARE else (),
        )

    def _advance(self) -> None:
        following = self._following()
        if following is not None:
            self._phase = following

    def _following(self) -> _Phase | None:
        """Return the phase that the reports allow to enter, if any."""
        guard = self._reports.get(self.guard_rank)
        if guard is None:
            return None
        if self._phase is _Phase.HOLD:
            return self._following_hold(guard)
        if len(self._reports) < self.size:
            return None
        others = [r for r in self._reports.values() if r is not guard]
        match self._phase:
            case _Phase.KILL if all(map(self._is_quiet, [guard, *others])):
                return _Phase.RELEASE_OTHERS
            case _Phase.RELEASE_OTHERS if not any(r.held for r in others):
                return _Phase.RELEASE_GUARD
            case _Phase.RELEASE_GUARD if guard.held != self.step:
                return _Phase.DONE
        return None

    def _following_hold(self, guard: model.RankReport) -> _Phase | None:
        if guard.held == self.step:
            return _Phase.KILL
        if guard.step >= self.step:
            # The group goes on by itself: somebody else released it.
            return _Phase.DONE
        return None

    def _is_quiet(self, report: model.RankReport) -> bool:
        return report.armed is None and (report.prepared or 0) >= self.version
