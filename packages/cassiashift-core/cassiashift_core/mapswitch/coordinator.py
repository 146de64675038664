"""State machine that coordinates the map switches of one group.

It runs on every host that may become leader. Only the leader acts; the
others apply the log, so that each of them can take over.
"""

import functools

import attrs

from cassiashift_core import charts
from cassiashift_core import errors
from cassiashift_core.mapswitch import decisions
from cassiashift_core.mapswitch import events
from cassiashift_core.mapswitch import messages
from cassiashift_core.mapswitch import orders
from cassiashift_core.mapswitch import rosters
from cassiashift_core.mapswitch import settings

_PROPOSING_STATES = ('opening', 'committing', 'aborting')
_OUTCOME_PENDING_STATES = ('committing', 'aborting')


@attrs.define(slots=False, eq=False)
class Coordinator:
    """Switches a group from one map to the next, a switch at a time.

    Attributes:
        group_decisions: state after the applied entries of the log.
        term: term of the leadership, also the first part of each fence.
        reason: why the current switch was requested or given up.
        proposal: proposed entry that the log has not committed yet.
        roster: how far each rank is in the open switch.
        unacknowledged: ranks that have not acknowledged the last outcome.
        round: number of the arm round, from one; zero before the first.
        step: first step of the new map as ordered in this round.
    """

    cfg: settings.CoordinatorConfig
    group_decisions: decisions.GroupDecisions = attrs.field(
        factory=decisions.GroupDecisions
    )
    term: int = 0
    reason: str = ''
    proposal: decisions.Decision | None = None
    roster: rosters.Roster = attrs.field(factory=rosters.Roster)
    unacknowledged: set[str] = attrs.field(factory=set)
    round: int = 0
    step: int = 0
    _lead_steps: int = 0
    _highest_step: int = -1
    _deferred_asks: dict[str, messages.Ask] = attrs.field(factory=dict)
    _asks_by_ticket: dict[int, messages.Ask] = attrs.field(factory=dict)
    _last_ticket: int = 0
    _switch_started_at: float = 0.0
    _phase_started_at: float = 0.0
    _last_sent_at: float = float('-inf')
    _now: float = 0.0
    _effects: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, cfg: settings.CoordinatorConfig) -> 'Coordinator':
        """Return a coordinator in the state ``standby``."""
        machine = cls(cfg)
        _chart().bind(machine)
        return machine

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handle an event and return the effects that the caller runs."""
        self._effects = []
        self._now = now
        self._on_event(event)
        return self._effects

    @property
    def leading(self) -> bool:
        """Whether this host acts as leader; it may have been deposed."""
        return self.state != 'standby'

    @functools.singledispatchmethod
    def _on_event(self, event: events.Event) -> None:
        """Ignore events that only ranks handle."""

    @_on_event.register
    def _(self, event: events.LeadershipGained) -> None:
        self.follow()
        self._clear_switch()
        self.term = event.term
        self.reason = 'the coordinator has changed'
        self._switch_started_at = self._now
        self.unacknowledged = (
            self.group_decisions.known_ranks - self.roster.gone
        )
        self.lead()
        self._send_decided()

    @_on_event.register
    def _(self, event: events.LeadershipLost) -> None:
        self.follow()
        self._clear_switch()
        self._deferred_asks = {}
        self._asks_by_ticket = {}
        self.unacknowledged = set()

    @_on_event.register
    def _(self, event: events.SwitchRequested) -> None:
        if self.state != 'idle':
            self._refuse_request()
            return
        self.reason = event.reason
        self._switch_started_at = self._now
        self.proposal = decisions.Decision(
            group=self.cfg.group,
            kind=decisions.DecisionKind.OPEN,
            version=self.group_decisions.next_version,
            term=self.term,
            ranks=event.ranks,
            body=event.body,
            reason=event.reason,
        )
        self.request()

    @_on_event.register
    def _(self, event: events.RollbackRequested) -> None:
        previous = self.group_decisions.standing.former
        if previous is None:
            self._emit_refusal(
                errors.ErrorCode.NOT_FOUND, 'no previous map to roll back to'
            )
            return
        self._on_event(
            events.SwitchRequested(
                ranks=previous.ranks, body=previous.body, reason=event.reason
            )
        )

    @_on_event.register
    def _(self, event: events.RankGone) -> None:
        if not self.roster.record_gone(event.rank, event.incarnation):
            return
        self.unacknowledged.discard(event.rank)
        opened = self.group_decisions.opened
        if opened is not None and event.rank in opened.ranks:
            self._abandon(f'rank {event.rank} is gone')
            return
        self._check_armed()

    @_on_event.register
    def _(self, event: events.DecisionCommitted) -> None:
        if event.decision.group != self.cfg.group:
            return
        accepted = self.group_decisions.apply(event.decision, event.index)
        if not self.leading:
            return
        if event.decision.kind is decisions.DecisionKind.OPEN:
            self._handle_open(event.decision, accepted)
        elif accepted:
            self._handle_outcome(event.decision)
        elif event.decision == self.proposal:
            self.give_up()

    @_on_event.register
    def _(self, event: events.BarrierPassed) -> None:
        ask = self._asks_by_ticket.pop(event.ticket, None)
        if ask is None or not self.leading:
            return
        if self.state in _OUTCOME_PENDING_STATES:
            self._deferred_asks[ask.rank] = ask
            return
        self._send_order(
            ask.rank,
            orders.make_answer(ask, self.group_decisions, self._fence()),
        )

    @_on_event.register
    def _(self, event: events.Tick) -> None:
        if not self.leading:
            return
        self._check_timeout()
        if self._now - self._last_sent_at < self.cfg.resend_interval_s:
            return
        self._resend()

    @_on_event.register
    def _(self, event: events.Received) -> None:
        if self.leading:
            self._receive(event.message)

    @functools.singledispatchmethod
    def _receive(self, message: messages.Report) -> None:
        """Ignore messages that are not reports."""

    @_receive.register
    def _(self, message: messages.Staged) -> None:
        self._highest_step = max(self._highest_step, message.step)
        if self.state != 'staging' or message.version != self._open_version():
            return
        self.roster.staged[message.rank] = message
        if set(self.group_decisions.opened.ranks) <= set(self.roster.staged):
            self.all_staged()

    @_receive.register
    def _(self, message: messages.StageFailed) -> None:
        if message.version == self._open_version():
            self._abandon(f'rank {message.rank}: {message.reason}')

    @_receive.register
    def _(self, message: messages.Armed) -> None:
        if self.state != 'arming' or message.version != self._open_version():
            return
        if message.round != self.round or message.step != self.step:
            return
        if self.roster.has_restarted(message.rank, message.incarnation):
            self._abandon(f'rank {message.rank} has restarted')
            return
        self.roster.armed[message.rank] = message.incarnation
        self._check_armed()

    @_receive.register
    def _(self, message: messages.ArmRefused) -> None:
        self._highest_step = max(self._highest_step, message.step)
        if self.state != 'arming' or message.version != self._open_version():
            return
        if message.round != self.round:
            return
        if (
            message.rank in self.group_decisions.opened.ranks
            and not message.staged
        ):
            self._abandon(f'rank {message.rank} no longer has the weights')
        elif self.round >= self.cfg.max_rounds:
            self._abandon(
                f'rank {message.rank} refused to arm in the last round'
            )
        else:
            self.next_round()

    @_receive.register
    def _(self, message: messages.Acknowledged) -> None:
        self.roster.incarnations[message.rank] = message.incarnation
        if message.index >= self.group_decisions.standing.index:
            self.unacknowledged.discard(message.rank)

    @_receive.register
    def _(self, message: messages.Ask) -> None:
        self.roster.record_alive(message.rank, message.incarnation)
        if self.roster.has_restarted(message.rank, message.incarnation):
            self._abandon(f'rank {message.rank} has restarted')
        if self.state in _OUTCOME_PENDING_STATES:
            self._deferred_asks[message.rank] = message
            return
        self._request_barrier(message)

    def _request_barrier(self, ask: messages.Ask) -> None:
        self._last_ticket += 1
        self._asks_by_ticket[self._last_ticket] = ask
        self._effects.append(events.ReadBarrier(self._last_ticket))

    def _handle_open(
        self, decision: decisions.Decision, accepted: bool
    ) -> None:
        if accepted and decision == self.proposal:
            self.opened()
        elif accepted:
            if self.state == 'opening':
                self._refuse_request()
            self.reason = 'opened by a previous coordinator'
            self.found_foreign()
        elif self.state == 'opening' and decision == self.proposal:
            self._refuse_request()
            self.open_refused()

    def _handle_outcome(self, decision: decisions.Decision) -> None:
        committed = decision.kind is decisions.DecisionKind.COMMIT
        self._effects.append(
            events.SwitchFinished(
                version=decision.version,
                committed=committed,
                reason='' if committed else decision.reason,
                duration_s=self._now - self._switch_started_at,
            )
        )
        self.unacknowledged = self.group_decisions.known_ranks | set(
            self.roster.staged
        )
        self.unacknowledged -= self.roster.gone
        self._clear_switch()
        self.closed()
        self._send_decided()
        for ask in self._deferred_asks.values():
            self._request_barrier(ask)
        self._deferred_asks = {}

    def _check_armed(self) -> None:
        if self.state != 'arming':
            return
        if self._ranks_to_arm() <= set(self.roster.armed):
            self.all_armed()

    def _ranks_to_arm(self) -> set[str]:
        """Return the ranks of the old and the new map that are not gone."""
        opened = self.group_decisions.opened
        return (
            set(opened.ranks) | set(self.group_decisions.current_ranks)
        ) - self.roster.gone

    def _check_timeout(self) -> None:
        waited_s = self._now - self._phase_started_at
        if self.state == 'staging' and waited_s > self.cfg.stage_timeout_s:
            missing = sorted(
                set(self.group_decisions.opened.ranks)
                - set(self.roster.staged)
            )
            self._abandon(f'ranks did not stage in time: {", ".join(missing)}')
        elif self.state == 'arming' and waited_s > self.cfg.arm_timeout_s:
            self._abandon('ranks did not arm in time')

    def _resend(self) -> None:
        self._last_sent_at = self._now
        if self.state in _PROPOSING_STATES and self.proposal is not None:
            self._effects.append(events.ProposeDecision(self.proposal))
        elif self.state == 'staging':
            self._send_stage()
        elif self.state == 'arming':
            self._send_arm()
        self._send_decided()

    def _abandon(self, reason: str) -> None:
        if self.state not in ('staging', 'arming'):
            return
        self.reason = reason
        self.give_up()

    def _refuse_request(self) -> None:
        if not self.leading:
            self._emit_refusal(
                errors.ErrorCode.NOT_LEADER,
                'this host does not lead the group',
            )
            return
        self._emit_refusal(
            errors.ErrorCode.CONFLICT,
            'another switch of the group is in progress',
        )

    def _emit_refusal(self, code: errors.ErrorCode, text: str) -> None:
        error = errors.CassiashiftError(code, text)
        self._effects.append(events.SwitchRefused(error))

    def _open_version(self) -> int | None:
        return (
            self.group_decisions.opened and self.group_decisions.opened.version
        )

    def _fence(self) -> messages.Fence:
        index = max(
            self.group_decisions.opened_index,
            self.group_decisions.standing.index,
        )
        return messages.Fence(self.term, index)

    def _clear_switch(self) -> None:
        self.roster.forget_switch()
        self.proposal = None
        self.round = 0

    def _send_order(self, rank: str, message: messages.Order) -> None:
        self._effects.append(events.SendToRank(rank, message))

    def _send_stage(self) -> None:
        order = orders.make_stage(self.group_decisions, self._fence())
        for rank in self.group_decisions.opened.ranks:
            if rank not in self.roster.staged:
                self._send_order(rank, order)

    def _send_arm(self) -> None:
        for rank in sorted(self._ranks_to_arm() - set(self.roster.armed)):
            self._send_order(
                rank,
                orders.make_arm(
                    self.group_decisions,
                    self._fence(),
                    rank,
                    self.step,
                    self.round,
                ),
            )

    def _send_decided(self) -> None:
        if self.group_decisions.standing.index == 0:
            return
        order = orders.make_decided(
            self.cfg.group, self.group_decisions, self._fence()
        )
        for rank in sorted(self.unacknowledged):
            self._send_order(rank, order)

    def _propose(self, kind: decisions.DecisionKind, step: int = 0) -> None:
        self.proposal = decisions.Decision(
            group=self.cfg.group,
            kind=kind,
            version=self._open_version(),
            term=self.term,
            step=step,
            reason=self.reason,
        )
        self._effects.append(events.ProposeDecision(self.proposal))

    def has_open_switch(self) -> bool:
        """Return whether the log holds a switch without an outcome."""
        return self.group_decisions.opened is not None

    def propose_open(self) -> None:
        """Propose to open the requested switch."""
        self._effects.append(events.ProposeDecision(self.proposal))

    def start_staging(self) -> None:
        """Order the ranks of the new map to load their weights."""
        self.proposal = None
        self._phase_started_at = self._now
        self._lead_steps = self.cfg.lead_steps
        self._send_stage()

    def start_round(self) -> None:
        """Order the ranks to hold a step that none is known to have started.

        The distance to the newest reported step is doubled in each further
        round.
        """
        if self.round == 0:
            self._phase_started_at = self._now
        else:
            self._lead_steps *= 2
        self.round += 1
        self.roster.armed = {}
        self.step = self.group_decisions.min_commit_step
        if self.group_decisions.standing.current is not None:
            self.step = max(self.step, self._highest_step + self._lead_steps)
        self._send_arm()

    def propose_commit(self) -> None:
        """Propose to commit at the step that all ranks hold."""
        self._propose(decisions.DecisionKind.COMMIT, self.step)

    def propose_abort(self) -> None:
        """Propose to end the open switch; the current map stays."""
        self._propose(decisions.DecisionKind.ABORT)


@functools.cache
def _chart() -> charts.Chart:
    return charts.load(__package__, 'coordinator.toml', Coordinator)
