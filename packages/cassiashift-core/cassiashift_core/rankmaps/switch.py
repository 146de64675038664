"""Moves all ranks of a group to a new map at one pass.

The steps: every rank prepares the map; a rank holds a pass S that has not
begun, so that the group can't begin it; every rank is armed with S, the one
that holds last but one and the coordinator's last; once all of them report
that, S is released. If that
takes too long the version is made dead at every rank before S is released,
the coordinator's first, so that S begins on the former map everywhere.

The hold is at another host than the coordinator, so that it can be released
when the coordinator's host is lost. The order of arming and of killing tells
others about the rank of a lost coordinator: it is not armed as long as any
other rank was never armed.

Orders may be carried out seconds late, after newer ones. What makes that
harmless:

- A version and its pass belong together: a version is armed for one S only.
  A late arm is refused once S has begun, and once the version is no longer
  the prepared one. A version is dead at a rank that is not armed and whose
  prepared version is a later one: a version is never prepared twice.
- The hold is placed before any rank is armed, and released only when either
  all ranks are armed or the version is dead at all of them. Both last until
  S has begun: a rank is only disarmed by an abort, which follows no commit.
- Another coordinator that takes over places a hold of its own first (see
  ``recovery``), so that both must have released S.
"""

import enum

import attrs

from cassiashift_core.rankmaps import model
from cassiashift_core.rankmaps import retries

# Passes between the last one reported and the one at which maps change:
# one may begin while the order is under way.
LEAD_STEPS = 3
# An order without an effect in the next report is given again.
RETRY_S = 0.1
# The answer to an order to prepare comes when the copies are complete.
PREPARE_RETRY_S = 0.8
# Copies take 50 ms an expert; a rank that is not ready by then is given up.
PREPARE_TIMEOUT_S = 3.0
HOLD_TIMEOUT_S = 1.0
# Longest time that an idle or slow rank may delay a held pass.
ARM_TIMEOUT_S = 0.5


class Phase(enum.Enum):
    """Where a switch stands."""

    PREPARE = 'prepare'
    HOLD = 'hold'
    ARM = 'arm'
    RELEASE = 'release'
    KILL = 'kill'
    DONE = 'done'


@attrs.define
class Switch:
    """One switch of one group, as its coordinator drives it.

    ``report`` takes the state of a rank, ``orders`` returns what is to be
    told to the ranks now. An order is repeated until a report shows its
    effect.

    Attributes:
        own_rank: rank of the coordinator.
        version: of the new map.
        former: the map in use; prepared again to make a version dead.
        is_committed: every rank was armed.
        highest_version: highest version used; a later switch takes a higher
            one, so that no version ever stands for two maps.
        phase: of the switch.
    """

    epoch: int
    size: int
    own_rank: int
    version: int
    lists: model.ExpertLists
    former: model.ExpertLists
    started_at: float
    phase: Phase = Phase.PREPARE
    step: int = 0
    is_committed: bool = False
    reason: str = ''
    highest_version: int = 0
    _reports: dict[int, model.RankReport] = attrs.field(factory=dict)
    _retries: retries.OrderRetries = attrs.field(factory=retries.OrderRetries)
    _phase_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the preparation."""
        self._phase_at = self.started_at
        self.highest_version = self.version

    @property
    def is_over(self) -> bool:
        """Tell whether nothing is left to be done."""
        return self.phase is Phase.DONE

    @property
    def hold_rank(self) -> int:
        """Return the rank that holds the pass."""
        return (self.own_rank + 1) % self.size

    def report(self, report: model.RankReport, now: float) -> None:
        """Take a fresh report of a rank."""
        if report.epoch > self.epoch:
            # The group was formed anew: nothing of this switch is left.
            self._enter(Phase.DONE, now, 'the group was formed anew')
            return
        if report.epoch != self.epoch:
            return
        self._reports[report.rank] = report
        self._retries.reported(report.rank)
        self._advance(now)

    def orders(self, now: float) -> list[model.Order]:
        """Return the orders that are due, at most one for each rank."""
        self._check_time(now)
        is_slow = self.phase is Phase.PREPARE
        retry_s = PREPARE_RETRY_S if is_slow else RETRY_S
        return self._retries.due_orders(
            range(self.size), now, retry_s, self._order_for
        )

    def is_unanswered(self, rank: int) -> bool:
        """Tell whether a rank's agent has not reported on an order."""
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
        later = model.version_after(
            self._reports.values(), self.own_rank, self.size, self.version
        )
        self.highest_version = max(self.highest_version, later)
        return attrs.evolve(order, version=later, lists=self.former)

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
        following = self._following()
        if following is not None:
            self._enter(following, now)

    def _following(self) -> Phase | None:
        """Return the phase that the reports allow to enter, if any."""
        own = self._reports.get(self.own_rank)
        if own is None:
            return None
        match self.phase:
            case Phase.PREPARE if self._all(self._is_prepared):
                self.step = self._newest_step() + LEAD_STEPS
                return Phase.HOLD
            case Phase.HOLD:
                return self._following_hold()
            case Phase.ARM if self._all(self._is_armed):
                self.is_committed = True
                return Phase.RELEASE
            case Phase.KILL if self._all(self._is_dead_at):
                return Phase.RELEASE
            case Phase.RELEASE:
                if self._reports[self.hold_rank].held != self.step:
                    return Phase.DONE
        return None

    def _following_hold(self) -> Phase | None:
        if self._reports[self.hold_rank].held == self.step:
            return Phase.ARM
        newest = self._newest_step()
        if newest >= self.step:
            # No rank was armed for it; a later pass will do.
            self.step = newest + LEAD_STEPS
        return None

    def _newest_step(self) -> int:
        """Return the last pass that any rank reports: all make it."""
        return max(report.step for report in self._reports.values())

    def _check_time(self, now: float) -> None:
        waited_s = now - self._phase_at
        match self.phase:
            case Phase.PREPARE:
                if waited_s > PREPARE_TIMEOUT_S:
                    # No rank was armed, so none of them can switch.
                    self._enter(Phase.DONE, now, 'a rank did not prepare')
            case Phase.HOLD:
                if waited_s > HOLD_TIMEOUT_S:
                    self._enter(Phase.RELEASE, now, 'no pass was held')
            case Phase.ARM:
                if waited_s > ARM_TIMEOUT_S:
                    self._enter(Phase.KILL, now, 'a rank was not armed')

    def _enter(self, phase: Phase, now: float, reason: str = '') -> None:
        self.phase = phase
        self.reason = self.reason or reason
        self._phase_at = now
        self._retries.clear()

    def _all(self, check) -> bool:
        return len(self._reports) == self.size and all(
            map(check, self._reports.values())
        )

    def _is_prepared(self, report: model.RankReport | None) -> bool:
        return report is not None and report.prepared == self.version

    def _is_armed(self, report: model.RankReport | None) -> bool:
        wanted = model.Armed(self.version, self.step)
        return report is not None and report.armed == wanted

    def _is_dead_at(self, report: model.RankReport) -> bool:
        """Tell whether the rank can't switch to the version any more.

        It has had a later one: another coordinator may have prepared, armed
        or even brought one into use.
        """
        return (
            not self._is_armed(report) and report.newest_version > self.version
        )
