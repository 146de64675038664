"""Releases a group whose coordinator failed during a switch.

The group waits at a pass that some rank holds, without a coordinator. The
recovery first places another hold, at a rank that holds nothing yet (the
guard), so that the group can't continue even if the previous coordinator
returns and releases its pass. It then makes every version that a rank is armed
with or has prepared dead at all ranks (see ``switch``), and releases the
holds, the guard's last.

A switch places its hold once all ranks have prepared its version. So a hold
that is reported when the recovery begins belongs to a version below that of
the recovery: once that one is dead at all ranks, its hold may be released. A
hold that is placed later may belong to a live switch and is left alone.

A recovery that takes too long, or whose process was stopped meanwhile, ends as
it is: its guard stays, and the next recovery begins on new reports.

The rank of the lost coordinator may be unreachable. It is left out if some
other rank was never seen armed: a coordinator arms its own rank last, and
makes the version dead at its own rank first.
"""

import enum

import attrs

from cassiashift_core.rankmaps import model
from cassiashift_core.rankmaps import retries
from cassiashift_core.rankmaps import superseding
from cassiashift_core.rankmaps import switch

# Covers several repetitions of each order.
MAX_RECOVERY_S = 5.0


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
        guard_rank: the rank at which the recovery holds the pass; it held
            nothing when the recovery began, unless all ranks did.
        version: a version above all that the ranks have reported.
        lists: the map in use, prepared under that version.
        step: the pass that the group waits at.
        unreachable_rank: rank of the lost coordinator if it can't be reached.
        reports: the newest report of each rank. It may be old, since an
            engine refuses an order that does not fit its state.
        found_holds: ranks that held the pass when the recovery began; no
            other hold but the guard's is released.
        found_armed: the switches that ranks were set to make at that time, and
            that are to be made dead.
        sound_armed: those of that time that are left alone.
    """

    epoch: int
    size: int
    guard_rank: int
    version: int
    lists: model.ExpertLists
    step: int
    _reports: dict[int, model.RankReport]
    started_at: float
    unreachable_rank: int | None = None
    found_holds: frozenset[int] = attrs.field(init=False)
    found_armed: frozenset[model.Armed] = attrs.field(init=False)
    sound_armed: frozenset[model.Armed] = attrs.field(init=False)
    _phase: _Phase = _Phase.HOLD
    _retries: retries.OrderRetries = attrs.field(factory=retries.OrderRetries)
    _seen_armed: set[int] = attrs.field(factory=set)
    _superseding: superseding.SupersedingVersions = attrs.field(init=False)
    _now: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Record which ranks hold the pass and are armed at the start."""
        self._superseding = superseding.SupersedingVersions(
            self.size, self.version
        )
        reports = self._reports.values()
        self.found_holds = frozenset(
            report.rank for report in reports if self._holds_pass(report)
        )
        armed = {item.armed for item in reports if item.armed is not None}
        self.sound_armed = frozenset(filter(self._is_sound, armed))
        self.found_armed = armed - self.sound_armed
        for report in reports:
            self._record_armed(report)

    @property
    def is_over(self) -> bool:
        """Whether the recovery has ended, with the group released or not."""
        return self._phase is _Phase.DONE

    @property
    def highest_version(self) -> int:
        """Return the highest version used; a later one has to be above it."""
        return self._superseding.highest

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
        self._now = now
        if now - self.started_at > MAX_RECOVERY_S:
            self._phase = _Phase.DONE
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
            case _Phase.RELEASE_OTHERS if self._is_to_release(report):
                return self._order(model.OrderKind.GO, rank, self.step)
            case _Phase.RELEASE_GUARD if is_guard:
                return self._order(model.OrderKind.GO, rank, self.step)
        return None

    def _kill_order(self, rank: int, report: model.RankReport) -> model.Order:
        if self._has_earlier_armed(report):
            order = self._order(model.OrderKind.DISARM, rank)
            return attrs.evolve(order, version=report.armed.version)
        order = self._order(model.OrderKind.PREPARE, rank)
        version = self._superseding.version_for(rank, self.version, self._now)
        return attrs.evolve(order, version=version, lists=self.lists)

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
        if self._phase is _Phase.HOLD:
            return self._phase_after_hold(guard)
        if self._phase is not _Phase.DONE and not self._holds_pass(guard):
            return self._phase_without_guard(guard)
        match self._phase:
            case _Phase.KILL if self._all_clear():
                return _Phase.RELEASE_OTHERS
            case _Phase.RELEASE_OTHERS:
                if not any(map(self._is_to_release, self._reports.values())):
                    return _Phase.RELEASE_GUARD
        return None

    def _phase_without_guard(self, guard: model.RankReport) -> _Phase:
        """Return the next phase if the guard does not hold the pass.

        While versions are made dead, the guard is needed; another recovery
        may have released it.
        """
        if self._phase is _Phase.KILL and guard.step < self.step:
            return _Phase.HOLD
        return _Phase.DONE

    def _phase_after_hold(self, guard: model.RankReport) -> _Phase | None:
        if self._holds_pass(guard):
            return _Phase.KILL
        if guard.step >= self.step:
            # Another coordinator released the group.
            return _Phase.DONE
        return None

    def _holds_pass(self, report: model.RankReport) -> bool:
        return report.held == self.step

    def _is_to_release(self, report: model.RankReport) -> bool:
        """Return whether a rank still has a hold found at the start."""
        return (
            report.rank != self.guard_rank
            and report.rank in self.found_holds
            and self._holds_pass(report)
        )

    def _is_clear(self, report: model.RankReport) -> bool:
        """Return whether every earlier version is dead at a rank.

        Earlier means below the version of the recovery. A later version
        belongs to a live coordinator and to a later pass.
        """
        if report.armed in self.sound_armed:
            return True
        return (
            report.newest_version >= self.version
            and not self._has_earlier_armed(report)
        )

    def _is_sound(self, armed: model.Armed) -> bool:
        """Return whether a switch is to be left alone.

        It is of another pass, and every rank makes it or its own hold is in
        place. This recovery does not hold that pass, which may begin while
        ranks are disarmed.
        """
        reports = self._reports.values()
        is_complete = all(report.armed == armed for report in reports)
        is_held = any(report.held == armed.step for report in reports)
        return armed.step != self.step and (is_complete or is_held)

    def _has_earlier_armed(self, report: model.RankReport) -> bool:
        """Return whether a rank is armed with a version to be made dead.

        A switch for another pass that was not found at the start is live: the
        recovery was stopped for a while, and another one released the pass.
        """
        armed = report.armed
        return (
            armed is not None
            and armed.version < self.version
            and (armed.step == self.step or armed in self.found_armed)
        )
