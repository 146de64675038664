"""Invariants of consensus, checked on every effect of every replica."""

from cassiashift_core import consensus


class Violation(AssertionError):
    """An invariant that does not hold."""


def require(holds, *text):
    """Raise Violation with a text unless a condition holds."""
    if not holds:
        raise Violation(' '.join(str(part) for part in text))


class Checker:
    """Checks invariants against all that the replicas have done so far."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.leaders = {}
        self.entries = {}
        self.votes = {}
        self.holders = {}
        self.committed = {}
        self.commit_terms = {}
        self.max_committed = 0
        self.reads = {}
        self.handed_over = set()

    def on_persist(self, node, effect):
        """Check that logs match and that no applied entry is dropped."""
        first = effect.truncate_from
        if first is not None and effect.snapshot is None:
            kept = node.replica.applied_index
            require(
                first > kept,
                node.host,
                'truncates applied entries from',
                first,
            )
        for entry in effect.entries:
            key = (entry.index, entry.term)
            prev = node.replica.log.term_at(entry.index - 1)
            first_seen = self.entries.setdefault(key, (entry, prev))
            same = first_seen[0] == entry and prev in (None, first_seen[1])
            require(same, 'logs do not match at', key)
            if entry.voters is not None:
                self._check_new_voters(node, entry)

    def _check_new_voters(self, node, entry):
        before = node.replica.log.voters_at(entry.index - 1)
        if node.replica.role is not consensus.Role.LEADER:
            return
        if entry.voters.quorum == before.quorum:
            return
        for host in set(entry.voters.voter_hosts) - set(before.voter_hosts):
            disk = self.cluster.nodes[host].disk
            is_caught_up = disk.last_index >= self.max_committed
            require(is_caught_up, host, 'becomes a voter before it caught up')

    def on_synced(self, node, effect):
        """Record which hosts hold entries durably."""
        for entry in effect.entries:
            key = (entry.index, entry.term)
            self.holders.setdefault(key, set()).add(node.host)

    def on_send(self, node, effect):
        """Check that a message relies only on synced changes."""
        message = effect.message
        hard_state = node.disk.hard_state
        if isinstance(message, consensus.TimeoutNow):
            self.handed_over.add((effect.receiver, message.term + 1))
        if isinstance(message, consensus.VoteRequest) and message.handover:
            handed_over = (node.host, message.term) in self.handed_over
            require(handed_over, node.host, 'campaigns without a handover')
        if isinstance(message, consensus.VoteReply):
            self._on_vote(node, effect, hard_state)
        if isinstance(message, consensus.AppendReply) and message.success:
            durable = node.disk.last_index >= message.index
            require(durable, node.host, 'acknowledges unsynced entries')
        require(
            hard_state.term >= message.term
            or isinstance(message, consensus.VoteRequest),
            node.host,
            'sends before its term is synced',
        )

    def _on_vote(self, node, effect, hard_state):
        message = effect.message
        if message.pre_vote or not message.granted:
            return
        key = (node.host, message.incarnation, message.term)
        voted = self.votes.setdefault(key, effect.receiver)
        require(voted == effect.receiver, node.host, 'votes twice')
        if hard_state.term <= message.term:
            require(
                hard_state.term == message.term and hard_state.vote,
                node.host,
                'votes unsynced',
            )
            require(
                hard_state.vote == effect.receiver, node.host, 'votes twice'
            )

    def on_apply(self, node, effect):
        """Check the order and the durability of applied entries."""
        for entry in effect.entries:
            require(
                entry.index == node.applied + 1,
                node.host,
                'applies out of order',
            )
            node.applied = entry.index
            self._on_committed(node, entry)

    def _on_committed(self, node, entry):
        if entry.index not in self.committed:
            self.committed[entry.index] = entry
            self.commit_terms[entry.index] = node.replica.term
            self.max_committed = max(self.max_committed, entry.index)
            self._check_quorum(node, entry)
        committed = self.committed[entry.index]
        require(committed == entry, 'committed entry', entry.index, 'differs')
        is_durable = node.disk.last_index >= entry.index
        require(is_durable, node.host, 'applies before it is synced')

    def _check_quorum(self, node, entry):
        log = node.replica.log
        sets = (log.voters_at(entry.index), log.voters)
        require(
            any(self._is_held_by_quorum(item, entry) for item in sets),
            'entry',
            entry.index,
            'is applied without a quorum that synced it',
        )

    def _is_held_by_quorum(self, voters, entry):
        holders = self.holders.get((entry.index, entry.term), set())
        count = 0
        for host in voters.voter_hosts:
            node = self.cluster.nodes[host]
            count += host in holders or node.disk.covers(entry.index)
        return count >= voters.quorum

    def on_install(self, node, effect):
        """Check that a snapshot does not revert applied entries."""
        index = effect.snapshot.index
        require(index >= node.applied, node.host, 'reverts to', index)
        node.applied = index

    def on_role(self, node, effect):
        """Check that a term has one leader, with all committed entries.

        An election of an older term may be won late. That leader need not
        hold entries committed in its term or a later one.
        """
        if effect.role is not consensus.Role.LEADER:
            return
        leader = self.leaders.setdefault(effect.term, node.host)
        require(leader == node.host, 'two leaders in term', effect.term)
        log = node.replica.log
        for index, entry in self.committed.items():
            is_older = self.commit_terms[index] < effect.term
            if index > log.base_index and is_older:
                require(
                    log.term_at(index) == entry.term,
                    node.host,
                    'leads without the committed entry',
                    index,
                )

    def on_read(self, token):
        """Record the index that a read must reflect."""
        self.reads[token] = self.max_committed

    def on_read_ready(self, node, effect):
        """Check that a read reflects all entries committed before it."""
        min_index = self.reads[effect.token]
        require(effect.index >= min_index, node.host, 'answers a stale read')
        require(
            node.applied >= effect.index, 'serves a read before it applied'
        )

    def check_leases(self):
        """Check that no newer leader exists while one holds a lease."""
        nodes = [node for node in self.cluster.nodes.values() if node.is_up]
        terms = [
            node.replica.term
            for node in nodes
            if node.replica.role is consensus.Role.LEADER
        ]
        for node in nodes:
            if len(terms) > 1 and node.replica.has_lease(node.clock()):
                require(
                    node.replica.term >= max(terms),
                    node.host,
                    'holds a lease beside a newer leader',
                )
