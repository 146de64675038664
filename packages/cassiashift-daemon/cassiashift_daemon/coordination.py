"""Runs the coordinators of map switches next to a replica of the log.

The voter's callbacks only append events to a queue, which is handled in the
next iteration of the event loop. So the effects of a coordinator never
re-enter the replica while the voter carries out the replica's effects.
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
class _LeadershipObserved:
    """The term that this host leads, or None, when the event was queued."""

    led_term: int | None


@attrs.frozen
class _StateReplaced:
    """The decisions of a snapshot that has replaced the applied state."""

    groups: dict[str, mapswitch.GroupDecisions]


@attrs.frozen
class _BarrierReady:
    """A read barrier that a coordinator asked for has passed."""

    coordinator: mapswitch.Coordinator
    ticket: int


@attrs.define(eq=False)
class Coordination:
    """Runs one coordinator for each group of the manifest.

    Attributes:
        coordinators: by group.
        refusals: error of the last refused request, by group, until
            ``request`` raises it.
    """

    voter: voter.Voter
    peers: peers.Peers
    holder: shared_state.SharedHolder
    coordinators: dict[str, mapswitch.Coordinator] = attrs.field(factory=dict)
    refusals: dict[str, CassiashiftError] = attrs.field(factory=dict)
    _machine: state.StateMachine | None = None
    _led_term: int | None = None
    _queue: collections.deque = attrs.field(factory=collections.deque)

    @classmethod
    def attach_to(
        cls,
        own_voter: voter.Voter,
        to_peers: peers.Peers,
        holder: shared_state.SharedHolder,
    ) -> 'Coordination':
        """Return a coordination that is called back by a voter."""
        created = cls(own_voter, to_peers, holder)
        created._machine = own_voter.machine
        own_voter.on_decision = created._enqueue
        own_voter.on_advanced = created._voter_advanced
        return created

    def tick(self) -> None:
        """Handle queued events, match the manifest's groups, run timeouts."""
        self.handle_queued()
        self._match_groups()
        for group in list(self.coordinators):
            self._handle_by_group(group, mapswitch.Tick())

    def received(self, sender: links.Sender, message: Any) -> None:
        """Pass a rank's report to the coordinator of its group.

        A report from a host that the rank does not run on is dropped.
        """
        host = self.peers.host_of(sender)
        if host != self.host_of(message.group, message.rank):
            logs.warning(
                'report_refused',
                peer=host,
                group=message.group,
                rank=message.rank,
            )
            return
        self._handle_by_group(message.group, mapswitch.Received(message))

    def request(self, group: str, event: Any) -> None:
        """Request a switch or a rollback.

        Raises:
            CassiashiftError: there is no such group, or its coordinator has
                refused the request.
        """
        self.refusals.pop(group, None)
        if group not in self.coordinators:
            # The group may have been committed since the last tick.
            self._match_groups()
        if group not in self.coordinators:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, f'there is no group {group!r}'
            )
        self._handle_by_group(group, event)
        refusal = self.refusals.pop(group, None)
        if refusal is not None:
            raise refusal

    def request_map(self, group: str, body: bytes, reason: str) -> None:
        """Request a switch to an encoded ``ExpertMap``.

        Raises:
            CassiashiftError: the map does not fit the group, or no switch
                could be begun.
        """
        expected = self.holder.view.group(group)
        if expected is None:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, f'there is no group {group!r}'
            )
        ranks = _decode_ranks(expected, body)
        event = mapswitch.SwitchRequested(ranks, body, reason)
        self.request(group, event)

    def find_idle_coordinator(
        self, group: str
    ) -> mapswitch.Coordinator | None:
        """Return a group's coordinator if it leads and no switch runs.

        Its state ``idle`` means just that; in any other state None is
        returned.
        """
        coordinator = self.coordinators.get(group)
        if coordinator is None or coordinator.state != 'idle':
            return None
        return coordinator

    def handle_queued(self) -> None:
        """Handle the queued events, oldest first."""
        while self._queue:
            self._handle(self._queue.popleft())

    def _enqueue(self, event: Any) -> None:
        if not self._queue:
            asyncio.get_running_loop().call_soon(self.handle_queued)
        self._queue.append(event)

    def _voter_advanced(self) -> None:
        if self.voter.machine is not self._machine:
            self._machine = self.voter.machine
            self._enqueue(
                _StateReplaced(_copy_decisions(self._machine.groups))
            )
        self._enqueue(_LeadershipObserved(self.voter.led_term))

    @functools.singledispatchmethod
    def _handle(self, event: Any) -> None:
        raise TypeError(f'unknown event: {type(event).__name__}')

    @_handle.register
    def _(self, event: mapswitch.DecisionCommitted) -> None:
        self._handle_by_group(event.decision.group, event)

    @_handle.register
    def _(self, event: _StateReplaced) -> None:
        for group, decisions in event.groups.items():
            if group in self.coordinators:
                self._lose_leadership(group)
                self.coordinators[group].group_decisions = decisions
        self._led_term = None

    @_handle.register
    def _(self, event: _LeadershipObserved) -> None:
        if event.led_term == self._led_term:
            return
        self._led_term = event.led_term
        for group in list(self.coordinators):
            self._lose_leadership(group)
            self._gain_leadership(group)

    @_handle.register
    def _(self, event: _BarrierReady) -> None:
        group = event.coordinator.cfg.group
        if self.coordinators.get(group) is event.coordinator:
            self._handle_by_group(group, mapswitch.BarrierPassed(event.ticket))

    def _match_groups(self) -> None:
        wanted = self.holder.view.ids('groups')
        for group in set(self.coordinators) - wanted:
            del self.coordinators[group]
        for group in sorted(wanted - set(self.coordinators)):
            cfg = mapswitch.CoordinatorConfig(group)
            created = mapswitch.Coordinator.from_config(cfg)
            decided = _copy_decisions(self.voter.machine.groups)
            created.group_decisions = decided.get(
                group, created.group_decisions
            )
            self.coordinators[group] = created
            self._gain_leadership(group)

    def _gain_leadership(self, group: str) -> None:
        if self._led_term is not None:
            self._handle_by_group(
                group, mapswitch.LeadershipGained(self._led_term)
            )

    def _lose_leadership(self, group: str) -> None:
        if self.coordinators[group].leading:
            self._handle_by_group(group, mapswitch.LeadershipLost())

    def _handle_by_group(
        self, group: str, event: mapswitch.events.Event
    ) -> None:
        coordinator = self.coordinators.get(group)
        if coordinator is None:
            return
        try:
            effects = coordinator.handle(event, time.monotonic())
        except Exception as exc:
            # The next tick creates a new coordinator from the replicated
            # state.
            del self.coordinators[group]
            logs.error('coordinator_failed', group=group, error=repr(exc))
            return
        for effect in effects:
            self._carry_out(effect, coordinator)

    @functools.singledispatchmethod
    def _carry_out(
        self, effect: Any, coordinator: mapswitch.Coordinator
    ) -> None:
        raise TypeError(f'unknown effect: {type(effect).__name__}')

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
        passed = _BarrierReady(coordinator, effect.ticket)
        loop = asyncio.get_running_loop()
        loop.call_soon(self.voter.read, lambda: self._enqueue(passed))

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
        """Return the host of a rank's upstream; None for an unknown rank."""
        expected = self.holder.view.group(group)
        ranks = expected.ranks if expected is not None else ()
        for item in ranks:
            if item.id == rank:
                upstream = self.holder.view.upstream(item.upstream)
                return upstream and upstream.host
        return None


def _decode_ranks(group: manifest.Group, body: bytes) -> tuple[str, ...]:
    """Decode a map, check it against its group and return its ranks.

    Raises:
        CassiashiftError: with ``BAD_REQUEST``; the map is malformed or does
            not fit the group.
    """
    try:
        expert_map = maps.ExpertMap.from_bytes(body)
    except msgspec.DecodeError as exc:
        raise CassiashiftError(ErrorCode.BAD_REQUEST, str(exc)) from exc
    problem = expert_map.find_problem(group.experts, group.layers)
    if not set(expert_map.ranks) <= {rank.id for rank in group.ranks}:
        problem = 'the map names a rank that the group does not have'
    if problem:
        raise CassiashiftError(ErrorCode.BAD_REQUEST, problem)
    return expert_map.ranks


def _copy_decisions(
    groups: dict[str, mapswitch.GroupDecisions],
) -> dict[str, mapswitch.GroupDecisions]:
    return {group: copy.copy(item) for group, item in groups.items()}
