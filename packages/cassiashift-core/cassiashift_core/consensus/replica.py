"""A replica of the log: one state machine without input or output."""

import functools
import random

from cassiashift_core.consensus import config
from cassiashift_core.consensus import effects
from cassiashift_core.consensus import events
from cassiashift_core.consensus import follower
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records
from cassiashift_core.consensus import roles


class Replica(roles.RoleState):
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
        self._follower = follower.Follower(self)
        # Binding a singledispatchmethod costs more than the call itself.
        self._dispatch = self._on_event
        self._dispatch_message = self._receive
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
        else:
            self._election.on_tick()
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
        self.leading.reads.add(event.token)

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
            self._election.note_appointment()
            self.handover_received()

    @_receive.register
    def _(self, message: messages.IdentityRefused, sender: str) -> None:
        if message.has_lost_entries:
            is_refused = message.term >= self.term
        else:
            is_refused = not self.is_bound_here()
        if is_refused:
            self.identity_refused()

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
            self.leading.reads.finish()

    def _deliver(self, released) -> None:
        for item in released:
            if item.message.term < self.term:
                continue
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
