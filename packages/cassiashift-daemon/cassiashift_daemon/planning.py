"""Sums expert counts on the leader and requests the planned maps."""

import asyncio
import operator
from typing import Any

import attrs

from cassiashift_core.balancing import maps
from cassiashift_core import CassiashiftError
from cassiashift_core import manifest
from cassiashift_core import mapswitch
from cassiashift_core import state
from cassiashift_daemon import coordination
from cassiashift_daemon import logs
from cassiashift_daemon import peers
from cassiashift_daemon import shared_state
from cassiashift_net import administration
from cassiashift_net import links
from cassiashift_net import messages

FIRST_MAP_REASON = 'the group has no map'


@attrs.define(eq=False)
class Planning:
    """Plans the map of each group once per window while this host leads.

    Attributes:
        window_s: length of a window, after which the counts start at 0.
        last_plans: skew and decision of each group's last window.
    """

    coordination: coordination.Coordination
    peers: peers.Peers
    holder: shared_state.SharedHolder
    window_s: float
    last_plans: dict[str, administration.LastPlan] = attrs.field(factory=dict)
    _windows: dict[str, list[list[int]]] = attrs.field(factory=dict)
    _planners: dict[str, Any] = attrs.field(factory=dict)

    def received(
        self, sender: links.Sender, message: messages.ExpertCounts
    ) -> None:
        """Add a rank's expert counts to the window of its group.

        Counts are dropped if they come from another host than the rank's,
        or do not have the group's layers and experts.
        """
        group = self.holder.view.group(message.group)
        host = self.coordination.host_of(message.group, message.rank)
        if group is None or self.peers.host_of(sender) != host:
            return
        if not _has_group_shape(group, message.tokens):
            return
        window = self._windows.setdefault(
            group.id, [[0] * group.experts for _ in range(group.layers)]
        )
        for total, row in zip(window, message.tokens, strict=True):
            total[:] = map(operator.add, total, row)

    async def run_forever(self) -> None:
        """Plan every group at the end of each window.

        A planner that fails is replaced in the next window.
        """
        while True:
            await asyncio.sleep(self.window_s)
            windows, self._windows = self._windows, {}
            for group_id in self.holder.view.ids('groups'):
                try:
                    await self._plan(group_id, windows.get(group_id))
                except Exception as exc:
                    self._planners.pop(group_id, None)
                    logs.error(
                        'planning_failed', group=group_id, error=repr(exc)
                    )

    async def _plan(
        self, group_id: str, window: list[list[int]] | None
    ) -> None:
        coordinator = self.coordination.find_idle_coordinator(group_id)
        if coordinator is None:
            self.last_plans.pop(group_id, None)
            return
        group = self.holder.view.group(group_id)
        current = coordinator.group_decisions.standing.current
        if current is None:
            self._request_first_map(group, coordinator)
        elif state.pause_target(group_id) in self.holder.drains:
            logs.info('group_paused', group=group_id)
        elif window is not None and _has_group_shape(group, window):
            await self._balance(group, window, current)

    def _request_first_map(
        self, group: manifest.Group, coordinator: mapswitch.Coordinator
    ) -> None:
        slots = {rank.id: rank.slots for rank in group.ranks}
        if set(slots) <= set(coordinator.roster.incarnations):
            wanted = maps.ExpertMap.evenly_spread(
                slots, group.experts, group.layers
            )
            self._request_switch(group.id, wanted, FIRST_MAP_REASON)

    async def _balance(
        self,
        group: manifest.Group,
        window: list[list[int]],
        current: mapswitch.MapEntry,
    ) -> None:
        planner = self._get_planner(group)
        loop = asyncio.get_running_loop()
        placed = maps.ExpertMap.from_bytes(current.body)
        outcome = await loop.run_in_executor(
            None, planner.decide, window, placed
        )
        self.last_plans[group.id] = administration.LastPlan(
            round(outcome.skew, 4), outcome.reason
        )
        logs.info(
            'group_planned',
            group=group.id,
            version=current.version,
            skew=round(outcome.skew, 4),
            reason=outcome.reason,
        )
        if outcome.wanted is not None:
            self._request_switch(group.id, outcome.wanted, outcome.reason)

    def _request_switch(
        self, group_id: str, wanted: maps.ExpertMap, reason: str
    ) -> None:
        try:
            self.coordination.request_map(group_id, wanted.to_bytes(), reason)
        except CassiashiftError as exc:
            logs.warning('switch_refused', group=group_id, error=str(exc))

    def _get_planner(self, group: manifest.Group) -> Any:
        """Return the planner of a group, a new one if the group has changed.

        It is imported here since the import loads numpy.
        """
        from cassiashift_daemon import planner

        existing = self._planners.get(group.id)
        if existing is None or existing.group != group:
            measures = self.holder.view.header().measures
            existing = planner.GroupPlanner.from_config(group, measures)
            self._planners[group.id] = existing
        return existing


def _has_group_shape(group: manifest.Group, tokens: Any) -> bool:
    """Return whether counts have a row per layer and a number per expert."""
    if len(tokens) != group.layers:
        return False
    return all(len(row) == group.experts for row in tokens)
