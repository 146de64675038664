"""Runs the coordinators of map switches beside a replica of the log.

The replica's calls only put events into a queue, which is handled on the
loop's next turn: a coordinator's effects never come back into the replica
while it carries out its own.
"""

import asyncio
import collections
import copy
import functools
import time
from typing import Any

import attrs
import msgspec

from cassiashift_core.balancing import maps
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import manifest
from cassiashift_core import mapswitch
from cassiashift_core import state
from cassiashift_daemon import logs
from cassiashift_daemon import peers
from cassiashift_daemon import shared_state
from cassiashift_daemon import voter
from cassiashift_net import links
from cassiashift_net import messages

TICK_INTERVAL_S = 0.05


@attrs.frozen
class _Standing:
    """The term that the replica led when the event was queued."""

    led_term: int | None


@attrs.frozen
class _Replaced:
    """The decisions of a state that has replaced the former one."""

    groups: dict[str, mapswitch.GroupDecisions]


@attrs.frozen
class _BarrierOfGroup:
    """A read barrier that a group's coordinator has asked for."""

    coordinator: mapswitch.Coordinator
    ticket: int


@attrs.define(eq=False)
class Coordination:
    """One coordinator for each group of the manifest."""

    voter: voter.Voter
    peers: peers.Peers
    holder: shared_state.SharedHolder
    coordinators: dict[str, mapswitch.Coordinator] = attrs.field(factory=dict)
    refusals: dict[str, CassiashiftError] = attrs.field(factory=dict)
    _machine: state.StateMachine | None = None
    _led_term: int | None = None
    _queue: collections.deque = attrs.field(factory=collections.deque)

    @classmethod
    def attached(
        cls,
        own_voter: voter.Voter,
        to_peers: peers.Peers,
        holder: shared_state.SharedHolder,
    ) -> 'Coordination':
        """Return coordinators that follow a voter."""
        found = cls(own_voter, to_peers, holder)
        found._machine = own_voter.machine
        own_voter.on_decision = found._put
        own_voter.on_advanced = found._advanced
        return found

    def tick(self) -> None:
        """Follow the manifest's groups and tell that time has passed."""
        self.drain()
        self._follow_groups()
        for group in list(self.coordinators):
            self._give(group, mapswitch.Tick())

    def received(self, sender: links.Sender, message: Any) -> None:
        """Take a report of a rank from the host that the rank runs on."""
        host = self.peers.host_of(sender)
        if host != self.host_of(message.group, message.rank):
            logs.warning(
                'report_refused',
                peer=host,
                group=message.group,
                rank=message.rank,
            )
            return
        self._give(message.group, mapswitch.Received(message))

    def request(self, group: str, event: Any) -> None:
        """Ask for a switch or a rollback.

        Raises:
            CassiashiftError: no switch was begun.
        """
        self.refusals.pop(group, None)
        if group not in self.coordinators:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, f'there is no group {group!r}'
            )
        self._give(group, event)
        refusal = self.refusals.pop(group, None)
        if refusal is not None:
            raise refusal

    def request_map(self, group: str, body: bytes, reason: str) -> None:
        """Ask for a switch to an encoded ``ExpertMap``.

        Raises:
            CassiashiftError: the map does not fit the group, or no switch
                was begun.
        """
        expected = self.holder.view.group(group)
        if expected is None:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, f'there is no group {group!r}'
            )
        ranks = _checked_ranks(expected, body)
        event = mapswitch.SwitchRequested(ranks, body, reason)
        self.request(group, event)

    def idle_leader(self, group: str) -> mapswitch.Coordinator | None:
        """Return a group's coordinator if it can begin a switch."""
        coordinator = self.coordinators.get(group)
        if coordinator is None or coordinator.state != 'idle':
            return None
        return coordinator

    def drain(self) -> None:
        """Handle the queued events in their order."""
        while self._queue:
            self._handle(self._queue.popleft())

    def _put(self, event: Any) -> None:
        if not self._queue:
            asyncio.get_running_loop().call_soon(self.drain)
        self._queue.append(event)

    def _advanced(self) -> None:
        if self.voter.machine is not self._machine:
            self._machine = self.voter.machine
            self._put(_Replaced(_copied(self._machine.groups)))
        self._put(_Standing(self.voter.led_term))

    @functools.singledispatchmethod
    def _handle(self, event: Any) -> None:
        raise TypeError(f'no such event: {type(event).__name__}')

    @_handle.register
    def _(self, event: mapswitch.DecisionCommitted) -> None:
        self._give(event.decision.group, event)

    @_handle.register
    def _(self, event: _Replaced) -> None:
        for group, decisions in event.groups.items():
            if group in self.coordinators:
                self._lose(group)
                self.coordinators[group].group_decisions = decisions
        self._led_term = None

    @_handle.register
    def _(self, event: _Standing) -> None:
        if event.led_term == self._led_term:
            return
        self._led_term = event.led_term
        for group in list(self.coordinators):
            self._lose(group)
            self._lead(group)

    @_handle.register
    def _(self, event: _BarrierOfGroup) -> None:
        group = event.coordinator.cfg.group
        if self.coordinators.get(group) is event.coordinator:
            self._give(group, mapswitch.BarrierPassed(event.ticket))

    def _follow_groups(self) -> None:
        wanted = self.holder.view.ids('groups')
        for group in set(self.coordinators) - wanted:
            del self.coordinators[group]
        for group in sorted(wanted - set(self.coordinators)):
            cfg = mapswitch.CoordinatorConfig(group)
            created = mapswitch.Coordinator.from_config(cfg)
            known = _copied(self.voter.machine.groups)
            created.group_decisions = known.get(group, created.group_decisions)
            self.coordinators[group] = created
            self._lead(group)

    def _lead(self, group: str) -> None:
        if self._led_term is not None:
            self._give(group, mapswitch.LeadershipGained(self._led_term))

    def _lose(self, group: str) -> None:
        if self.coordinators[group].leading:
            self._give(group, mapswitch.LeadershipLost())

    def _give(self, group: str, event: mapswitch.events.Event) -> None:
        coordinator = self.coordinators.get(group)
        if coordinator is None:
            return
        try:
            effects = coordinator.handle(event, time.monotonic())
        except Exception as exc:
            # The next tick makes a new one from the replicated state.
            del self.coordinators[group]
            logs.error('coordinator_failed', group=group, error=repr(exc))
            return
        for effect in effects:
            self._carry_out(effect, coordinator)

    @functools.singledispatchmethod
    def _carry_out(
        self, effect: Any, coordinator: mapswitch.Coordinator
    ) -> None:
        raise TypeError(f'no such effect: {type(effect).__name__}')

    @_carry_out.register
    def _(
        self,
        effect: mapswitch.SendToRank,
        coordinator: mapswitch.Coordinator,
    ) -> None:
        host = self.host_of(coordinator.cfg.group, effect.rank)
        if host is not None:
            data = messages.ORDERS.encode(effect.message)
            self.peers.send(host, messages.RankOrder(effect.rank, data))

    @_carry_out.register
    def _(
        self,
        effect: mapswitch.ProposeDecision,
        coordinator: mapswitch.Coordinator,
    ) -> None:
        data = state.CODEC.encode(effect.decision)
        loop = asyncio.get_running_loop()
        loop.call_soon(self.voter.propose_unanswered, data)

    @_carry_out.register
    def _(
        self,
        effect: mapswitch.ReadBarrier,
        coordinator: mapswitch.Coordinator,
    ) -> None:
        passed = _BarrierOfGroup(coordinator, effect.ticket)
        loop = asyncio.get_running_loop()
        loop.call_soon(self.voter.read, lambda: self._put(passed))

    @_carry_out.register
    def _(
        self,
        effect: mapswitch.SwitchRefused,
        coordinator: mapswitch.Coordinator,
    ) -> None:
        self.refusals[coordinator.cfg.group] = effect.error

    @_carry_out.register
    def _(
        self,
        effect: mapswitch.SwitchFinished,
        coordinator: mapswitch.Coordinator,
    ) -> None:
        logs.info(
            'switch_finished',
            group=coordinator.cfg.group,
            version=effect.version,
            committed=effect.committed,
            reason=effect.reason,
            duration_s=round(effect.duration_s, 3),
        )

    def host_of(self, group: str, rank: str) -> str | None:
        """Return the host of a rank's agent."""
        found = self.holder.view.group(group)
        ranks = found.ranks if found is not None else ()
        for item in ranks:
            if item.id == rank:
                upstream = self.holder.view.upstream(item.upstream)
                return upstream and upstream.host
        return None


def _checked_ranks(group: manifest.Group, body: bytes) -> tuple[str, ...]:
    """Return the ranks of a map that fits a group.

    Raises:
        CassiashiftError: with ``BAD_REQUEST`` for any other.
    """
    try:
        wanted = maps.ExpertMap.from_bytes(body)
    except msgspec.DecodeError as exc:
        raise CassiashiftError(ErrorCode.BAD_REQUEST, str(exc)) from exc
    problem = wanted.find_problem(group.experts, group.layers)
    if not set(wanted.ranks) <= {rank.id for rank in group.ranks}:
        problem = 'the map names a rank that the group does not have'
    if problem:
        raise CassiashiftError(ErrorCode.BAD_REQUEST, problem)
    return wanted.ranks


def _copied(
    groups: dict[str, mapswitch.GroupDecisions],
) -> dict[str, mapswitch.GroupDecisions]:
    return {group: copy.copy(item) for group, item in groups.items()}
