"""The roles of a replica: guards and entry actions of the chart."""

import functools
import random

from cassiashift_core import charts
from cassiashift_core.consensus import config
from cassiashift_core.consensus import effects
from cassiashift_core.consensus import election
from cassiashift_core.consensus import leader as leader_state
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import proposals
from cassiashift_core.consensus import records
from cassiashift_core.consensus import state as shared_state

ROLES = {role.value: role for role in effects.Role}


class RoleState(shared_state.ReplicaState):
    """A replica's state with its role, as ``voter.toml`` describes it.

    Attributes:
        leading: what belongs to the leader only.
    """

    def __init__(
        self,
        cfg: config.ReplicaConfig,
        saved: records.SavedState,
        rng: random.Random,
    ) -> None:
        """Start as a follower."""
        super().__init__(cfg, saved, rng)
        self._election = election.Election(self)
        self._proposals = proposals.Proposals(self)
        self.leading: leader_state.Leader | None = None
        _chart().bind(self)

    @property
    def role(self) -> effects.Role:
        """Return the role."""
        return ROLES[self.state]

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
            self._refuse_leader(sender)
            return False
        if msg.incarnation not in ('', self.incarnation):
            self.identity_refused()
            self._refuse_leader(sender)
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

    def _follow(self) -> None:
        if self.role is not effects.Role.FOLLOWER:
            self.step_down()

    def _stop_leading(self) -> None:
        if self.leading is not None:
            self.leader = None
            self.leading.reads.fail()
            self.leading.changes.fail(effects.Reason.UNKNOWN)
            self.leading = None

    def _refuse_leader(self, sender: str) -> None:
        # Round 0 is evidence of nothing: the sender may lead this replica's
        # term by now, and the round was one of an older term.
        reply = messages.AppendReply(self.term, 0, False, 0, self.incarnation)
        self.outbox.send_synced(sender, reply)


@functools.cache
def _chart() -> charts.Chart:
    package = 'cassiashift_core.consensus'
    return charts.load(package, 'voter.toml', RoleState)
