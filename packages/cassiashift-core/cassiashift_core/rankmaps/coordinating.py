"""Which agent drives a group's maps, and what it does next.

The agent of the lowest rank that is heard coordinates. Two at the same time
do no harm (see ``switch``), so a beacon and a time-out decide.
"""

import attrs

from cassiashift_core.rankmaps import demand
from cassiashift_core.rankmaps import messages
from cassiashift_core.rankmaps import model
from cassiashift_core.rankmaps import planning
from cassiashift_core.rankmaps import pressure
from cassiashift_core.rankmaps import recovery
from cassiashift_core.rankmaps import switch

BEACON_INTERVAL_S = 0.25
# Two beacons may be lost before the next rank takes over.
BEACON_TIMEOUT_S = 0.8
# Later ranks wait longer, so that one of them is first.
BEACON_STAGGER_S = 0.2
STATUS_TIMEOUT_S = 1.6
# Statuses of silent agents that a recovery may begin with are not older.
OLDEST_STATUS_S = 15.0
PLAN_INTERVAL_S = 0.25
# Choices needed before a plan means anything, for each set and expert.
LEAST_CHOICES = 4.0
# A pass that nobody drives is freed after this.
STALL_S = 0.6
# The map in use, the prepared one and those of aborted switches.
MAPS_KEPT = 8


@attrs.define
class Coordinator:
    """Plans and drives the maps of the group of one rank.

    Attributes:
        shape: None until the engine's figures are known.
        hosts: the agent's host of each rank.
        plan: the newest plan that led to a switch.
    """

    own: model.RankReport
    host: str
    shape: model.GroupShape | None = None
    hosts: dict[int, str] = attrs.field(factory=dict)
    plan: planning.Plan | None = None
    switches: int = 0
    _statuses: dict[int, tuple[float, messages.RankStatus]] = attrs.field(
        factory=dict
    )
    _active: switch.Switch | recovery.Recovery | None = None
    _demand: demand.Demand | None = None
    _beacon_at: float | None = None
    _maps: dict[int, model.ExpertLists] = attrs.field(factory=dict)
    _planned_at: float = 0.0
    _version: int = 0
    _stalled_at: float | None = None
    _stalled_step: int = -1
    _finished: set[int] = attrs.field(factory=set)

    @property
    def active(self) -> switch.Switch | recovery.Recovery | None:
        """Return the switch or the recovery under way."""
        return self._active

    def note_own(self, report: model.RankReport, now: float) -> None:
        """Take the own engine's report."""
        if (report.group, report.epoch) != (self.own.group, self.own.epoch):
            self._forget_group()
        self.own = report
        self.hosts[report.rank] = self.host
        if self._beacon_at is None:
            self._beacon_at = now
        if self._active is not None:
            self._active.report(report, now)

    def beacon(self, message: messages.GroupBeacon, now: float) -> bool:
        """Take a beacon; tell whether its sender coordinates this group."""
        if message.group != self.own.group:
            return False
        if message.rank > self.own.rank and self.coordinates(now):
            return False
        self._beacon_at = now
        self.hosts[message.rank] = message.host
        return True

    def coordinates(self, now: float) -> bool:
        """Tell whether this agent drives the group."""
        if self.own.rank == 0:
            return True
        if self._beacon_at is None:
            return False
        wait_s = BEACON_TIMEOUT_S + BEACON_STAGGER_S * self.own.rank
        return now - self._beacon_at > wait_s

    def prepares(self, order: model.Order) -> None:
        """Note the map in an order that the own engine is given."""
        if order.kind is model.OrderKind.PREPARE:
            self._maps[order.version] = order.lists
            while len(self._maps) > MAPS_KEPT:
                del self._maps[min(self._maps)]

    def status(self, message: messages.RankStatus, now: float) -> None:
        """Take the state of a rank."""
        report = message.report
        if report.group != self.own.group or report.epoch < self.own.epoch:
            return
        known = self._statuses.get(report.rank)
        if not message.lists and known is not None:
            old = known[1]
            if old.report.map_version == report.map_version:
                message = attrs.evolve(message, lists=old.lists)
        self.hosts[report.rank] = message.host
        self._statuses[report.rank] = (now, message)
        if message.choices is not None and self.shape is not None:
            if self._demand is None:
                self._demand = demand.Demand(
                    self.shape.sets, self.shape.experts
                )
            self._demand.add(message.choices.counts(), now)
        if self._active is not None:
            self._active.report(report, now)

    def orders(self, now: float) -> list[model.Order]:
        """Return the orders that are due."""
        if self._active is not None and self._active.is_over:
            self._finish(now)
        if self._active is None:
            self._start(now)
        if self._active is not None:
            return self._active.orders(now)
        # A hold may be carried out after its pass had been released.
        return [
            model.Order(
                model.OrderKind.GO, rank, self.own.epoch, step=report.held
            )
            for rank, report in self._reports(now, STATUS_TIMEOUT_S).items()
            if report.held in self._finished
        ]

    def unread_ranks(self, now: float) -> list[int]:
        """Return the ranks to be read from afar.

        While passes stand still, a rank whose agent is silent may hold them.
        """
        if self._stalled_at is None or now - self._stalled_at <= STALL_S:
            return []
        known = self._reports(now, STATUS_TIMEOUT_S)
        return [rank for rank in self.hosts if rank not in known]

    def last_report(self, rank: int) -> model.RankReport | None:
        """Return the newest report of a rank."""
        known = self._statuses.get(rank)
        return None if known is None else known[1].report

    def _start(self, now: float) -> None:
        is_stalled = self._is_stalled(now)
        if not self.coordinates(now):
            return
        if is_stalled:
            self._recover(now)
            return
        reports = self._reports(now, STATUS_TIMEOUT_S)
        if len(reports) != self.own.size:
            return
        if now - self._planned_at >= PLAN_INTERVAL_S:
            self._planned_at = now
            self._try_plan(reports, now)

    def _reports(
        self, now: float, oldest_s: float
    ) -> dict[int, model.RankReport]:
        return {
            rank: message.report
            for rank, (heard_at, message) in self._statuses.items()
            if now - heard_at <= oldest_s
            and message.report.epoch == self.own.epoch
        }

    def _is_stalled(self, now: float) -> bool:
        """Tell whether the group waits at a pass that nobody releases.

        The rank that holds it may be one whose agent is silent, so it shows
        by the passes: requests run and the step stays.
        """
        report = self.own
        is_waiting = report.is_open and report.running > 0
        if not is_waiting or report.step != self._stalled_step:
            self._stalled_step = report.step
            self._stalled_at = now
            return False
        if self._stalled_at is None:
            self._stalled_at = now
        return now - self._stalled_at > STALL_S

    def _recover(self, now: float) -> None:
        """Free the group if a rank holds a pass.

        All ranks must be known, but for that of a lost coordinator.
        """
        reports = self._reports(now, STATUS_TIMEOUT_S)
        lists = self._current(self._reports(now, OLDEST_STATUS_S))
        held = [
            rank for rank, item in reports.items() if item.held is not None
        ]
        lost = self._lost_coordinator(reports, held)
        is_known = len(reports) == self.own.size or lost is not None
        if lists is None or not held or not is_known:
            return
        guards = [
            rank
            for rank in sorted(reports, key=lambda r: r != self.own.rank)
            if rank not in held and rank != self._coordinator_rank(reports)
        ]
        if not guards:
            return
        self._stalled_at = None
        self._active = recovery.Recovery(
            epoch=self.own.epoch,
            size=self.own.size,
            guard_rank=guards[0],
            version=self._next_version(reports),
            lists=lists,
            step=self.own.step + 1,
            reports=reports,
            absent=lost,
        )

    def _lost_coordinator(
        self, reports: dict[int, model.RankReport], held: list[int]
    ) -> int | None:
        """Return the rank out of reach if it drove the switch under way.

        A second hold would be that of another recovery, which may have
        disarmed ranks.
        """
        missing = set(range(self.own.size)) - reports.keys()
        if len(missing) != 1 or len(held) != 1:
            return None
        (rank,) = missing
        is_driver = rank == self._coordinator_rank(reports)
        return rank if is_driver else None

    def _coordinator_rank(
        self, reports: dict[int, model.RankReport]
    ) -> int | None:
        """Return whose versions all ranks show; None if there are several."""
        versions = {
            version % self.own.size
            for report in reports.values()
            for version in (report.prepared, report.newest_version)
            if version
        }
        return versions.pop() if len(versions) == 1 else None

    def _try_plan(
        self, reports: dict[int, model.RankReport], now: float
    ) -> None:
        lists = self._current(reports)
        if lists is None or self.shape is None or self._demand is None:
            return
        if not all(map(_is_free, reports.values())):
            return
        cells = self.shape.sets * self.shape.experts
        if self._demand.total < LEAST_CHOICES * cells:
            return
        loads = self._demand.loads
        use = self._use(reports)
        found = planning.plan(lists, loads, self.shape, use)
        worth = pressure.pressure(self.shape, use, found.before)
        if found.gain < planning.least_gain(worth):
            return
        self.plan = found
        self.switches += 1
        self._active = switch.Switch(
            epoch=self.own.epoch,
            size=self.own.size,
            own_rank=self.own.rank,
            version=self._next_version(reports),
            lists=found.lists,
            former=lists,
            started_at=now,
        )

    def _use(self, reports: dict[int, model.RankReport]) -> float:
        """Return the share of the group's slots that are taken."""
        slots = self.shape.slots * len(reports)
        running = sum(report.running for report in reports.values())
        return min(1.0, running / slots) if slots else 1.0

    def _current(
        self, reports: dict[int, model.RankReport]
    ) -> model.ExpertLists | None:
        """Return the map in use, if all ranks agree on its version."""
        versions = {report.map_version for report in reports.values()}
        if len(versions) != 1:
            return None
        version = versions.pop()
        if version in self._maps:
            return self._maps[version]
        rows = [self._statuses[rank][1].lists for rank in sorted(reports)]
        if len(rows) == self.own.size and all(rows):
            return tuple(zip(*rows, strict=True))
        if version == 0 and self.shape is not None:
            return model.first_map(self.shape)
        return None

    def _next_version(self, reports: dict[int, model.RankReport]) -> int:
        self._version = model.version_after(
            reports.values(), self.own.rank, self.own.size, self._version
        )
        return self._version

    def _finish(self, now: float) -> None:
        self._finished.add(self._active.step)
        if isinstance(self._active, switch.Switch):
            self._version = max(self._version, self._active.highest_version)
        self._active = None
        self._planned_at = now

    def _forget_group(self) -> None:
        self._statuses.clear()
        self.hosts.clear()
        self._finished.clear()
        self._maps.clear()
        self._active = None
        self._demand = None
        self._stalled_at = None
        self._version = 0


def _is_free(report: model.RankReport) -> bool:
    """Tell whether nobody is about to switch a rank's map."""
    return report.is_open and report.armed is None and report.held is None
