"""State of a replica that does not depend on its role."""

import random

from cassiashift_core.consensus import config
from cassiashift_core.consensus import contact as leader_contact
from cassiashift_core.consensus import log as log_state
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import outbox
from cassiashift_core.consensus import records


class ReplicaState:
    """Log, term, vote and timers of a replica.

    Attributes:
        now: the time of the event being handled, in seconds.
        leader: host of the leader of the current term; None if unknown.
        applied_index: the last index passed to the owner.
        had_leader_contact: whether this process has led, or was in contact
            with a leader.
    """

    def __init__(
        self,
        cfg: config.ReplicaConfig,
        saved: records.SavedState,
        rng: random.Random,
        contact: leader_contact.LeaderContact,
    ) -> None:
        """Restore the log, the term and the vote from ``saved``."""
        self.cfg = cfg
        self.host = cfg.host
        self.incarnation = saved.incarnation
        self.now = 0.0
        self.leader: str | None = None
        self.applied_index = 0
        self.had_leader_contact = False
        self._rng = rng
        self.contact = contact
        self._election_deadline = 0.0
        self._restore(saved)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._hard_state.term

    @property
    def vote(self) -> str:
        """Return the host voted for in the current term, or ''."""
        return self._hard_state.vote

    @property
    def commit_index(self) -> int:
        """Return the highest index known to be committed."""
        return self._hard_state.commit

    @property
    def voters(self) -> records.VoterSet:
        """Return the newest voter set, committed or not."""
        return self.log.voters

    @property
    def other_voters(self) -> list[str]:
        """Return the hosts of all voters but this one."""
        hosts = self.log.voters.voter_hosts
        return [host for host in hosts if host != self.host]

    @property
    def is_election_due(self) -> bool:
        """Whether the election timer has expired."""
        return self.now >= self._election_deadline

    def record_leader_contact(self, host: str) -> None:
        """Record a message from the leader and reset the election timer."""
        self.had_leader_contact = True
        self.leader = host
        self.contact.record(self.now)
        self.reset_election_timer()

    def may_leader_hold_lease(self) -> bool:
        """Return whether a leader may hold a lease that this host supports."""
        if not self.other_voters:
            return False
        return self.contact.may_support_lease(self.now)

    def forget_leader_contact(self) -> None:
        """Stop waiting for a leader that has given up its lease for good."""
        self.contact.forget()

    def check_identity(self, sender: str, incarnation: str) -> bool:
        """Check a host's data folder against the voter set.

        Returns False, and sends IdentityRefused to the host, if the voter
        set records another data folder for it.
        """
        member = self.log.voters.find(sender)
        if member is None or member.incarnation in ('', incarnation):
            return True
        refused = messages.IdentityRefused(self.term, member.incarnation)
        self.outbox.send(sender, refused)
        return False

    def is_own_incarnation_bound(self) -> bool:
        """Return whether this log records this data folder for this host.

        Then a host that refuses this data folder has an older log.
        """
        own = self.log.voters.find(self.host)
        return own is not None and own.incarnation == self.incarnation

    def reset_election_timer(self) -> None:
        """Set the timer to a random time, at least the election timeout."""
        min_share, max_share = config.ELECTION_WAIT_SHARES
        self._set_election_timer(min_share, max_share)

    def set_retry_timer(self) -> None:
        """Set the election timer to a random part of the election timeout.

        An election with a split vote is repeated sooner than one without
        replies, as those may only be slow.
        """
        min_share, max_share = config.ELECTION_RETRY_SHARES
        self._set_election_timer(min_share, max_share)

    def start_election_timer(self) -> None:
        """Set the timer as the last contact with a leader has set it.

        If it has expired since, an election is due soon.
        """
        self.reset_election_timer()
        self._election_deadline -= self.now - self.contact.at
        if self.is_election_due:
            self.set_retry_timer()

    def hasten_election(self) -> None:
        """Set the timer to a part of the election timeout if it is later."""
        deadline = self._election_deadline
        self.set_retry_timer()
        self._election_deadline = min(deadline, self._election_deadline)

    def save_hard_state(self, hard_state: records.HardState) -> None:
        """Set term, vote and commit index, and make them durable."""
        self._hard_state = hard_state
        self.outbox.save_hard_state(hard_state)

    def save_commit(self) -> None:
        """Make the commit index durable if the storage is idle."""
        if (
            self.outbox.is_clean
            and self.commit_index > self.outbox.saved_commit
        ):
            self.outbox.save_hard_state(self._hard_state)

    def save_changes(self) -> None:
        """Emit all changes since the last call as one Persist effect."""
        self.outbox.emit_persist(
            self._hard_state, self.log.last_index, self.now
        )

    def advance_commit(self, index: int) -> None:
        """Raise the commit index to ``index`` unless it is higher."""
        if index > self.commit_index:
            self._hard_state = records.HardState(self.term, self.vote, index)

    def append(self, entries) -> None:
        """Append entries that follow the last one, and make them durable."""
        self.log.append(entries)
        self.outbox.save_entries(entries)

    def compact(self, index: int, data: bytes) -> None:
        """Store the owner's state as a snapshot, and drop older entries."""
        snapshot = records.Snapshot(
            index, self.log.term_at(index), self.log.voters_at(index), data
        )
        self.log.compact(snapshot, self.cfg.trailing_entries)
        self.outbox.save_snapshot(snapshot)

    def install(self, snapshot: records.Snapshot) -> None:
        """Store a received snapshot and queue it for the owner.

        The owner gets it once it is durable.
        """
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot, trailing=0)
        else:
            self.log.reset(snapshot)
            self.outbox.save_truncation(snapshot.index + 1)
            self.outbox.cap_durable_index(snapshot.index - 1)
        self.outbox.save_snapshot(snapshot)
        self.advance_commit(snapshot.index)
        self._pending_install = snapshot

    def appliable_index(self) -> int:
        """Return the last index that is both committed and durable here."""
        return min(self.commit_index, self.outbox.durable_index)

    def pop_snapshot(self) -> records.Snapshot | None:
        """Return the queued snapshot once it is durable, else None.

        The caller must pass it to the owner.
        """
        snapshot = self._pending_install
        if snapshot is None or self.appliable_index() < snapshot.index:
            return None
        self._pending_install = None
        self.applied_index = snapshot.index
        return snapshot

    def pop_entries(self) -> tuple[records.Entry, ...]:
        """Return the entries that the owner must apply now.

        There are none while a snapshot is queued for the owner.
        """
        last = self.appliable_index()
        if self._pending_install is not None or last <= self.applied_index:
            return ()
        entries = tuple(self.log.entries_between(self.applied_index + 1, last))
        self.applied_index = last
        return entries

    def _set_election_timer(self, min_share: float, max_share: float) -> None:
        share = self._rng.uniform(min_share, max_share)
        self._election_deadline = (
            self.now + self.cfg.election_timeout_s * share
        )

    def _restore(self, saved: records.SavedState) -> None:
        voters = records.VoterSet(
            tuple(records.Voter(host) for host in self.cfg.voters)
        )
        self.log = log_state.Log(voters, saved.snapshot, saved.entries)
        commit = min(saved.hard_state.commit, self.log.last_index)
        self._hard_state = records.HardState(
            saved.hard_state.term,
            saved.hard_state.vote,
            max(commit, self.log.base_index),
        )
        self._pending_install = saved.snapshot
        self.outbox = outbox.Outbox(
            self.log.last_index, saved.hard_state.commit
        )
