"""Voter changes, one host at a time.

A new voter starts as a learner, unless it doesn't raise the quorum.
"""

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import events
from cassiashift_core.consensus import records


class VoterChanges:
    """The voter change that a leader carries out, one at a time."""

    def __init__(self, replica, leader) -> None:
        """Work on the state of a replica that leads."""
        self._replica = replica
        self._leader = leader
        self._token = ''

    @property
    def is_pending(self) -> bool:
        """Whether the newest voter set is not committed yet."""
        replica = self._replica
        return replica.log.voters_index > replica.commit_index

    def start(
        self, event: events.ChangeVoters
    ) -> effects.FailureReason | None:
        """Start a change; return the reason if it is refused, else None."""
        if self.is_pending or not self._leader.has_committed_in_term:
            return effects.FailureReason.CHANGE_PENDING
        if event.add and not event.remove:
            return self._add(event)
        if event.remove and not event.add:
            return self._remove(event)
        return effects.FailureReason.INVALID_CHANGE

    def advance(self) -> None:
        """Continue a change once the newest voter set is committed.

        A learner that has caught up becomes a voter. A leader that is no
        voter any more steps down.
        """
        voters = self._replica.log.voters
        if self.is_pending or not self._leader.has_committed_in_term:
            return
        if self._replica.host not in voters.voter_hosts:
            self._step_down_after_removal()
            return
        for learner in voters.learners:
            peer = self._leader.peers.get(learner.host)
            if self.is_caught_up(peer):
                promoted = voters.with_promoted(learner.host, peer.incarnation)
                self._append(promoted, self._token)
                self._token = ''
                return

    def fail(self, reason: effects.FailureReason) -> None:
        """Emit ProposalFailed for the pending addition, if there is one."""
        if self._token:
            failed = effects.ProposalFailed(
                self._token, reason, self._replica.leader
            )
            self._token = ''
            self._replica.outbox.emit(failed)

    def is_caught_up(self, peer) -> bool:
        """Return whether a learner has synced all committed entries."""
        return bool(
            peer
            and peer.incarnation
            and peer.match >= self._replica.commit_index
        )

    def must_catch_up(
        self, voters: records.VoterSet, promoted: records.VoterSet
    ) -> bool:
        """Return whether a new voter could delay commits.

        If the quorum stays, all hosts that could commit before still can.
        """
        return promoted.quorum > voters.quorum

    def _add(self, event: events.ChangeVoters) -> effects.FailureReason | None:
        voters = self._replica.log.voters
        if event.add in voters.voter_hosts:
            return effects.FailureReason.INVALID_CHANGE
        if voters.learners:
            return effects.FailureReason.CHANGE_PENDING
        promoted = voters.with_promoted(event.add, event.incarnation)
        if event.incarnation and not self.must_catch_up(voters, promoted):
            self._append(promoted, event.token)
            return None
        self._token = event.token
        self._append(voters.with_learner(event.add), '')
        return None

    def _remove(
        self, event: events.ChangeVoters
    ) -> effects.FailureReason | None:
        voters = self._replica.log.voters
        if voters.find(event.remove) is None:
            return effects.FailureReason.INVALID_CHANGE
        rest = voters.without(event.remove)
        if not rest.voters:
            return effects.FailureReason.INVALID_CHANGE
        if voters.learners and rest.learners:
            return effects.FailureReason.CHANGE_PENDING
        if event.remove not in voters.voter_hosts:
            self.fail(effects.FailureReason.REPLACED)
        self._append(rest, event.token)
        return None

    def _append(self, voters: records.VoterSet, token: str) -> None:
        replica = self._replica
        replica.append_as_leader(
            records.EntryKind.VOTERS, token, voters=voters
        )

    def _step_down_after_removal(self) -> None:
        self._leader.send_timeout_now()
        self._replica.step_down()
