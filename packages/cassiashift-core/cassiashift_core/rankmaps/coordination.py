"""Selects the agent that coordinates a group and runs its map switches.

The agent with the lowest rank whose beacons arrive is the coordinator. Two
coordinators at the same time are safe (see ``switch``), so beacons with a
time-out are enough to select one.
"""

import attrs

from cassiashift_core.rankmaps import deltas
from cassiashift_core.rankmaps import demand
from cassiashift_core.rankmaps import holding
from cassiashift_core.rankmaps import leads
from cassiashift_core.rankmaps import messages
from cassiashift_core.rankmaps import model
from cassiashift_core.rankmaps import planning
from cassiashift_core.rankmaps import pressure
from cassiashift_core.rankmaps import recovery
from cassiashift_core.rankmaps import slowdowns
from cassiashift_core.rankmaps import switch
from cassiashift_core.rankmaps import waiting

BEACON_INTERVAL_S = 0.25
# Two beacons may be lost before the next rank takes over.
BEACON_TIMEOUT_S = 0.8
# Added to the time-out for each rank, so that ranks take over one by one.
BEACON_STAGGER_S = 0.2
STATUS_TIMEOUT_S = 1.6
# A recovery may use the last status of a silent agent up to this age.
MAX_STATUS_AGE_S = 15.0
PLAN_INTERVAL_S = 0.25
# Choices per set and expert needed for a meaningful plan.
MIN_CHOICES_PER_EXPERT = 4.0
# Covers the map in use, the prepared one and those of aborted switches.
MAX_KEPT_MAPS = 8


@attrs.define
class Coordinator:
    """Plans and runs the map switches of the group that a rank belongs to.

    Every agent of the group has one; only the coordinator's starts switches.

    Attributes:
        own_report: the newest report of this agent's engine.
        host: this agent's host.
        shape: sizes of the group; None until the configuration arrives.
        hosts: host of the agent of each rank.
        version_skip: versions, as multiples of the size of the group, that
            the first one is above those in reports. To be drawn at random at
            each start: an order of an earlier start may still take effect.
        plan: the newest plan that led to a switch.
        skew: load of the hottest rank against the mean, times its slowdown,
            when a plan was last made; 0 before the first one.
        switches: switches started here.
        slow_ranks: slowdowns of the ranks whose statuses arrive here.
        lead: how far ahead the next switch holds a pass.
    """

    own_report: model.RankReport
    host: str
    shape: model.GroupShape | None = None
    hosts: dict[int, str] = attrs.field(factory=dict)
    version_skip: int = 0
    plan: planning.Plan | None = None
    skew: float = 0.0
    switches: int = 0
    slow_ranks: slowdowns.SlowRanks = attrs.field(factory=slowdowns.SlowRanks)
    lead: leads.SwitchLead = attrs.field(factory=leads.SwitchLead)
    _statuses: dict[int, tuple[float, messages.RankStatus]] = attrs.field(
        factory=dict
    )
    _active: switch.Switch | recovery.Recovery | None = None
    _demand: demand.Demand | None = None
    _beacon_received_at: float | None = None
    _known_maps: dict[int, model.ExpertLists] = attrs.field(factory=dict)
    _planned_at: float = 0.0
    _last_version: int = 0
    _waiting: waiting.WaitingGroup = attrs.field(factory=waiting.WaitingGroup)
    _held_steps: holding.HeldSteps = attrs.field(init=False)
    _changes: deltas.Changes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Avoid the passes that an earlier process may have held."""
        self._changes = deltas.Changes(self.host)
        self._held_steps = holding.HeldSteps.from_report(self.own_report)

    @property
    def active(self) -> switch.Switch | recovery.Recovery | None:
        """Return the switch or recovery in progress, or None."""
        return self._active

    def record_own_report(self, report: model.RankReport, now: float) -> None:
        """Record the report of this rank; a new epoch resets the state."""
        if (report.group, report.epoch) != (
            self.own_report.group,
            self.own_report.epoch,
        ):
            self._forget_group(report)
        self.own_report = report
        self.hosts[report.rank] = self.host
        if self._beacon_received_at is None:
            self._beacon_received_at = now
        if self._active is not None:
            self._active.record_report(report, now)

    def handle_beacon(self, message: messages.GroupBeacon, now: float) -> bool:
        """Record a beacon; return whether its sender coordinates this group.

        A beacon of another group, or one of a higher rank while this agent
        coordinates, is ignored.
        """
        if message.group != self.own_report.group:
            return False
        if message.rank > self.own_report.rank and self.coordinates(now):
            return False
        self._beacon_received_at = now
        self.hosts[message.rank] = message.host
        return True

    def coordinates(self, now: float) -> bool:
        """Return whether this agent is the coordinator.

        Rank 0 always is; another rank is once the beacons have timed out.
        """
        if self.own_report.rank == 0:
            return True
        if self._beacon_received_at is None:
            return False
        timeout_s = BEACON_TIMEOUT_S + BEACON_STAGGER_S * self.own_report.rank
        return now - self._beacon_received_at > timeout_s

    def keep_prepared_map(self, order: model.Order) -> None:
        """Keep the map of an order to prepare for this agent's engine."""
        if order.kind is model.OrderKind.PREPARE:
            self._known_maps[order.version] = order.lists
            while len(self._known_maps) > MAX_KEPT_MAPS:
                del self._known_maps[min(self._known_maps)]

    def as_change(self, order: model.Order) -> deltas.MapChange | None:
        """Return an order to prepare a map as a change of the one in use.

        Returns None for other orders, and if the map in use is not known.
        """
        if order.kind is not model.OrderKind.PREPARE:
            return None
        base = self.own_report.map_version
        base_lists = self._known_maps.get(base)
        if base_lists is None and base == 0 and self.shape is not None:
            base_lists = model.first_map(self.shape)
        if base_lists is None:
            return None
        return self._changes.change(order, base, base_lists)

    def complete(self, message: deltas.MapChange) -> model.Order | None:
        """Return the order with the whole map; None if it can't be restored.

        Versions are counted anew in each epoch, so that a base of another
        epoch may be another map.
        """
        if message.order.epoch != self.own_report.epoch:
            return None
        base_lists = self._known_maps.get(message.base)
        return deltas.complete(message, base_lists)

    def handle_status(self, message: messages.RankStatus, now: float) -> None:
        """Record the status of a rank.

        A status of another group or of an earlier epoch is ignored.
        """
        report = message.report
        if (
            report.group != self.own_report.group
            or report.epoch < self.own_report.epoch
        ):
            return
        previous = self._statuses.get(report.rank)
        if not message.lists and previous is not None:
            old = previous[1]
            if old.report.map_version == report.map_version:
                message = attrs.evolve(message, lists=old.lists)
        self.hosts[report.rank] = message.host
        self._statuses[report.rank] = (now, message)
        self.slow_ranks.record(message.host, report.slowdown, now)
        if report.running or report.queued:
            self.lead.record_report(report.step, now)
        if message.choices is not None and self.shape is not None:
            if self._demand is None:
                self._demand = demand.Demand(
                    self.shape.sets, self.shape.experts
                )
            self._demand.add(message.choices.counts(), now)
        if self._active is not None:
            self._active.record_report(report, now)

    def orders(self, now: float) -> list[model.Order]:
        """Return the orders to send now; may start or end a switch."""
        if self._active is not None and self._active.is_over:
            self._finish_active(now)
        if self._active is None:
            self._start_next(now)
        return [] if self._active is None else self._active.orders(now)

    def ranks_to_poll(self, now: float) -> list[int]:
        """Return the ranks whose engines are to be read without their agents.

        While the passes are stalled or one is held for too long, these are
        the ranks without a recent status: one of them may hold the pass.
        """
        group = self._waiting
        if not group.is_stalled(now) and not group.has_old_hold(now):
            return []
        reports = self._recent_reports(now, STATUS_TIMEOUT_S)
        return [rank for rank in self.hosts if rank not in reports]

    def last_report(self, rank: int) -> model.RankReport | None:
        """Return the newest report of a rank, or None."""
        status = self._statuses.get(rank)
        return None if status is None else status[1].report

    def slow_ranks_to_announce(self, now: float) -> slowdowns.Rows | None:
        """Return the slow ranks if entries are to be told now, or None."""
        if not self.coordinates(now):
            self.slow_ranks.stop_announcing()
            return None
        self.slow_ranks.update(self.own_report.size, now)
        return self.slow_ranks.rows_to_announce(now)

    def _start_next(self, now: float) -> None:
        """Start a due recovery or switch if this agent coordinates."""
        reports = self._recent_reports(now, STATUS_TIMEOUT_S)
        own = self.own_report
        known = {own.rank: own} | reports
        self._waiting.record_reports(known.values(), own.is_open, now)
        if not self.coordinates(now):
            return
        step = self._waiting.step_to_recover(now)
        if step is not None:
            self._start_recovery(step, reports, now)
            return
        is_stalled = self._waiting.is_stalled(now)
        if len(reports) != self.own_report.size or is_stalled:
            return
        if now - self._planned_at >= PLAN_INTERVAL_S:
            self._planned_at = now
            self._try_switch(reports, now)

    def _recent_reports(
        self, now: float, max_age_s: float
    ) -> dict[int, model.RankReport]:
        """Return the reports of this epoch up to an age, by rank."""
        return {
            rank: message.report
            for rank, (received_at, message) in self._statuses.items()
            if now - received_at <= max_age_s
            and message.report.epoch == self.own_report.epoch
        }

    def _start_recovery(
        self, step: int, reports: dict[int, model.RankReport], now: float
    ) -> None:
        """Start a recovery of a held pass.

        Every rank must have a recent status, except that of a lost
        coordinator.
        """
        lists = self._current_lists(
            self._recent_reports(now, MAX_STATUS_AGE_S)
        )
        lost_rank = self._lost_coordinator(reports)
        is_state_known = (
            len(reports) == self.own_report.size or lost_rank is not None
        )
        if lists is None or not is_state_known:
            return
        guard = self._guard_rank(step, reports)
        if guard is None:
            return
        self._waiting.restart()
        self._held_steps.record_hold(step)
        self._active = recovery.Recovery(
            epoch=self.own_report.epoch,
            size=self.own_report.size,
            guard_rank=guard,
            version=self._next_version(reports),
            lists=lists,
            step=step,
            reports=reports,
            started_at=now,
            unreachable_rank=lost_rank,
        )

    def _guard_rank(
        self, step: int, reports: dict[int, model.RankReport]
    ) -> int | None:
        """Return the rank at which a recovery is to hold a pass.

        A switch that ranks are armed for may have sent an order to release
        the pass at its own hold's rank, which would release the guard as
        well. That rank is used only if all ranks report and no other is left.
        Returns None if there is no rank to use yet.

        A rank is preferred that has no hold and is unlikely to have had one.
        Switches hold passes at low ranks, next to the coordinator's; each
        agent begins with another one of the high ranks.
        """
        size = self.own_report.size
        coordinator = self._coordinator_rank(reports)
        released = {
            switch.hold_rank(report.armed.version % size, size)
            for report in reports.values()
            if report.armed is not None and report.armed.step == step
        }

        def preference(rank: int) -> tuple[bool, bool, bool, int]:
            return (
                rank in released,
                reports[rank].held is not None,
                rank == coordinator,
                (size - 1 - self.own_report.rank - rank) % size,
            )

        guard = min(
            (
                rank
                for rank, report in reports.items()
                if report.held in (None, step)
            ),
            key=preference,
        )
        is_missing = len(reports) != size
        return None if is_missing and guard in released else guard

    def _lost_coordinator(
        self, reports: dict[int, model.RankReport]
    ) -> int | None:
        """Return the unreachable rank if it coordinated the stalled switch.

        Returns None if more than one pass is held: a second hold belongs to
        another recovery, which may have disarmed ranks.
        """
        missing = set(range(self.own_report.size)) - reports.keys()
        held = [
            rank for rank, item in reports.items() if item.held is not None
        ]
        if len(missing) != 1 or len(held) != 1:
            return None
        (rank,) = missing
        is_coordinator = rank == self._coordinator_rank(reports)
        return rank if is_coordinator else None

    def _coordinator_rank(
        self, reports: dict[int, model.RankReport]
    ) -> int | None:
        """Return the coordinator whose versions the ranks report.

        Returns None if they come from several coordinators or from none.
        """
        versions = {
            version % self.own_report.size
            for report in reports.values()
            for version in (report.prepared, report.newest_version)
            if version
        }
        return versions.pop() if len(versions) == 1 else None

    def _try_switch(
        self, reports: dict[int, model.RankReport], now: float
    ) -> None:
        """Start a switch if a new map gains enough."""
        lists = self._current_lists(reports)
        if lists is None or self.shape is None or self._demand is None:
            return
        if not all(map(_can_switch, reports.values())):
            return
        if not self._may_hold(reports):
            return
        if not self._demand.fits(self.shape.sets, self.shape.experts):
            self._demand = None
            return
        pairs = self.shape.sets * self.shape.experts
        if self._demand.total < MIN_CHOICES_PER_EXPERT * pairs:
            return
        loads = self._demand.loads
        utilisation = self._utilisation(reports)
        self.slow_ranks.update(self.own_report.size, now)
        ratios = [
            self.slow_ranks.ratio(self.hosts[rank]) for rank in sorted(reports)
        ]
        new_plan = planning.plan(lists, loads, self.shape, utilisation, ratios)
        self.skew = new_plan.before
        load_pressure = pressure.pressure(
            self.shape, utilisation, new_plan.before
        )
        if new_plan.gain < planning.min_gain(load_pressure):
            return
        self.plan = new_plan
        self.switches += 1
        self._active = switch.Switch(
            epoch=self.own_report.epoch,
            size=self.own_report.size,
            own_rank=self.own_report.rank,
            version=self._next_version(reports),
            lists=new_plan.lists,
            previous_lists=lists,
            started_at=now,
            held_steps=self._held_steps,
            lead=self.lead.steps(),
        )

    def _may_hold(self, reports: dict[int, model.RankReport]) -> bool:
        """Return whether a switch may hold a pass that none has held."""
        own = self.own_report
        self._held_steps.record_versions(reports.values(), own.rank, own.size)
        newest_step = max(report.step for report in reports.values())
        return self._held_steps.may_hold(newest_step)

    def _utilisation(self, reports: dict[int, model.RankReport]) -> float:
        """Return the share of the group's slots in use, 0 to 1."""
        slots = self.shape.slots * len(reports)
        running = sum(report.running for report in reports.values())
        return min(1.0, running / slots) if slots else 1.0

    def _current_lists(
        self, reports: dict[int, model.RankReport]
    ) -> model.ExpertLists | None:
        """Return the map in use.

        Returns None if the ranks disagree on its version or if its content
        is not known here.
        """
        versions = {report.map_version for report in reports.values()}
        if len(versions) != 1:
            return None
        version = versions.pop()
        if version in self._known_maps:
            return self._known_maps[version]
        rows = [self._statuses[rank][1].lists for rank in sorted(reports)]
        if len(rows) == self.own_report.size and all(rows):
            return tuple(zip(*rows, strict=True))
        if version == 0 and self.shape is not None:
            return model.first_map(self.shape)
        return None

    def _next_version(self, reports: dict[int, model.RankReport]) -> int:
        size = self.own_report.size
        floor = self._last_version
        if not floor:
            newest = max(item.newest_version for item in reports.values())
            floor = newest + self.version_skip * size
        self._last_version = model.version_after(
            reports.values(), self.own_report.rank, size, floor
        )
        return self._last_version

    def _finish_active(self, now: float) -> None:
        self._last_version = max(
            self._last_version, self._active.highest_version
        )
        if isinstance(self._active, switch.Switch) and self._active.arming_s:
            self.lead.record_arming(self._active.arming_s)
        self._active = None
        self._waiting.restart()
        self._planned_at = now

    def _forget_group(self, report: model.RankReport) -> None:
        """Reset the state for a new formation of the group.

        Callers ask for the same experts after it as before: the demand is
        kept if the group has the same name and size, so that the first plan
        need not wait for new choices.
        """
        self._statuses.clear()
        self.hosts.clear()
        self._known_maps.clear()
        self._active = None
        old = self.own_report
        if (report.group, report.size) != (old.group, old.size):
            self._demand = None
            if self.shape is not None:
                self.shape = attrs.evolve(self.shape, ranks=report.size)
        elif self._demand is not None:
            self._demand.skip_time()
        self._waiting = waiting.WaitingGroup()
        self._last_version = 0
        self.lead.restart()
        # This agent has given no order in the new epoch yet.
        self._held_steps = holding.HeldSteps()


def _can_switch(report: model.RankReport) -> bool:
    """Return whether a rank is open, not armed and holds no pass."""
    return report.is_open and report.armed is None and report.held is None
