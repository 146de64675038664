"""Frees a group that a coordinator left in the middle of a switch.

The group waits at a pass that some rank holds, and nobody drives it. The
recovery places another hold, at a rank that holds nothing yet, so that the
group can't go on even if the former coordinator wakes up and releases its
pass. Every version that a rank is armed with or has prepared is then made
dead at all ranks, and the holds are released, the new one last.

The rank of the lost coordinator may be out of reach. It is left out if some
other rank was never seen armed: a coordinator arms its own rank last and
makes its own version dead first.
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

    Attributes:
        guard_rank: a rank that held nothing when the recovery began.
        version: a version above all that the ranks have shown.
        lists: the map in use, prepared under that version.
        step: the pass that the group waits for.
        absent: rank of the lost coordinator, if it is out of reach.
        reports: the newest report of each rank; it may be old, since an
            order that does not fit the state of an engine is refused.
    """

    epoch: int
    size: int
    guard_rank: int
    version: int
    lists: model.ExpertLists
    step: int
    _reports: dict[int, model.RankReport]
    absent: int | None = None
    _phase: _Phase = _Phase.HOLD
    _retries: retries.OrderRetries = attrs.field(factory=retries.OrderRetries)
    _seen_armed: set[int] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Note which ranks are armed now."""
        for report in self._reports.values():
            self._note_armed(report)

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
        self._note_armed(report)
        self._retries.reported(report.rank)
        self._advance()

    def orders(self, now: float) -> list[model.Order]:
        """Return the orders that are due, at most one for each rank."""
        return self._retries.due_orders(
            self._reports, now, switch.RETRY_S, self._order_for
        )

    def is_unanswered(self, rank: int) -> bool:
        """Tell whether a rank's agent has not reported on an order."""
        return self._retries.is_unanswered(rank)

    def _order_for(self, rank: int) -> model.Order | None:
        report = self._reports[rank]
        is_guard = rank == self.guard_rank
        match self._phase:
            case _Phase.HOLD if is_guard:
                return self._order(model.OrderKind.HOLD, rank, self.step)
            case _Phase.KILL if not self._is_quiet(report):
                return self._kill_order(rank, report)
            case _Phase.RELEASE_OTHERS if not is_guard and report.held:
                return self._order(model.OrderKind.GO, rank, report.held)
            case _Phase.RELEASE_GUARD if is_guard:
                return self._order(model.OrderKind.GO, rank, self.step)
        return None

    def _kill_order(self, rank: int, report: model.RankReport) -> model.Order:
        if self._is_armed_below(report):
            order = self._order(model.OrderKind.DISARM, rank)
            return attrs.evolve(order, version=report.armed.version)
        order = self._order(model.OrderKind.PREPARE, rank)
        return attrs.evolve(order, lists=self.lists)

    def _order(
        self, kind: model.OrderKind, rank: int, step: int = 0
    ) -> model.Order:
        return model.Order(kind, rank, self.epoch, self.version, step)

    def _note_armed(self, report: model.RankReport) -> None:
        if report.armed is not None:
            self._seen_armed.add(report.rank)

    def _all_dead(self) -> bool:
        known = self._reports.values()
        if not all(map(self._is_quiet, known)):
            return False
        is_whole = len(known) == self.size
        return is_whole or len(self._seen_armed) < len(known)

    def _advance(self) -> None:
        following = self._following()
        if following is not None:
            self._phase = following

    def _following(self) -> _Phase | None:
        """Return the phase that the reports allow to enter, if any."""
        guard = self._reports[self.guard_rank]
        others = [r for r in self._reports.values() if r is not guard]
        match self._phase:
            case _Phase.HOLD:
                return self._following_hold(guard)
            case _Phase.KILL if self._all_dead():
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
        """Tell whether every version below the own one is dead at a rank.

        A later one belongs to a coordinator that is alive, and to a later
        pass.
        """
        return (
            report.newest_version >= self.version
            and not self._is_armed_below(report)
        )

    def _is_armed_below(self, report: model.RankReport) -> bool:
        return report.armed is not None and report.armed.version < self.version
