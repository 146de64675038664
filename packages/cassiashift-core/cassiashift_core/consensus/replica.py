"""A replica of the log, as a state machine without input or output."""

import functools
import random

from cassiashift_core.consensus import config
from cassiashift_core.consensus import contact as leader_contact
from cassiashift_core.consensus import effects
from cassiashift_core.consensus import events
from cassiashift_core.consensus import follower
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records
from cassiashift_core.consensus import roles


class Replica(roles.RoleState):
    """A voter, a learner, or a host that is to be added as one.

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
        contact: leader_contact.LeaderContact,
    ) -> None:
        """Create a replica; callers use ``from_config``."""
        super().__init__(cfg, saved, rng, contact)
        self._is_started = False
        self._snapshot_requested = False
        self._follower = follower.Follower(self)
        # Binding a singledispatchmethod costs more than the call itself.
        self._dispatch = self._on_event
        self._dispatch_message = self._on_message
        self._last_role_effect = self._role_effect()

    @classmethod
    def from_config(
        cls,
        cfg: config.ReplicaConfig,
        saved: records.SavedState,
        rng: random.Random,
        contact: leader_contact.LeaderContact | None = None,
    ) -> 'Replica':
        """Return a replica that continues from a saved state.

        ``contact`` is that of an earlier replica of the same process and
        host, which is not used any more; None for the first one.
        """
        if contact is None:
            contact = leader_contact.LeaderContact(cfg)
        return cls(cfg, saved, rng, contact)

    def has_lease(self, now: float) -> bool:
        """Return whether this replica leads and no other one can lead yet.

        ``now`` is a reading of the monotonic clock, in seconds.
        """
        if self.leadership is None:
            return False
        time, stepped = self.contact.read(now)
        return not stepped and self.leadership.has_lease(time)

    def handle(self, event: events.Event, now: float) -> list[effects.Effect]:
        """Handle an event and return the effects to carry out, in order.

        ``now`` is a reading of the monotonic clock, in seconds.
        """
        self._advance_clock(now)
        if self.role is not effects.Role.FAILED:
            self._dispatch(event)
            self._flush()
        self._emit_role_change()
        return self.outbox.pop_effects()

    # Events.

    @functools.singledispatchmethod
    def _on_event(self, event: events.Event) -> None:
        raise TypeError(f'unknown event {type(event).__name__}')

    @_on_event.register
    def _(self, event: events.Tick) -> None:
        if self.leadership is not None:
            self.leadership.on_tick()
        elif self.is_election_due:
            self.election_due()
        else:
            self._election.on_tick()
        self.restart.on_tick()
        self.save_commit()

    @_on_event.register
    def _(self, event: events.Received) -> None:
        self._dispatch_message(event.message, event.sender)

    @_on_event.register
    def _(self, event: events.Propose) -> None:
        reason = self._proposals.refusal_reason()
        if reason is not None:
            self._fail_proposal(event.token, reason)
            return
        self.append_as_leader(
            records.EntryKind.COMMAND, event.token, data=event.data
        )

    @_on_event.register
    def _(self, event: events.Read) -> None:
        if self.leadership is None:
            self.outbox.emit(effects.ReadFailed(event.token, self.leader))
            return
        self.leadership.reads.add(event.token)

    @_on_event.register
    def _(self, event: events.Synced) -> None:
        self._deliver(self.outbox.on_synced(event.sequence))
        if self.leadership is not None:
            self.leadership.on_progress()

    @_on_event.register
    def _(self, event: events.SnapshotTaken) -> None:
        self._snapshot_requested = False
        if self.log.snapshot_index < event.index <= self.applied_index:
            self.compact(event.index, event.data)

    @_on_event.register
    def _(self, event: events.ChangeVoters) -> None:
        reason = self._proposals.refusal_reason()
        if reason is None:
            reason = self.leadership.changes.start(event)
        if reason is not None:
            self._fail_proposal(event.token, reason)

    @_on_event.register
    def _(self, event: events.HandOver) -> None:
        if self.leadership is not None:
            self.leadership.hand_over()

    @_on_event.register
    def _(self, event: events.StorageFailed) -> None:
        self.storage_failed()

    # Messages.

    @functools.singledispatchmethod
    def _on_message(self, message: messages.Message, sender: str) -> None:
        raise TypeError(f'unknown message {type(message).__name__}')

    @_on_message.register
    def _(self, message: messages.VoteRequest, sender: str) -> None:
        if self.role is not effects.Role.REFUSED:
            self._election.on_request(sender, message)

    @_on_message.register
    def _(self, message: messages.VoteReply, sender: str) -> None:
        self._election.on_reply(sender, message)

    @_on_message.register
    def _(self, message: messages.AppendEntries, sender: str) -> None:
        self._follower.on_append(sender, message)

    @_on_message.register
    def _(self, message: messages.SnapshotChunk, sender: str) -> None:
        self._follower.on_chunk(sender, message)

    @_on_message.register
    def _(self, message: messages.AppendReply, sender: str) -> None:
        if self.leadership is not None:
            self.leadership.on_append_reply(sender, message)

    @_on_message.register
    def _(self, message: messages.SnapshotReply, sender: str) -> None:
        if self.leadership is not None:
            self.leadership.on_snapshot_reply(sender, message)

    @_on_message.register
    def _(self, message: messages.TimeoutNow, sender: str) -> None:
        if message.term == self.term and sender == self.leader:
            self._election.on_timeout_now()
            self.handover_received()

    @_on_message.register
    def _(self, message: messages.RestartProbe, sender: str) -> None:
        self.restart.on_probe(sender, message)

    @_on_message.register
    def _(self, message: messages.RestartReport, sender: str) -> None:
        self.restart.on_report(sender, message)

    @_on_message.register
    def _(self, message: messages.IdentityRefused, sender: str) -> None:
        if message.has_lost_entries:
            is_refused = message.term >= self.term
        else:
            is_refused = not self.is_own_incarnation_bound()
        if is_refused:
            self.identity_refused()

    # Helpers.

    def _advance_clock(self, now: float) -> None:
        self.now, stepped = self.contact.advance(now)
        if stepped and self.leadership is not None:
            self.leadership.on_clock_step()
        if stepped or not self._is_started:
            self.start_election_timer()
        if not self._is_started and not self.other_voters:
            self._election_deadline = self.now
        self._is_started = True

    def _flush(self) -> None:
        self.save_changes()
        released = self.outbox.release()
        while released:
            self._deliver(released)
            self.save_changes()
            released = self.outbox.release()
        self._apply()
        if self.leadership is not None:
            self.leadership.reads.emit_ready()

    def _deliver(self, released) -> None:
        for item in released:
            if item.message.term < self.term:
                continue
            if item.receiver == self.host:
                self._dispatch_message(item.message, self.host)
            else:
                self.outbox.emit(item)

    def _apply(self) -> None:
        snapshot = self.pop_snapshot()
        if snapshot is not None:
            self.outbox.emit(effects.InstallSnapshot(snapshot))
            self._proposals.fail_up_to(snapshot.index)
        entries = self.pop_entries()
        if entries:
            self.outbox.emit(effects.Apply(entries))
            self._proposals.resolve(entries)
        new_entries = self.applied_index - self.log.snapshot_index
        if new_entries >= self.cfg.snapshot_every_entries:
            self._request_snapshot()

    def _request_snapshot(self) -> None:
        if not self._snapshot_requested:
            self._snapshot_requested = True
            self.outbox.emit(effects.TakeSnapshot(self.applied_index))

    def _fail_proposal(
        self, token: str, reason: effects.FailureReason
    ) -> None:
        failed = effects.ProposalFailed(token, reason, self.leader)
        self.outbox.emit(failed)

    def _role_effect(self) -> effects.RoleChanged:
        return effects.RoleChanged(self.role, self.term, self.leader)

    def _emit_role_change(self) -> None:
        effect = self._role_effect()
        if effect != self._last_role_effect:
            self._last_role_effect = effect
            self.outbox.emit(effect)
