"""Elections with a pre-vote; who may be elected, and by whom."""

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records


ASKING_ROLES = (effects.Role.PRE_CANDIDATE, effects.Role.CANDIDATE)


class Election:
    """The votes asked for and given by one replica."""

    def __init__(self, replica) -> None:
        """Work on the state of a replica."""
        self._replica = replica
        self._incarnations: dict[str, str] = {}
        self._next_request = 0.0
        self._appointed_term = 0
        self._contested_term = 0

    @property
    def incarnations(self) -> dict[str, str]:
        """Return the data folders of the hosts that gave their vote."""
        return self._incarnations

    @property
    def is_appointed(self) -> bool:
        """Tell whether a leader gave up its lease for the current term."""
        return self._appointed_term == self._replica.term

    def note_appointment(self) -> None:
        """Note that the leader gave up its lease for the next term."""
        self._appointed_term = self._replica.term + 1

    def ask_for_pre_votes(self) -> None:
        """Ask whether an election in the next term could be won."""
        replica = self._replica
        self._incarnations = {replica.host: replica.incarnation}
        self._send_requests()
        self._count(pre_vote=True)

    def ask_for_votes(self) -> None:
        """Vote for oneself in a new term and ask the others to follow."""
        replica = self._replica
        self._incarnations = {}
        hard_state = records.HardState(
            replica.term + 1, replica.host, replica.commit_index
        )
        replica.save_hard_state(hard_state)
        self._send_requests()
        own = messages.VoteReply(
            replica.term, replica.term, True, replica.incarnation
        )
        replica.outbox.send_synced(replica.host, own)

    def on_tick(self) -> None:
        """Ask those again who have not given their vote."""
        is_asking = self._replica.role in ASKING_ROLES
        if is_asking and self._replica.now >= self._next_request:
            self._send_requests()

    def answer(self, sender: str, request: messages.VoteRequest) -> None:
        """Answer a request for a vote or a pre-vote."""
        replica = self._replica
        if not replica.knows_identity(sender, request.incarnation):
            return
        if replica.hears_leader() and not request.handover:
            return
        if not request.pre_vote:
            replica.observe_term(request.term)
        granted = self.may_grant(sender, request)
        if granted and not request.pre_vote:
            self._grant(sender)
        if self._is_contested(request):
            self._on_rival(sender, request)
        reply = messages.VoteReply(
            replica.term,
            request.term,
            granted,
            replica.incarnation,
            request.pre_vote,
        )
        replica.outbox.send_synced(sender, reply)

    def may_grant(self, sender: str, request: messages.VoteRequest) -> bool:
        """Tell whether a candidate's log and term deserve the vote."""
        replica = self._replica
        log = replica.log
        if not log.is_behind(request.last_index, request.last_term):
            return False
        if request.pre_vote:
            return request.term > replica.term
        is_free = replica.vote in ('', sender)
        return is_free and request.term == replica.term

    def on_reply(self, sender: str, reply: messages.VoteReply) -> None:
        """Count a vote for the election that is under way."""
        replica = self._replica
        if reply.term > replica.term and not reply.granted:
            replica.observe_term(reply.term)
            return
        if not self._is_current(reply):
            return
        if not reply.granted:
            return
        if not replica.knows_identity(sender, reply.incarnation):
            return
        self._incarnations[sender] = reply.incarnation
        self._count(reply.pre_vote)

    def _is_contested(self, request: messages.VoteRequest) -> bool:
        replica = self._replica
        is_asking = replica.role is effects.Role.CANDIDATE
        same_term = request.term == replica.term
        is_new = self._contested_term != replica.term
        return is_asking and same_term and is_new and not request.pre_vote

    def _on_rival(self, sender: str, request: messages.VoteRequest) -> None:
        self._contested_term = request.term
        log = self._replica.log
        rank = (request.last_term, request.last_index, sender)
        own_rank = (log.last_term, log.last_index, self._replica.host)
        if own_rank > rank:
            self._replica.retry_election()
        else:
            self._replica.defer_election()

    def _is_current(self, reply: messages.VoteReply) -> bool:
        replica = self._replica
        if reply.pre_vote:
            is_asking = replica.role is effects.Role.PRE_CANDIDATE
            return is_asking and reply.request_term == replica.term + 1
        is_asking = replica.role is effects.Role.CANDIDATE
        return is_asking and reply.request_term == replica.term

    def _grant(self, candidate: str) -> None:
        replica = self._replica
        replica.save_hard_state(
            records.HardState(replica.term, candidate, replica.commit_index)
        )
        replica.defer_election()

    def _count(self, pre_vote: bool) -> None:
        replica = self._replica
        voters = replica.log.voters
        votes = sum(host in self._incarnations for host in voters.voter_hosts)
        if votes < voters.votes_needed:
            return
        if pre_vote:
            replica.pre_vote_won()
        else:
            replica.vote_won()

    def _send_requests(self) -> None:
        replica = self._replica
        self._next_request = replica.now + replica.cfg.heartbeat_s
        is_pre_vote = replica.role is effects.Role.PRE_CANDIDATE
        request = messages.VoteRequest(
            replica.term + 1 if is_pre_vote else replica.term,
            replica.log.last_index,
            replica.log.last_term,
            replica.incarnation,
            is_pre_vote,
            self.is_appointed and not is_pre_vote,
        )
        for host in replica.other_voters:
            if host not in self._incarnations:
                replica.outbox.send_synced(host, request)
