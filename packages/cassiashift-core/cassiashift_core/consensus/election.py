"""Elections with a pre-vote: requesting votes and granting them."""

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records


CAMPAIGNING_ROLES = (effects.Role.PRE_CANDIDATE, effects.Role.CANDIDATE)


class Election:
    """The votes that one replica requests and grants."""

    def __init__(self, replica) -> None:
        """Work on the state of a replica."""
        self._replica = replica
        self._vote_incarnations: dict[str, str] = {}
        self._next_request_at = 0.0
        self._handover_term = 0
        self._split_vote_term = 0

    @property
    def vote_incarnations(self) -> dict[str, str]:
        """Return the incarnation of each host that granted its vote."""
        return self._vote_incarnations

    @property
    def is_handover_election(self) -> bool:
        """Whether a leader has handed over for the current term.

        It has given up its lease then, so the voters need not wait for it.
        """
        return self._handover_term == self._replica.term

    def on_timeout_now(self) -> None:
        """Record that the leader hands over for the next term."""
        self._handover_term = self._replica.term + 1
        self._replica.forget_leader_contact()

    def request_pre_votes(self) -> None:
        """Ask the other voters if they would grant a vote in the next term."""
        replica = self._replica
        self._vote_incarnations = {replica.host: replica.incarnation}
        self._send_requests()
        self._count_votes(pre_vote=True)

    def request_votes(self) -> None:
        """Start a new term, vote for this host and request the other votes.

        The own vote counts once it is durable.
        """
        replica = self._replica
        self._vote_incarnations = {}
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
        """Repeat the requests to voters that have not granted their vote."""
        is_campaigning = self._replica.role in CAMPAIGNING_ROLES
        if is_campaigning and self._replica.now >= self._next_request_at:
            self._send_requests()

    def on_request(self, sender: str, request: messages.VoteRequest) -> None:
        """Answer a request for a vote or a pre-vote.

        There is no answer while a leader may hold a lease, unless that
        leader hands over or all voters have restarted.
        """
        replica = self._replica
        if not replica.check_identity(sender, request.incarnation):
            return
        if self._ends_lease(request):
            replica.forget_leader_contact()
        is_permitted = request.handover or replica.restart.permits_vote(
            request
        )
        if replica.has_live_leader() and not is_permitted:
            return
        if not request.pre_vote:
            replica.observe_term(request.term)
        granted = self.may_grant(sender, request)
        if granted and not request.pre_vote:
            self._grant(sender)
        if self._is_log_newer(request):
            replica.hasten_election()
        if self._is_split_vote(request):
            self._on_competing_candidate(sender, request)
        reply = messages.VoteReply(
            replica.term,
            request.term,
            granted,
            replica.incarnation,
            request.pre_vote,
        )
        replica.outbox.send_synced(sender, reply)

    def may_grant(self, sender: str, request: messages.VoteRequest) -> bool:
        """Return whether a candidate's log and term permit a vote for it."""
        replica = self._replica
        log = replica.log
        if not log.is_candidate_up_to_date(
            request.last_index, request.last_term
        ):
            return False
        if request.pre_vote:
            return request.term > replica.term
        has_vote = replica.vote in ('', sender)
        return has_vote and request.term == replica.term

    def on_reply(self, sender: str, reply: messages.VoteReply) -> None:
        """Count a vote if it belongs to the current election."""
        replica = self._replica
        if reply.term > replica.term and not reply.granted:
            replica.observe_term(reply.term)
            return
        if not self._is_current(reply):
            return
        if not reply.granted:
            return
        if not replica.check_identity(sender, reply.incarnation):
            return
        self._vote_incarnations[sender] = reply.incarnation
        self._count_votes(reply.pre_vote)

    def _ends_lease(self, request: messages.VoteRequest) -> bool:
        """Return whether the leader that this host heard last handed over.

        The leader of the term before the request's has given up its lease,
        and older leaders lost theirs before it was elected.
        """
        return request.handover and request.term > self._replica.term

    def _is_log_newer(self, request: messages.VoteRequest) -> bool:
        """Return whether a candidate can't win without a newer log."""
        replica = self._replica
        is_follower = replica.role is effects.Role.FOLLOWER
        return is_follower and not replica.log.is_candidate_up_to_date(
            request.last_index, request.last_term
        )

    def _is_split_vote(self, request: messages.VoteRequest) -> bool:
        replica = self._replica
        is_candidate = replica.role is effects.Role.CANDIDATE
        same_term = request.term == replica.term
        is_first = self._split_vote_term != replica.term
        return is_candidate and same_term and is_first and not request.pre_vote

    def _on_competing_candidate(
        self, sender: str, request: messages.VoteRequest
    ) -> None:
        self._split_vote_term = request.term
        log = self._replica.log
        priority = (request.last_term, request.last_index, sender)
        own_priority = (log.last_term, log.last_index, self._replica.host)
        if own_priority > priority:
            self._replica.set_retry_timer()
        else:
            self._replica.reset_election_timer()

    def _is_current(self, reply: messages.VoteReply) -> bool:
        replica = self._replica
        if reply.pre_vote:
            is_pre_candidate = replica.role is effects.Role.PRE_CANDIDATE
            return is_pre_candidate and reply.request_term == replica.term + 1
        is_candidate = replica.role is effects.Role.CANDIDATE
        return is_candidate and reply.request_term == replica.term

    def _grant(self, candidate: str) -> None:
        replica = self._replica
        replica.save_hard_state(
            records.HardState(replica.term, candidate, replica.commit_index)
        )
        replica.reset_election_timer()

    def _count_votes(self, pre_vote: bool) -> None:
        replica = self._replica
        voters = replica.log.voters
        votes = sum(
            host in self._vote_incarnations for host in voters.voter_hosts
        )
        if votes < voters.votes_needed:
            return
        if pre_vote:
            replica.pre_vote_won()
        else:
            replica.vote_won()

    def _send_requests(self) -> None:
        replica = self._replica
        self._next_request_at = replica.now + replica.cfg.heartbeat_s
        is_pre_vote = replica.role is effects.Role.PRE_CANDIDATE
        for host in replica.other_voters:
            if host in self._vote_incarnations:
                continue
            request = messages.VoteRequest(
                replica.term + 1 if is_pre_vote else replica.term,
                replica.log.last_index,
                replica.log.last_term,
                replica.incarnation,
                is_pre_vote,
                self.is_handover_election and not is_pre_vote,
                replica.restart.is_complete,
            )
            replica.outbox.send_synced(host, request)
