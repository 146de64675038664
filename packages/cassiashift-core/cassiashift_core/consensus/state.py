"""The state that the parts of a replica share."""

import random

from cassiashift_core.consensus import clock
from cassiashift_core.consensus import config
from cassiashift_core.consensus import log as log_state
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import outbox
from cassiashift_core.consensus import records


class ReplicaState:
    """Log, term, vote and timers of a replica, without its roles.

    Attributes:
        now: the time of the event being handled, in seconds.
        leader: the known leader of the term.
        applied_index: the last index passed to the owner.
    """

    def __init__(
        self,
        cfg: config.ReplicaConfig,
        saved: records.SavedState,
        rng: random.Random,
    ) -> None:
        """Go on from a saved state."""
        self.cfg = cfg
        self.host = cfg.host
        self.incarnation = saved.incarnation
        self.now = 0.0
        self.leader: str | None = None
        self.applied_index = 0
        self._rng = rng
        self._clock = clock.Clock(cfg.clock_step_s)
        self._heard_at = 0.0
        self._election_at = 0.0
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
        """Return the last index known to be committed."""
        return self._hard_state.commit

    @property
    def voters(self) -> records.VoterSet:
        """Return the newest voter set, committed or not."""
        return self.log.voters

    @property
    def other_voters(self) -> list[str]:
        """Return the voters besides this host."""
        hosts = self.log.voters.voter_hosts
        return [host for host in hosts if host != self.host]

    @property
    def is_election_due(self) -> bool:
        """Tell whether no leader was heard for an election timeout."""
        return self.now >= self._election_at

    def note_leader(self, host: str) -> None:
        """Note that the leader of the term was heard just now."""
        self.leader = host
        self._heard_at = self.now
        self.defer_election()

    def was_leader_heard(self) -> bool:
        """Tell whether a leader may hold a lease that counts on this host.

        After a start or a clock step nothing is known about that, so it is
        assumed.
        """
        if not self.other_voters:
            return False
        return self.now < self._heard_at + self.cfg.election_timeout_s

    def knows_identity(self, sender: str, incarnation: str) -> bool:
        """Check a host's data folder against the voter set."""
        known = self.log.voters.find(sender)
        if known is None or known.incarnation in ('', incarnation):
            return True
        refused = messages.IdentityRefused(self.term, known.incarnation)
        self.outbox.send(sender, refused)
        return False

    def is_bound_here(self) -> bool:
        """Tell whether the own log has this data folder in the voter set.

        Then a host that says otherwise has an older log.
        """
        known = self.log.voters.find(self.host)
        return known is not None and known.incarnation == self.incarnation

    def defer_election(self) -> None:
        """Wait for a random time, not below the election timeout."""
        low, high = config.WAIT_SHARES
        self._wait_for_election(low, high)

    def retry_election(self) -> None:
        """Wait for a random part of the election timeout from now on.

        A contested election is repeated sooner than one without answers,
        which may be slow.
        """
        low, high = config.RETRY_SHARES
        self._wait_for_election(low, high)

    def save_hard_state(self, hard_state: records.HardState) -> None:
        """Change the term, the vote and the commit index durably."""
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
        """Turn the changes so far into one Persist effect."""
        self.outbox.save(self._hard_state, self.log.last_index, self.now)

    def raise_commit(self, index: int) -> None:
        """Note that entries up to an index are committed."""
        if index > self.commit_index:
            self._hard_state = records.HardState(self.term, self.vote, index)

    def append(self, entries) -> None:
        """Append entries that follow the last one, and make them durable."""
        self.log.append(entries)
        self.outbox.save_entries(entries)

    def compact(self, index: int, data: bytes) -> None:
        """Keep the owner's state as a snapshot, and drop older entries."""
        snapshot = records.Snapshot(
            index, self.log.term_at(index), self.log.voters_at(index), data
        )
        self.log.compact(snapshot, self.cfg.trailing_entries)
        self.outbox.save_snapshot(snapshot)

    def install(self, snapshot: records.Snapshot) -> None:
        """Take a received snapshot; the owner gets it once it is durable."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot, trailing=0)
        else:
            self.log.reset(snapshot)
            self.outbox.save_truncation(snapshot.index + 1)
            self.outbox.limit_durable(snapshot.index - 1)
        self.outbox.save_snapshot(snapshot)
        self.raise_commit(snapshot.index)
        self._installing = snapshot

    def appliable_index(self) -> int:
        """Return the last index that is both committed and durable here."""
        return min(self.commit_index, self.outbox.durable_index)

    def take_snapshot(self) -> records.Snapshot | None:
        """Return the snapshot to be passed to the owner now, if any."""
        snapshot = self._installing
        if snapshot is None or self.appliable_index() < snapshot.index:
            return None
        self._installing = None
        self.applied_index = snapshot.index
        return snapshot

    def take_entries(self) -> tuple[records.Entry, ...]:
        """Return the entries to be applied now."""
        last = self.appliable_index()
        if self._installing is not None or last <= self.applied_index:
            return ()
        entries = tuple(self.log.between(self.applied_index + 1, last))
        self.applied_index = last
        return entries

    def _wait_for_election(self, low: float, high: float) -> None:
        share = self._rng.uniform(low, high)
        self._election_at = self.now + self.cfg.election_timeout_s * share

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
        self._installing = saved.snapshot
        self.outbox = outbox.Outbox(
            self.log.last_index, saved.hard_state.commit
        )
