"""A simulated deployment whose disks are full one after another.

A voter whose storage has failed is opened again after a pause, and hosts
join the log, as in the process of an entry.
"""

import random

from cassiashift_core import consensus
from cassiashift_core import errors
from cassiashift_core import fleet
from cassiashift_daemon.direct import voting
from tests.core.consensus import checks
from tests.core.consensus import cluster
from tests.daemon.storage import stored

ACK_TIMEOUT_S = 4.0
JOIN_S = 60.0
CHECK_S = 0.05
# Steps that fail on a full disk, by how the file system reserves its space.
REFUSALS = (
    {'write'},
    {'write', 'create'},
    {'write', 'create', 'replace', 'sync_folder'},
    {'write', 'create', 'replace', 'sync_folder', 'sync'},
    {'sync'},
    {'create'},
)


class Deployment(stored.StoredCluster):
    """Hosts with a disk; the first one starts the log, the others join it.

    Attributes:
        slow: hosts whose syncs take long.
        failures: how often a voter has ended after a failed write.
        longest_silence_s: longest time without a commit so far, while
            changes were proposed.
    """

    def __init__(self, seed, hosts, **settings):
        self.slow = set()
        self.removed = set()
        self.failures = 0
        self.longest_silence_s = 0.0
        self._silent_since = 0.0
        self._is_proposing = False
        self._proposing_rng = random.Random(seed)
        self._tolerated = (len(hosts) - 1) // 2
        settings = {'snapshot_every_entries': 20} | settings
        super().__init__(seed, hosts[:1], hosts[1:], **settings)
        self._change_voters()

    def start(self, host):
        """Open the folder of a host, again after a pause if it fails."""
        if host in self.removed:
            return
        try:
            super().start(host)
        except (errors.CassiashiftError, OSError):
            self._at(voting.REOPEN_AFTER_S, self.start, host)

    def add(self, host, fail_at=None):
        """Start a host with an empty disk, of which one step may fail."""
        disk = self._new_disk()
        disk.files.fail_at = fail_at
        self.nodes[host] = cluster.Node(host, disk, self)
        self.start(host)

    def remove(self, host):
        """End a host for good."""
        self.crash(host)
        self.removed.add(host)

    def lose_power(self, lost, are_emptied):
        """End all processes at once, lose some disks, and start the others.

        Hosts whose disk is lost come back with an empty one, or never.
        """
        for host, node in self.nodes.items():
            if node.is_up:
                self.crash(host)
            else:
                node.disk.files = node.disk.files.reboot()
        # A system that has been started is not founded again.
        self.voters = ()
        for host in lost:
            self.nodes[host].disk = self._new_disk()
        if not are_emptied:
            self.removed |= set(lost)
        for host in self.nodes:
            self.start(host)

    def fill(self, host, refused):
        """Let the disk of a host refuse some steps from now on."""
        self.nodes[host].disk.files.refused = frozenset(refused)

    def free(self, host):
        """Let the disk of a host accept all steps again."""
        self.fill(host, ())

    def propose_every(self, interval_s, longest_bytes=200):
        """Propose a change at the leader, if there is one, periodically."""
        self._is_proposing = True
        self._silent_since = self.now
        self._propose_next(interval_s, longest_bytes)

    def settle_within(self, limit_s):
        """Run until a new change is read back at each voter; return seconds.

        Fails after ``limit_s``.
        """
        self._is_proposing = False
        started = self.now
        before = self.checker.max_committed
        while not self._is_read_back(before):
            checks.require(
                self.now - started < limit_s,
                'no change is read back within',
                limit_s,
                {
                    node.host: node.is_up and node.replica.role
                    for node in self.nodes.values()
                },
            )
            self.propose()
            self.run(CHECK_S)
        return self.now - started

    def voter_hosts(self):
        """Return the voters that the leader knows; empty without one."""
        leader = self.leader()
        return leader.replica.voters.voter_hosts if leader else ()

    def have_all_joined(self):
        """Return whether the voters are all hosts but the removed ones."""
        return set(self.nodes) - self.removed == set(self.voter_hosts())

    def _is_read_back(self, before):
        return (
            self.checker.max_committed > before
            and self.have_all_joined()
            and all(
                self.nodes[host].applied > before
                for host in set(self.nodes) - self.removed
            )
        )

    def _propose_next(self, interval_s, longest_bytes):
        if not self._is_proposing:
            return
        leader = self.leader()
        if leader is not None:
            size = self._proposing_rng.randint(1, longest_bytes)
            self.post(leader.host, consensus.Propose, data=bytes(size))
        self._at(interval_s, self._propose_next, interval_s, longest_bytes)

    def _carry_out(self, node, effect):
        before = self.checker.max_committed
        super()._carry_out(node, effect)
        if self.checker.max_committed > before:
            silence_s = self.now - self._silent_since
            if self._is_proposing:
                self.longest_silence_s = max(self.longest_silence_s, silence_s)
            self._silent_since = self.now

    def _start_sync(self, node):
        if node.host not in self.slow or not node.disk.pending:
            super()._start_sync(node)
        elif not node.is_syncing:
            node.is_syncing = True
            delay_s = self.rng.uniform(0.05, 0.3)
            self._at(delay_s, self._sync, node, node.start_count)

    def _sync(self, node, start_count):
        try:
            super()._sync(node, start_count)
        except errors.CassiashiftError:
            self._fail_voter(node)

    def _fail_voter(self, node):
        self.failures += 1
        self.fail_storage(node.host)
        self._at(voting.REOPEN_AFTER_S, self.start, node.host)

    def _change_voters(self):
        self._at(voting.CHANGE_INTERVAL_S, self._change_voters)
        leader = self.leader()
        if leader is None:
            return
        alive = self._alive_records(leader.host)
        change = fleet.next_voter_change(
            leader.replica.voters, leader.host, alive, self._tolerated
        )
        if change is not None:
            add, remove = change
            stores = {record.host: record.store for record in alive}
            self.post(
                leader.host,
                consensus.ChangeVoters,
                add=add,
                remove=remove,
                incarnation=stores.get(add, ''),
            )

    def _alive_records(self, own_host):
        return [
            fleet.EntryRecord(
                host, '', 'east', 'r', 1, store=node.disk.incarnation
            )
            for host, node in self.nodes.items()
            if host != own_host and host not in self.removed
        ]


def explore(seed, hosts, rounds, is_changing=False):
    """Fill the disks one after another, never two at once.

    Args:
        is_changing: a host is added before each round, and one may end for
            good.

    Returns:
        the deployment, and the seconds from the time at which the last disk
        had room again until a change was read back at each voter.
    """
    rng = random.Random(seed)
    deployment = Deployment(seed, hosts)
    if rng.random() < 0.7 or is_changing:
        deployment.settle_within(JOIN_S)
    deployment.propose_every(
        rng.choice((0.02, 0.1, 0.5, 1.5)), rng.choice((10, 200, 3000))
    )
    shortest_s, longest_s = rng.choice(((0.1, 1.0), (1.5, 3.0), (3.0, 6.0)))
    gap_s = rng.choice((0.0, 0.05, 0.5, 2.0))
    hosts = list(hosts)
    for number in range(rounds):
        if rng.random() < 0.3:
            deployment.slow = {rng.choice(hosts)}
        if is_changing:
            deployment.run_until(deployment.have_all_joined)
            if rng.random() < 0.5:
                deployment.remove(hosts.pop(rng.randrange(len(hosts))))
            hosts.append(f'x{number}')
            deployment.add(hosts[-1])
            deployment.run(rng.uniform(0.0, 1.5))
        for host in rng.sample(hosts, len(hosts)):
            deployment.fill(host, rng.choice(REFUSALS))
            deployment.run(rng.uniform(shortest_s, longest_s))
            deployment.free(host)
            deployment.run(gap_s)
    deployment.slow = set()
    return deployment, deployment.settle_within(ACK_TIMEOUT_S)


def explore_in_turn(seed, hosts, shortest_s, longest_s, rounds=3):
    """Fill the disks for some seconds each, one right after another.

    Returns:
        the longest time in seconds without a commit.
    """
    rng = random.Random(seed)
    deployment = Deployment(seed, hosts)
    deployment.settle_within(JOIN_S)
    deployment.propose_every(0.1)
    for _ in range(rounds):
        for host in rng.sample(hosts, len(hosts)):
            deployment.fill(host, rng.choice(REFUSALS))
            deployment.run(rng.uniform(shortest_s, longest_s))
            deployment.free(host)
    deployment.run(ACK_TIMEOUT_S)
    return deployment.longest_silence_s
