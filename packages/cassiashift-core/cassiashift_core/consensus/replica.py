"""A replica of the log: one state machine without input or output."""

import functools
import random

from cassiashift_core import charts
from cassiashift_core.consensus import config
from cassiashift_core.consensus import effects
from cassiashift_core.consensus import election
from cassiashift_core.consensus import events
from cassiashift_core.consensus import follower
from cassiashift_core.consensus import leader as leader_state
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import proposals
from cassiashift_core.consensus import records
from cassiashift_core.consensus import state as shared_state


ROLES = {role.value: role for role in effects.Role}


class Replica(shared_state.ReplicaState):
    """A voter, a learner, or a host that waits to become one.

    ``handle`` takes one event and returns the effects that the owner must
    carry out. Time is the owner's monotonic clock in seconds. After a start
    the first event returns the saved snapshot, if any, as InstallSnapshot,
    and committed entries follow as Apply, each exactly once.
    """

    def __init__(
        self,
        cfg: config.ReplicaConfig,
        saved: records.SavedState,
        rng: random.Random,
    ) -> None:
        """Use ``from_config``."""
        super().__init__(cfg, saved, rng)
        self._is_started = False
        self._snapshot_asked = False
        self._election = election.Election(self)
        self._follower = follower.Follower(self)
        self._proposals = proposals.Proposals(self)
        self.leading: leader_state.Leader | None = None
        # Binding a singledispatchmethod costs more than the call itself.
        self._dispatch = self._on_event
        self._dispatch_message = self._receive
        _chart().bind(self)
        self._announced = self._standing()

    @classmethod
    def from_config(
        cls,
        cfg: config.ReplicaConfig,
        saved: records.SavedState,
        rng: random.Random,
    ) -> 'Replica':
        """Return a replica that goes on from a saved state."""
        return cls(cfg, saved, rng)

    @property
    def role(self) -> effects.Role:
        """Return the role."""
        return ROLES[self.state]

    def has_lease(self, now: float) -> bool:
        """Tell whether this replica leads and no other one can yet."""
        if self.leading is None:
            return False
        time, stepped = self._clock.read(now)
        return not stepped and self.leading.has_lease(time)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle an event at a monotonic time, in seconds."""
        self._advance_clock(now)
        if self.role is not effects.Role.FAILED:
            self._dispatch(event)
            self._settle()
        self._announce()
        return self.outbox.take()

    # Events.

    @functools.singledispatchmethod
    def _on_event(self, event: events.Event) -> None:
        raise TypeError(f'unknown event {type(event).__name__}')

    @_on_event.register
    def _(self, event: events.Tick) -> None:
        if self.leading is not None:
            self.leading.on_tick()
        elif self.is_election_due:
            self.election_due()
        self.save_commit()

    @_on_event.register
    def _(self, event: events.Received) -> None:
        self._dispatch_message(event.message, event.sender)

    @_on_event.register
    def _(self, event: events.Propose) -> None:
        reason = self._proposals.refusal()
        if reason is not None:
            self._fail(event.token, reason)
            return
        self.append_own(
            records.EntryKind.COMMAND, event.token, data=event.data
        )

    @_on_event.register
    def _(self, event: events.Read) -> None:
        if self.leading is None:
            self.outbox.emit(effects.ReadFailed(event.token, self.leader))
            return
        self.leading.read(event.token)

    @_on_event.register
    def _(self, event: events.Synced) -> None:
        self._deliver(self.outbox.synced(event.sequence))
        if self.leading is not None:
            self.leading.advance()

    @_on_event.register
    def _(self, event: events.SnapshotTaken) -> None:
        self._snapshot_asked = False
        if self.log.snapshot_index < event.index <= self.applied_index:
            self.compact(event.index, event.data)

    @_on_event.register
    def _(self, event: events.ChangeVoters) -> None:
        reason = self._proposals.refusal()
        if reason is None:
            reason = self.leading.changes.start(event)
        if reason is not None:
            self._fail(event.token, reason)

    @_on_event.register
    def _(self, event: events.HandOver) -> None:
        if self.leading is not None:
            self.leading.hand_over()

    @_on_event.register
    def _(self, event: events.StorageFailed) -> None:
        self.storage_failed()

    # Messages.

    @functools.singledispatchmethod
    def _receive(self, message: messages.Message, sender: str) -> None:
        raise TypeError(f'unknown message {type(message).__name__}')

    @_receive.register
    def _(self, message: messages.VoteRequest, sender: str) -> None:
        if self.role is not effects.Role.REFUSED:
            self._election.answer(sender, message)

    @_receive.register
    def _(self, message: messages.VoteReply, sender: str) -> None:
        self._election.on_reply(sender, message)

    @_receive.register
    def _(self, message: messages.AppendEntries, sender: str) -> None:
        self._follower.on_append(sender, message)

    @_receive.register
    def _(self, message: messages.SnapshotChunk, sender: str) -> None:
        self._follower.on_chunk(sender, message)

    @_receive.register
    def _(self, message: messages.AppendReply, sender: str) -> None:
        if self.leading is not None:
            self.leading.on_append_reply(sender, message)

    @_receive.register
    def _(self, message: messages.SnapshotReply, sender: str) -> None:
        if self.leading is not None:
            self.leading.on_snapshot_reply(sender, message)

    @_receive.register
    def _(self, message: messages.TimeoutNow, sender: str) -> None:
        if message.term == self.term and sender == self.leader:
            self._election.handover = True
            self.handover_received()

    @_receive.register
    def _(self, message: messages.IdentityRefused, sender: str) -> None:
        if message.incarnation != self.incarnation:
            self.identity_refused()

    # Guards and entry actions of the chart.

    def may_campaign(self) -> bool:
        """Tell whether this host is a voter that may be elected."""
        own = self.log.voters
        if self.host not in own.voter_hosts:
            return False
        return own.find(self.host).incarnation in ('', self.incarnation)

    def enter_follower(self) -> None:
        """Give up what belongs to other roles."""
        self._stop_leading()
        self.defer_election()

    def enter_pre_candidate(self) -> None:
        """Ask whether an election could be won."""
        self.leader = None
        self.defer_election()
        self._election.ask_for_pre_votes()

    def enter_candidate(self) -> None:
        """Start an election in a new term."""
        self.leader = None
        self.defer_election()
        self._election.ask_for_votes()

    def enter_leader(self) -> None:
        """Take over: bind the voters on the first term, or add a no-op."""
        self.leader = self.host
        self.leading = leader_state.Leader(self)
        self.leading.update_peers()
        voters = self.log.voters
        if voters.is_bound:
            self.append_own(records.EntryKind.NOOP)
        else:
            bound = voters.bind(self._election.incarnations)
            self.append_own(records.EntryKind.VOTERS, voters=bound)
        self.leading.heartbeat()

    def enter_refused(self) -> None:
        """Vote no more under an identity whose data folder was lost."""
        self.leader = None
        self.outbox.drop_held()

    def enter_failed(self) -> None:
        """Promise nothing more; the owner must restart the replica."""
        self.leader = None
        self._stop_leading()
        self._proposals.fail_all()
        self.outbox.drop_held()

    # Shared with the parts of the replica.

    def observe_term(self, term: int) -> None:
        """Follow a newer term, whose leader is not known yet."""
        if term <= self.term:
            return
        self.leader = None
        self.save_hard_state(records.HardState(term, '', self.commit_index))
        self._follow()

    def accept_leader(self, sender: str, msg) -> bool:
        """Tell whether a message comes from the leader of the term."""
        if msg.term < self.term:
            self._refuse_leader(sender, msg)
            return False
        if msg.incarnation not in ('', self.incarnation):
            self.identity_refused()
            self._refuse_leader(sender, msg)
            return False
        if self.role is effects.Role.REFUSED:
            self.identity_accepted()
        self.observe_term(msg.term)
        self._follow()
        self.note_leader(sender)
        return True

    def hears_leader(self) -> bool:
        """Tell whether this replica must not help another to lead."""
        return self.leading is not None or self.was_leader_heard()

    def append_own(
        self,
        kind: records.EntryKind,
        token: str = '',
        data: bytes = b'',
        voters: records.VoterSet | None = None,
    ) -> None:
        """Append an entry of the leader's own term and replicate it."""
        index = self.log.last_index + 1
        entry = records.Entry(index, self.term, kind, data, voters)
        self.append((entry,))
        if token:
            self._proposals.add(token, index, self.term)
        if voters is not None:
            self.leading.update_peers()
        self.leading.replicate()

    # Private parts.

    def _advance_clock(self, now: float) -> None:
        self.now, stepped = self._clock.advance(now)
        if stepped and self.leading is not None:
            self.leading.on_clock_step()
        if stepped or not self._is_started:
            self._heard_at = self.now
            self.defer_election()
        if not self._is_started and not self.other_voters:
            self._election_at = self.now
        self._is_started = True

    def _settle(self) -> None:
        self.save_changes()
        released = self.outbox.release()
        while released:
            self._deliver(released)
            self.save_changes()
            released = self.outbox.release()
        self._apply()
        if self.leading is not None:
            self.leading.finish_reads()

    def _deliver(self, released) -> None:
        for item in released:
            if item.receiver == self.host:
                self._dispatch_message(item.message, self.host)
            else:
                self.outbox.emit(item)

    def _apply(self) -> None:
        snapshot = self.take_snapshot()
        if snapshot is not None:
            self.outbox.emit(effects.InstallSnapshot(snapshot))
            self._proposals.skip(snapshot.index)
        entries = self.take_entries()
        if entries:
            self.outbox.emit(effects.Apply(entries))
            self._proposals.settle(entries)
        grown = self.applied_index - self.log.snapshot_index
        if grown >= self.cfg.snapshot_every_entries:
            self._ask_for_snapshot()

    def _ask_for_snapshot(self) -> None:
        if not self._snapshot_asked:
            self._snapshot_asked = True
            self.outbox.emit(effects.TakeSnapshot(self.applied_index))

    def _follow(self) -> None:
        if self.role is not effects.Role.FOLLOWER:
            self.step_down()

    def _stop_leading(self) -> None:
        if self.leading is not None:
            self.leader = None
            self.leading.fail_reads()
            self.leading = None

    def _refuse_leader(self, sender: str, msg) -> None:
        reply = messages.AppendReply(
            self.term, msg.round, False, 0, self.incarnation
        )
        self.outbox.send_synced(sender, reply)

    def _fail(self, token: str, reason: effects.Reason) -> None:
        failed = effects.ProposalFailed(token, reason, self.leader)
        self.outbox.emit(failed)

    def _standing(self) -> effects.RoleChanged:
        return effects.RoleChanged(self.role, self.term, self.leader)

    def _announce(self) -> None:
        standing = self._standing()
        if standing != self._announced:
            self._announced = standing
            self.outbox.emit(standing)


@functools.cache
def _chart() -> charts.Chart:
    return charts.load('cassiashift_core.consensus', 'voter.toml', Replica)
