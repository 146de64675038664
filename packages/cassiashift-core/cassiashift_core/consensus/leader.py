"""The leader's side of replication, commits and handover."""

from cassiashift_core.consensus import changes
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import progress
from cassiashift_core.consensus import reads
from cassiashift_core.consensus import records
from cassiashift_core.consensus import rounds


class Leader:
    """The state of one leader in one term."""

    def __init__(self, replica) -> None:
        """Start the term after an election has been won."""
        self._replica = replica
        self._cfg = replica.cfg
        self.rounds = rounds.Rounds(replica.host, replica.now)
        self.reads = reads.Reads(replica, self)
        self._next_heartbeat_at = replica.now
        self._handover_deadline: float | None = None
        self._is_lease_revoked = False
        self._is_timeout_now_sent = False
        self.peers: dict[str, progress.Progress] = {}
        self.changes = changes.VoterChanges(replica, self)
        self.term_start = replica.log.last_index + 1

    @property
    def is_handing_over(self) -> bool:
        """Whether a handover to another voter is in progress."""
        return self._handover_deadline is not None

    @property
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._replica.commit_index >= self.term_start

    def update_peers(self) -> None:
        """Add, remove and reset peers to match the newest voter set."""
        voters = self._replica.log.voters
        hosts = [item for item in voters.hosts if item != self._replica.host]
        for host in [item for item in self.peers if item not in hosts]:
            del self.peers[host]
        for host in hosts:
            peer = self.peers.get(host)
            incarnation = voters.find(host).incarnation
            if peer is None:
                next_index = self._replica.log.last_index + 1
                self.peers[host] = progress.Progress(
                    host, next_index, incarnation
                )
            elif incarnation and peer.incarnation != incarnation:
                peer.reset(incarnation)

    def lease_until(self, now: float) -> float | None:
        """Return the end of the lease, or None if there is none."""
        if self._is_lease_revoked or not self.has_committed_in_term:
            return None
        voters = self._replica.log.voters
        return self.rounds.lease_until(voters, self._cfg.lease_s, now)

    def has_lease(self, now: float) -> bool:
        """Return whether the lease is valid, so no other leader can exist."""
        until = self.lease_until(now)
        return until is not None and now < until

    def on_clock_step(self) -> None:
        """Give up the lease until a majority answers a new round."""
        self.rounds.reset(self._replica.now)

    def on_tick(self) -> None:
        """Send heartbeats if they are due.

        Steps down instead if the storage has stalled or the quorum is lost.
        """
        now = self._replica.now
        if self._is_storage_stalled():
            self.send_timeout_now()
            self._replica.step_down()
            return
        if self._is_quorum_lost():
            self._replica.step_down()
            return
        if self.is_handing_over and now > self._handover_deadline:
            self._handover_deadline = None
            self._is_timeout_now_sent = False
        if now >= self._next_heartbeat_at:
            self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Start a round: send each follower entries or an empty message."""
        now = self._replica.now
        self._next_heartbeat_at = now + self._cfg.heartbeat_s
        self.rounds.start(now)
        for peer in self.peers.values():
            self._send_heartbeat(peer)

    def replicate(self) -> None:
        """Send every follower its missing entries, within its window."""
        for peer in self.peers.values():
            self._send_entries(peer)

    def on_append_reply(self, sender: str, msg: messages.AppendReply) -> None:
        """Record an acknowledgement, or probe further back after a reject."""
        peer = self._accept_reply(sender, msg)
        last_index = self._replica.log.last_index
        if peer is None or (msg.success and msg.index > last_index):
            # No follower holds more than its leader.
            return
        if msg.success:
            peer.on_acknowledged(msg.index, self.rounds.current)
        else:
            next_index = self._next_after_reject(msg)
            next_index = min(max(1, next_index), last_index + 1)
            peer.on_rejected(msg.index, next_index, msg.round)
        self.on_progress()
        if self._replica.leadership is self and sender in self.peers:
            self._send_entries(peer)

    def on_snapshot_reply(
        self, sender: str, msg: messages.SnapshotReply
    ) -> None:
        """Send the next part of a snapshot, from the bytes received on."""
        peer = self._accept_reply(sender, msg)
        if peer is None or peer.snapshot is None:
            return
        if peer.snapshot.index != msg.index or msg.received == peer.offset:
            return
        peer.offset = msg.received
        self._send_chunk(peer)

    def hand_over(self) -> None:
        """Refuse new proposals and hand over once a follower is up to date."""
        replica = self._replica
        if not self.peers or self.is_handing_over:
            return
        timeout_s = self._cfg.election_timeout_s
        self._handover_deadline = replica.now + timeout_s
        self._continue_handover()

    def send_timeout_now(self) -> None:
        """Ask a voter with the whole log to start an election at once.

        The one that answered the latest round is chosen. It may be elected
        during the lease, at any later time in the term, so the lease is given
        up for good. Nothing is sent if no voter has the whole log.
        """
        self._send_timeout_now(self._replica.log.last_index)

    def abdicate(self) -> None:
        """Ask the voter with the newest log to start an election at once.

        This leader can't go on. A voter that lacks committed entries can't
        win, and is not asked.
        """
        self._send_timeout_now(self._replica.commit_index)

    def _send_timeout_now(self, min_match: int) -> None:
        replica = self._replica
        voters = replica.log.voters.voter_hosts
        ready = [
            host
            for host, peer in self.peers.items()
            if host in voters and peer.match >= min_match
        ]
        if not ready:
            return
        best = max(
            ready,
            key=lambda host: (
                self.peers[host].match,
                self.rounds.last_answered(host),
                host,
            ),
        )
        self._is_lease_revoked = True
        self._is_timeout_now_sent = True
        replica.outbox.send(best, messages.TimeoutNow(replica.term))

    def on_progress(self) -> None:
        """Commit what a majority has synced.

        Then a pending handover and a voter change may continue.
        """
        replica = self._replica
        index = replica.log.voters.quorum_value(self._synced_indexes())
        if self.may_commit(index):
            replica.advance_commit(index)
        self._continue_handover()
        self.changes.advance()

    def may_commit(self, index: int) -> bool:
        """Return whether an index synced by a majority may be committed.

        Only an entry of this term is committed by counting replicas.
        """
        replica = self._replica
        return (
            index > replica.commit_index
            and replica.log.term_at(index) == replica.term
        )

    def _is_storage_stalled(self) -> bool:
        age_s = self._replica.outbox.oldest_unsynced_age_s(self._replica.now)
        return age_s > self._cfg.election_timeout_s

    def _is_quorum_lost(self) -> bool:
        now = self._replica.now
        voters = self._replica.log.voters
        silent_s = now - self.rounds.last_quorum_time(voters, now)
        return silent_s > self._cfg.election_timeout_s

    def _synced_indexes(self) -> dict[str, int]:
        indexes = {host: peer.match for host, peer in self.peers.items()}
        indexes[self._replica.host] = self._replica.outbox.durable_index
        return indexes

    def _continue_handover(self) -> None:
        if self.is_handing_over and not self._is_timeout_now_sent:
            self.send_timeout_now()

    def _accept_reply(self, sender: str, msg) -> progress.Progress | None:
        """Record the round of a reply; return the peer if the reply counts."""
        peer = self.peers.get(sender)
        if peer is None:
            return None
        self._replica.observe_term(msg.term)
        if msg.term != self._replica.term or self._replica.leadership is None:
            return None
        if not self._replica.check_identity(sender, msg.incarnation):
            return None
        if peer.incarnation != msg.incarnation:
            peer.reset(msg.incarnation)
        if peer.has_lost_entries:
            return None
        self.rounds.record_answer(sender, msg.round)
        return peer

    def _next_after_reject(self, msg: messages.AppendReply) -> int:
        if not msg.hint_term:
            return msg.hint_index
        log = self._replica.log
        last_index = log.last_index_of_term(msg.hint_term, msg.index)
        return last_index + 1 if last_index else msg.hint_index

    def _send_heartbeat(self, peer: progress.Progress) -> None:
        if peer.has_lost_entries:
            self._send_identity_refused(peer)
            return
        if peer.snapshot is not None:
            self._send_chunk(peer)
            return
        peer.paused = False
        if not self._send_entries(peer):
            self._send_append(peer, ())

    def _send_entries(self, peer: progress.Progress) -> bool:
        log = self._replica.log
        sent = False
        while peer.snapshot is None and peer.next <= log.last_index:
            if not peer.may_send(self._cfg.max_inflight_appends):
                break
            if log.term_at(peer.next - 1) is None:
                peer.start_snapshot(log.snapshot)
                self._send_chunk(peer)
                return True
            batch = log.batch(
                peer.next,
                self._cfg.max_append_entries,
                self._cfg.max_append_bytes,
            )
            self._send_append(peer, batch)
            peer.on_sent(batch[-1].index)
            sent = True
        return sent

    def _send_append(
        self, peer: progress.Progress, batch: tuple[records.Entry, ...]
    ) -> None:
        replica = self._replica
        prev_index = peer.next - 1
        prev_term = replica.log.term_at(prev_index)
        if prev_term is None:
            peer.start_snapshot(replica.log.snapshot)
            self._send_chunk(peer)
            return
        msg = messages.AppendEntries(
            replica.term,
            self.rounds.current,
            prev_index,
            prev_term,
            replica.commit_index,
            batch,
            peer.incarnation,
        )
        replica.outbox.send(peer.host, msg)

    def _send_identity_refused(self, peer: progress.Progress) -> None:
        replica = self._replica
        refused = messages.IdentityRefused(
            replica.term, peer.incarnation, has_lost_entries=True
        )
        replica.outbox.send(peer.host, refused)

    def _send_chunk(self, peer: progress.Progress) -> None:
        replica = self._replica
        chunk = progress.next_chunk(
            peer,
            replica.term,
            self.rounds.current,
            self._cfg.snapshot_chunk_bytes,
        )
        replica.outbox.send(peer.host, chunk)
