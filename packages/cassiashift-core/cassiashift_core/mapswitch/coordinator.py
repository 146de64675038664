"""The machine that leads the switches of one group.

It runs on every host that may lead. Only the leader acts; the others follow
the log, so that each of them can take over.
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

_PROPOSING = ('opening', 'committing', 'aborting')
_UNDECIDED = ('committing', 'aborting')


@attrs.define(slots=False, eq=False)
class Coordinator:
    """Lead a group from one map to the next."""

    cfg: settings.CoordinatorConfig
    log: decisions.GroupDecisions = attrs.field(
        factory=decisions.GroupDecisions
    )
    term: int = 0
    reason: str = ''
    proposal: decisions.Decision | None = None
    roster: rosters.Roster = attrs.field(factory=rosters.Roster)
    unaware: set[str] = attrs.field(factory=set)
    round: int = 0
    step: int = 0
    _lead: int = 0
    _highest_step: int = -1
    _asks: dict[str, messages.Ask] = attrs.field(factory=dict)
    _barriers: dict[int, messages.Ask] = attrs.field(factory=dict)
    _ticket: int = 0
    _begun_at: float = 0.0
    _phase_since: float = 0.0
    _sent_at: float = float('-inf')
    _now: float = 0.0
    _effects: list = attrs.field(factory=list)

    @classmethod
    def from_config(cls, cfg: settings.CoordinatorConfig) -> 'Coordinator':
        """Return the machine of a host that follows the log."""
        machine = cls(cfg)
        _chart().bind(machine)
        return machine

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handle an event and return what has to be done."""
        self._effects = []
        self._now = now
        self._on(event)
        return self._effects

    @property
    def leading(self) -> bool:
        """Tell whether this host believes that it leads."""
        return self.state != 'standby'

    @functools.singledispatchmethod
    def _on(self, event: events.Event) -> None:
        """Ignore events that only concern a rank."""

    @_on.register
    def _(self, event: events.LeadershipGained) -> None:
        self.follow()
        self._forget()
        self.term = event.term
        self.reason = 'the coordinator has changed'
        self._begun_at = self._now
        self.unaware = self.log.known_ranks - self.roster.gone
        self.lead()
        self._send_decided()

    @_on.register
    def _(self, event: events.LeadershipLost) -> None:
        self.follow()
        self._forget()
        self._asks = {}
        self._barriers = {}
        self.unaware = set()

    @_on.register
    def _(self, event: events.SwitchRequested) -> None:
        if self.state != 'idle':
            self._refuse()
            return
        self.reason = event.reason
        self._begun_at = self._now
        self.proposal = decisions.Decision(
            group=self.cfg.group,
            kind=decisions.DecisionKind.OPEN,
            version=self.log.next_version,
            term=self.term,
            ranks=event.ranks,
            body=event.body,
            reason=event.reason,
        )
        self.request()

    @_on.register
    def _(self, event: events.RollbackRequested) -> None:
        former = self.log.standing.former
        if former is None:
            self._refuse_with(
                errors.ErrorCode.NOT_FOUND, 'there is no former map'
            )
            return
        self._on(
            events.SwitchRequested(
                ranks=former.ranks, body=former.body, reason=event.reason
            )
        )

    @_on.register
    def _(self, event: events.RankGone) -> None:
        if not self.roster.leave(event.rank, event.incarnation):
            return
        self.unaware.discard(event.rank)
        opened = self.log.opened
        if opened is not None and event.rank in opened.ranks:
            self._abandon(f'rank {event.rank} is gone')
            return
        self._check_armed()

    @_on.register
    def _(self, event: events.DecisionCommitted) -> None:
        if event.decision.group != self.cfg.group:
            return
        accepted = self.log.apply(event.decision, event.index)
        if not self.leading:
            return
        if event.decision.kind is decisions.DecisionKind.OPEN:
            self._after_open(event.decision, accepted)
        elif accepted:
            self._after_outcome(event.decision)
        elif event.decision == self.proposal:
            self.give_up()

    @_on.register
    def _(self, event: events.BarrierPassed) -> None:
        ask = self._barriers.pop(event.ticket, None)
        if ask is None or not self.leading:
            return
        if self.state in _UNDECIDED:
            self._asks[ask.rank] = ask
            return
        self._send(
            ask.rank,
            orders.answer(ask, self.log, self._fence()),
        )

    @_on.register
    def _(self, event: events.Tick) -> None:
        if not self.leading:
            return
        self._check_timeout()
        if self._now - self._sent_at < self.cfg.resend_interval_s:
            return
        self._resend()

    @_on.register
    def _(self, event: events.Received) -> None:
        if self.leading:
            self._receive(event.message)

    @functools.singledispatchmethod
    def _receive(self, message: messages.Report) -> None:
        """Ignore messages that are no reports."""

    @_receive.register
    def _(self, message: messages.Staged) -> None:
        self._highest_step = max(self._highest_step, message.step)
        if self.state != 'staging' or message.version != self._version():
            return
        self.roster.staged[message.rank] = message
        if set(self.log.opened.ranks) <= set(self.roster.staged):
            self.all_staged()

    @_receive.register
    def _(self, message: messages.StageFailed) -> None:
        if message.version == self._version():
            self._abandon(f'rank {message.rank}: {message.reason}')

    @_receive.register
    def _(self, message: messages.Armed) -> None:
        if self.state != 'arming' or message.version != self._version():
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
        if self.state != 'arming' or message.version != self._version():
            return
        if message.round != self.round:
            return
        if message.rank in self.log.opened.ranks and not message.staged:
            self._abandon(f'rank {message.rank} has lost its weights')
        elif self.round >= self.cfg.max_rounds:
            self._abandon(f'rank {message.rank} is always past the step')
        else:
            self.next_round()

    @_receive.register
    def _(self, message: messages.Acknowledged) -> None:
        self.roster.incarnations[message.rank] = message.incarnation
        if message.index >= self.log.standing.index:
            self.unaware.discard(message.rank)

    @_receive.register
    def _(self, message: messages.Ask) -> None:
        self.roster.join(message.rank, message.incarnation)
        if self.roster.has_restarted(message.rank, message.incarnation):
            self._abandon(f'rank {message.rank} has restarted')
        if self.state in _UNDECIDED:
            self._asks[message.rank] = message
            return
        self._barrier(message)

    def _barrier(self, ask: messages.Ask) -> None:
        self._ticket += 1
        self._barriers[self._ticket] = ask
        self._effects.append(events.ReadBarrier(self._ticket))

    def _after_open(
        self, decision: decisions.Decision, accepted: bool
    ) -> None:
        if accepted and decision == self.proposal:
            self.opened()
        elif accepted:
            if self.state == 'opening':
                self._refuse()
            self.reason = 'opened by a former coordinator'
            self.found_foreign()
        elif self.state == 'opening' and decision == self.proposal:
            self._refuse()
            self.open_refused()

    def _after_outcome(self, decision: decisions.Decision) -> None:
        committed = decision.kind is decisions.DecisionKind.COMMIT
        self._effects.append(
            events.SwitchFinished(
                version=decision.version,
                committed=committed,
                reason='' if committed else decision.reason,
                duration_s=self._now - self._begun_at,
            )
        )
        self.unaware = self.log.known_ranks | set(self.roster.staged)
        self.unaware -= self.roster.gone
        self._forget()
        self.closed()
        self._send_decided()
        for ask in self._asks.values():
            self._barrier(ask)
        self._asks = {}

    def _check_armed(self) -> None:
        if self.state != 'arming':
            return
        if self._needed() <= set(self.roster.armed):
            self.all_armed()

    def _needed(self) -> set[str]:
        """Return the ranks that have to arm for the open switch."""
        opened = self.log.opened
        return (
            set(opened.ranks) | set(self.log.base_ranks)
        ) - self.roster.gone

    def _check_timeout(self) -> None:
        waited = self._now - self._phase_since
        if self.state == 'staging' and waited > self.cfg.stage_timeout_s:
            missing = sorted(
                set(self.log.opened.ranks) - set(self.roster.staged)
            )
            self._abandon(f'not staged in time: {", ".join(missing)}')
        elif self.state == 'arming' and waited > self.cfg.arm_timeout_s:
            self._abandon('not armed in time')

    def _resend(self) -> None:
        self._sent_at = self._now
        if self.state in _PROPOSING and self.proposal is not None:
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

    def _refuse(self) -> None:
        if not self.leading:
            self._refuse_with(
                errors.ErrorCode.NOT_LEADER, 'this host does not lead'
            )
            return
        self._refuse_with(
            errors.ErrorCode.CONFLICT, 'another switch is under way'
        )

    def _refuse_with(self, code: errors.ErrorCode, text: str) -> None:
        error = errors.CassiashiftError(code, text)
        self._effects.append(events.SwitchRefused(error))

    def _version(self) -> int | None:
        return self.log.opened and self.log.opened.version

    def _fence(self) -> messages.Fence:
        index = max(self.log.opened_index, self.log.standing.index)
        return messages.Fence(self.term, index)

    def _forget(self) -> None:
        self.roster.forget_switch()
        self.proposal = None
        self.round = 0

    def _send(self, rank: str, message: messages.Order) -> None:
        self._effects.append(events.SendToRank(rank, message))

    def _send_stage(self) -> None:
        order = orders.stage(self.log, self._fence())
        for rank in self.log.opened.ranks:
            if rank not in self.roster.staged:
                self._send(rank, order)

    def _send_arm(self) -> None:
        for rank in sorted(self._needed() - set(self.roster.armed)):
            self._send(
                rank,
                orders.arm(
                    self.log, self._fence(), rank, self.step, self.round
                ),
            )

    def _send_decided(self) -> None:
        if self.log.standing.index == 0:
            return
        order = orders.decided(self.cfg.group, self.log, self._fence())
        for rank in sorted(self.unaware):
            self._send(rank, order)

    def _propose(self, kind: decisions.DecisionKind, step: int = 0) -> None:
        self.proposal = decisions.Decision(
            group=self.cfg.group,
            kind=kind,
            version=self._version(),
            term=self.term,
            step=step,
            reason=self.reason,
        )
        self._effects.append(events.ProposeDecision(self.proposal))

    def has_open_switch(self) -> bool:
        """Tell whether a former coordinator left a switch open."""
        return self.log.opened is not None

    def propose_open(self) -> None:
        """Propose the switch that was requested."""
        self._effects.append(events.ProposeDecision(self.proposal))

    def start_staging(self) -> None:
        """Order every rank of the new map to load its weights."""
        self.proposal = None
        self._phase_since = self._now
        self._lead = self.cfg.lead_steps
        self._send_stage()

    def start_round(self) -> None:
        """Order every rank to hold a step that none has started."""
        if self.round == 0:
            self._phase_since = self._now
        else:
            self._lead *= 2
        self.round += 1
        self.roster.armed = {}
        self.step = self.log.first_free_step
        if self.log.standing.current is not None:
            self.step = max(self.step, self._highest_step + self._lead)
        self._send_arm()

    def propose_commit(self) -> None:
        """Propose the step that every rank has promised to hold."""
        self._propose(decisions.DecisionKind.COMMIT, self.step)

    def propose_abort(self) -> None:
        """Propose to end the open switch without a new map."""
        self._propose(decisions.DecisionKind.ABORT)


@functools.cache
def _chart() -> charts.Chart:
    return charts.load(__package__, 'coordinator.toml', Coordinator)
