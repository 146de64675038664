"""Switches all ranks of a group to a new map at the same pass.

Every rank prepares the map. One rank holds a pass S that has not begun, so
that the group can't begin it. Every rank is armed with S: the rank that
holds S last but one, the coordinator's rank last. Once all ranks report that
they are armed, S is released. If this takes too long, the version is made
dead (no longer usable, see below) at every rank before S is released,
at the coordinator's rank first, so that S begins on the previous map
everywhere.

The rank that holds S is on another host than the coordinator, so that S can
be released when the coordinator's host is lost. From the sequence in which
ranks are armed and the version is made dead, others can infer the state of a
lost coordinator's rank: it is not armed if any other rank was never armed.

Orders may take effect seconds late, after newer ones. This is safe because:

- A version is armed for one pass S only. A late order to arm is refused once
  S has begun, and once the version is no longer the prepared one. A version
  is dead at a rank that is not armed with it and has prepared a later one,
  since a rank never prepares a version twice.
- S is held before any rank is armed, and released only when either all ranks
  are armed or the version is dead at all of them. Both conditions last until
  S has begun: a rank is only disarmed by an abort, and a committed switch is
  never aborted.
- A coordinator that takes over first places a hold of its own at another
  rank (see ``recovery``), so that S begins only after both are released. A
  switch only releases S at the rank that it held S at, and no other order of
  its coordinator releases a pass. A hold that takes effect after its switch
  is over is therefore left to a recovery.
- No later switch holds S (see ``holding``), so an order to release S
  that takes effect late meets no hold of theirs.
"""

import enum

import attrs

from cassiashift_core.rankmaps import holding
from cassiashift_core.rankmaps import model
from cassiashift_core.rankmaps import retries
from cassiashift_core.rankmaps import superseding

# An order whose effect no report shows is repeated after this.
RETRY_S = 0.1
# An order to prepare is answered only when the copies are complete.
PREPARE_RETRY_S = 0.8
# Copies take 50 ms an expert; the switch is abandoned after this.
PREPARE_TIMEOUT_S = 3.0
HOLD_TIMEOUT_S = 1.0
# Longest time that an idle or slow rank may delay a held pass.
ARM_TIMEOUT_S = 0.5
# A group that is idle doesn't get to the held pass.
MAX_ARM_S = 1.5


class Phase(enum.Enum):
    """Phases of a switch.

    In ``KILL`` the version is made dead at every rank: none can switch to it
    any more.
    """

    PREPARE = 'prepare'
    HOLD = 'hold'
    ARM = 'arm'
    RELEASE = 'release'
    KILL = 'kill'
    DONE = 'done'


@attrs.define
class Switch:
    """One switch of one group, run by its coordinator.

    ``record_report`` records the report of a rank, ``orders`` returns the
    orders to send now. An order is repeated until a report shows its effect.

    Attributes:
        own_rank: rank of the coordinator.
        version: version of the new map.
        lists: the new map.
        previous_lists: the map in use; prepared again under a later version
            to make a version dead.
        held_steps: the passes that must not be held any more.
        lead: passes that the held one is to be ahead of the newest one.
        step: the held pass, at which the maps change.
        is_committed: every rank was armed.
        reason: why the switch was aborted; empty if it was not.
        arming_s: seconds from the order to hold the pass until all ranks were
            armed, or until the switch was aborted; 0 before.
    """

    epoch: int
    size: int
    own_rank: int
    version: int
    lists: model.ExpertLists
    previous_lists: model.ExpertLists
    started_at: float
    held_steps: holding.HeldSteps = attrs.field(factory=holding.HeldSteps)
    lead: int = holding.LEAD_STEPS
    phase: Phase = Phase.PREPARE
    step: int = 0
    is_committed: bool = False
    reason: str = ''
    arming_s: float = 0.0
    _reports: dict[int, model.RankReport] = attrs.field(factory=dict)
    _retries: retries.OrderRetries = attrs.field(factory=retries.OrderRetries)
    _superseding: superseding.SupersedingVersions = attrs.field(init=False)
    _phase_began_at: float = attrs.field(init=False)
    # When the held pass was chosen.
    _chosen_at: float = 0.0
    # When the group was first seen to be at the held pass.
    _waiting_since: float | None = None
    _now: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Enter the phase ``PREPARE``."""
        self._phase_began_at = self.started_at
        self._superseding = superseding.SupersedingVersions(
            self.size, self.version
        )

    @property
    def highest_version(self) -> int:
        """Return the highest version used.

        A later switch uses a higher one, so that no version ever stands for
        two maps.
        """
        return self._superseding.highest

    @property
    def is_over(self) -> bool:
        """Whether the switch has ended, committed or not."""
        return self.phase is Phase.DONE

    @property
    def hold_rank(self) -> int:
        """Return the rank that holds the pass."""
        return hold_rank(self.own_rank, self.size)

    def record_report(self, report: model.RankReport, now: float) -> None:
        """Record a new report of a rank; a new epoch ends the switch."""
        if report.epoch > self.epoch:
            # A new epoch starts with map 0 and no armed or held rank.
            self._enter(Phase.DONE, now, 'the group was formed anew')
            return
        if report.epoch != self.epoch:
            return
        self._reports[report.rank] = report
        self._retries.record_report(report.rank)
        self._advance(now)

    def orders(self, now: float) -> list[model.Order]:
        """Return the orders that are due, at most one for each rank."""
        self._now = now
        self._check_timeouts(now)
        is_slow = self.phase is Phase.PREPARE
        retry_s = PREPARE_RETRY_S if is_slow else RETRY_S
        return self._retries.due_orders(
            range(self.size), now, retry_s, self._order_for
        )

    def is_unanswered(self, rank: int) -> bool:
        """Return whether a rank has not reported after several orders."""
        return self._retries.is_unanswered(rank)

    def _order_for(self, rank: int) -> model.Order | None:
        report = self._reports.get(rank)
        holds = rank == self.hold_rank
        match self.phase:
            case Phase.PREPARE if not self._is_prepared(report):
                return self._order(model.OrderKind.PREPARE, rank)
            case Phase.HOLD if holds:
                return self._order(model.OrderKind.HOLD, rank)
            case Phase.ARM if self._may_arm(rank):
                return self._order(model.OrderKind.ARM, rank)
            case Phase.KILL if self._may_kill(rank):
                return self._kill_order(rank, report)
            case Phase.RELEASE if holds:
                return self._order(model.OrderKind.GO, rank)
        return None

    def _may_arm(self, rank: int) -> bool:
        if self._is_armed(self._reports.get(rank)):
            return False
        later = {self.own_rank: (), self.hold_rank: (self.own_rank,)}
        if rank not in later:
            return True
        return all(
            self._is_armed(report)
            for other, report in self._reports.items()
            if other != rank and other not in later[rank]
        )

    def _may_kill(self, rank: int) -> bool:
        own = self._reports.get(self.own_rank)
        return rank == self.own_rank or (
            own is not None and self._is_dead_at(own)
        )

    def _kill_order(
        self, rank: int, report: model.RankReport | None
    ) -> model.Order | None:
        if report is not None and self._is_dead_at(report):
            return None
        if report is None or self._is_armed(report):
            return self._order(model.OrderKind.DISARM, rank)
        order = self._order(model.OrderKind.PREPARE, rank)
        floor = model.version_after(
            self._reports.values(), self.own_rank, self.size, self.version
        )
        version = self._superseding.version_for(rank, floor, self._now)
        return attrs.evolve(order, version=version, lists=self.previous_lists)

    def _order(self, kind: model.OrderKind, rank: int) -> model.Order:
        return model.Order(
            kind,
            rank,
            self.epoch,
            self.version,
            self.step,
            self.lists if kind is model.OrderKind.PREPARE else (),
        )

    def _advance(self, now: float) -> None:
        next_phase = self._next_phase(now)
        if next_phase is not None:
            self._enter(next_phase, now)

    def _next_phase(self, now: float) -> Phase | None:
        """Return the next phase if the reports permit it, or None."""
        own = self._reports.get(self.own_rank)
        if own is None:
            return None
        match self.phase:
            case Phase.PREPARE if self._all_ranks(self._is_prepared):
                self._choose_step(now)
                return Phase.HOLD
            case Phase.HOLD:
                return self._phase_after_hold(now)
            case Phase.ARM if self._all_ranks(self._is_armed):
                self.is_committed = True
                return Phase.RELEASE
            case Phase.KILL if self._all_ranks(self._is_dead_at):
                return Phase.RELEASE
            case Phase.RELEASE:
                if self._reports[self.hold_rank].held != self.step:
                    return Phase.DONE
        return None

    def _phase_after_hold(self, now: float) -> Phase | None:
        held = self._reports[self.hold_rank].held
        if held == self.step:
            return Phase.ARM
        if held is not None:
            # A rank has one hold at a time; a recovery is to release this one.
            self.reason = 'another pass is held'
            return Phase.RELEASE
        if self._newest_step() >= self.step:
            # No rank was armed for the missed pass, so a later one is held.
            self._choose_step(now)
        return None

    def _choose_step(self, now: float) -> None:
        self._chosen_at = now
        self.step = self.held_steps.next_step(self._newest_step(), self.lead)
        self.held_steps.record_hold(self.step)

    def _newest_step(self) -> int:
        """Return the last pass that any rank reports; all ranks take part."""
        return max(report.step for report in self._reports.values())

    def _check_timeouts(self, now: float) -> None:
        waited_s = now - self._phase_began_at
        match self.phase:
            case Phase.PREPARE:
                if waited_s > PREPARE_TIMEOUT_S:
                    # No rank is armed yet, so none can switch.
                    self._enter(Phase.DONE, now, 'a rank did not prepare')
            case Phase.HOLD:
                if waited_s > HOLD_TIMEOUT_S:
                    self._enter(Phase.RELEASE, now, 'no pass was held')
            case Phase.ARM:
                if waited_s > MAX_ARM_S or self._has_waited(now):
                    self._enter(Phase.KILL, now, 'a rank was not armed')

    def _has_waited(self, now: float) -> bool:
        """Return whether the group has waited too long at the held pass."""
        if self._newest_step() + 1 < self.step:
            return False
        if self._waiting_since is None:
            self._waiting_since = now
        return now - self._waiting_since > ARM_TIMEOUT_S

    def _enter(self, phase: Phase, now: float, reason: str = '') -> None:
        if self.phase is Phase.ARM:
            self.arming_s = now - self._chosen_at
        self.phase = phase
        self.reason = self.reason or reason
        self._phase_began_at = now
        self._retries.clear()

    def _all_ranks(self, check) -> bool:
        return len(self._reports) == self.size and all(
            map(check, self._reports.values())
        )

    def _is_prepared(self, report: model.RankReport | None) -> bool:
        return report is not None and report.prepared == self.version

    def _is_armed(self, report: model.RankReport | None) -> bool:
        wanted = model.Armed(self.version, self.step)
        return report is not None and report.armed == wanted

    def _is_dead_at(self, report: model.RankReport) -> bool:
        """Return whether the rank can't switch to the version any more.

        That is so once it reports a later version, which another coordinator
        may have prepared, armed or even brought into use.
        """
        return (
            not self._is_armed(report) and report.newest_version > self.version
        )


def hold_rank(coordinator: int, size: int) -> int:
    """Return the rank at which the switches of a coordinator hold passes.

    Args:
        coordinator: rank of the coordinator.
        size: ranks of the group.
    """
    return (coordinator + 1) % size
