"""The roles of a replica: guards and entry actions of the chart."""

import functools
import random

from cassiashift_core import charts
from cassiashift_core.consensus import config
from cassiashift_core.consensus import contact as leader_contact
from cassiashift_core.consensus import effects
from cassiashift_core.consensus import election
from cassiashift_core.consensus import leader as leader_state
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import proposals
from cassiashift_core.consensus import records
from cassiashift_core.consensus import restart
from cassiashift_core.consensus import state as replica_state

ROLES = {role.value: role for role in effects.Role}


class RoleState(replica_state.ReplicaState):
    """A replica's state with its role, as ``voter.toml`` describes it.

    Attributes:
        leadership: the state of the leader; None in other roles.
    """

    def __init__(
        self,
        cfg: config.ReplicaConfig,
        saved: records.SavedState,
        rng: random.Random,
        contact: leader_contact.LeaderContact,
    ) -> None:
        """Start as a follower with the saved state."""
        super().__init__(cfg, saved, rng, contact)
        self._election = election.Election(self)
        self.restart = restart.RestartEvidence(self)
        self._proposals = proposals.Proposals(self)
        self.leadership: leader_state.Leader | None = None
        _chart().bind(self)

    @property
    def role(self) -> effects.Role:
        """Return the role, which is the state of the chart."""
        return ROLES[self.state]

    def may_campaign(self) -> bool:
        """Return whether this host is a voter that may be elected."""
        voters = self.log.voters
        if self.host not in voters.voter_hosts:
            return False
        return voters.find(self.host).incarnation in ('', self.incarnation)

    def enter_follower(self) -> None:
        """Drop the leader's state and wait for a leader."""
        self._stop_leading()
        self.reset_election_timer()

    def enter_pre_candidate(self) -> None:
        """Start a pre-vote, which does not change the term."""
        self.leader = None
        self.reset_election_timer()
        self._election.request_pre_votes()

    def enter_candidate(self) -> None:
        """Start an election in a new term."""
        self.leader = None
        self.reset_election_timer()
        self._election.request_votes()

    def enter_leader(self) -> None:
        """Start to lead, with an entry of the new term.

        The entry records the incarnations of the voters if some are missing,
        and is a no-op otherwise.
        """
        self.leader = self.host
        self.had_leader_contact = True
        self.leadership = leader_state.Leader(self)
        self.leadership.update_peers()
        voters = self.log.voters
        if voters.is_bound:
            self.append_as_leader(records.EntryKind.NOOP)
        else:
            bound = voters.bind(self._election.vote_incarnations)
            self.append_as_leader(records.EntryKind.VOTERS, voters=bound)
        self.leadership.send_heartbeats()

    def enter_refused(self) -> None:
        """Stop voting: the host's data folder was replaced or lost entries."""
        self.leader = None
        self.outbox.drop_held()

    def enter_failed(self) -> None:
        """Stop for good after a storage failure.

        Held messages are dropped; the owner must restart the replica. A
        leader names a successor.
        """
        if self.leadership is not None:
            self.leadership.abdicate()
        self.leader = None
        self._stop_leading()
        self._proposals.fail_all()
        self.outbox.drop_held()

    def observe_term(self, term: int) -> None:
        """Adopt a newer term as a follower; its leader is unknown yet."""
        if term <= self.term:
            return
        self.leader = None
        self.save_hard_state(records.HardState(term, '', self.commit_index))
        self._become_follower()

    def accept_leader(self, sender: str, msg) -> bool:
        """Return whether a message is from the leader; follow it if so.

        Messages of older terms, and ones meant for another data folder, are
        rejected.
        """
        if msg.term < self.term:
            self._reject_leader(sender)
            return False
        if msg.incarnation not in ('', self.incarnation):
            self.identity_refused()
            self._reject_leader(sender)
            return False
        if self.role is effects.Role.REFUSED:
            self.identity_accepted()
        self.observe_term(msg.term)
        self._become_follower()
        self.record_leader_contact(sender)
        return True

    def has_live_leader(self) -> bool:
        """Return whether this replica leads or may support a leader's lease.

        It must not help to elect another leader then.
        """
        return self.leadership is not None or self.may_leader_hold_lease()

    def append_as_leader(
        self,
        kind: records.EntryKind,
        token: str = '',
        data: bytes = b'',
        voters: records.VoterSet | None = None,
    ) -> None:
        """Append an entry of the current term as leader and replicate it."""
        index = self.log.last_index + 1
        entry = records.Entry(index, self.term, kind, data, voters)
        self.append((entry,))
        if token:
            self._proposals.track(token, index, self.term)
        if voters is not None:
            self.leadership.update_peers()
        self.leadership.replicate()

    def _become_follower(self) -> None:
        if self.role is not effects.Role.FOLLOWER:
            self.step_down()

    def _stop_leading(self) -> None:
        if self.leadership is not None:
            self.leader = None
            self.leadership.reads.fail_all()
            self.leadership.changes.fail(effects.FailureReason.UNKNOWN)
            self.leadership = None

    def _reject_leader(self, sender: str) -> None:
        # Round 0 counts as no reply. The sender may lead this replica's term
        # by now, and the round of its message belongs to an older term.
        reply = messages.AppendReply(self.term, 0, False, 0, self.incarnation)
        self.outbox.send_synced(sender, reply)


@functools.cache
def _chart() -> charts.Chart:
    package = 'cassiashift_core.consensus'
    return charts.load(package, 'voter.toml', RoleState)
