"""Linearizable reads, backed by the lease or by a heartbeat round."""

import attrs

from cassiashift_core.consensus import effects


@attrs.frozen
class PendingRead:
    """A read that waits for a heartbeat round and for an applied index.

    Round 0 stands for a read under the lease, which waits for no round.
    """

    token: str
    round: int
    index: int


class Reads:
    """The pending reads of a leader."""

    def __init__(self, replica, leader) -> None:
        """Work on the state of a replica that leads."""
        self._replica = replica
        self._leader = leader
        self._pending: list[PendingRead] = []

    def add(self, token: str) -> None:
        """Queue a read; without a lease it waits for the next round."""
        replica = self._replica
        index = max(replica.commit_index, self._leader.term_start)
        if self._leader.has_lease(replica.now):
            self._pending.append(PendingRead(token, 0, index))
            return
        next_round = self._leader.rounds.current + 1
        self._pending.append(PendingRead(token, next_round, index))
        self._start_round()

    def emit_ready(self) -> None:
        """Emit ReadReady for each read that the applied state can serve."""
        if not self._pending:
            return
        replica = self._replica
        answered = self._leader.rounds.answered_by_quorum(replica.log.voters)
        waiting = []
        for item in self._pending:
            if item.round <= answered and item.index <= replica.applied_index:
                replica.outbox.emit(
                    effects.ReadReady(item.token, replica.applied_index)
                )
            else:
                waiting.append(item)
        self._pending = waiting
        if waiting and waiting[-1].round > self._leader.rounds.current:
            self._start_round()

    def fail_all(self) -> None:
        """Emit ReadFailed for all pending reads."""
        for item in self._pending:
            failed = effects.ReadFailed(item.token, self._replica.leader)
            self._replica.outbox.emit(failed)
        self._pending = []

    def _start_round(self) -> None:
        """Start a round unless one is in progress.

        Reads that arrive during a round share the next one.
        """
        voters = self._replica.log.voters
        rounds = self._leader.rounds
        is_answered = rounds.answered_by_quorum(voters) >= rounds.current
        if is_answered and len(voters.voter_hosts) > 1:
            self._leader.send_heartbeats()
