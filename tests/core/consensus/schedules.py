"""Random schedules of faults, each made from one seed."""

import random

from cassiashift_core import consensus
from tests.core.consensus import cluster as clusters

STEPS = 60


def explore(seed, steps=STEPS, cluster_class=clusters.Cluster):
    """Run one schedule, end all faults and check that proposals commit."""
    rng = random.Random(seed)
    hosts = rng.choice(('abc', 'abc', 'abcde'))
    cluster = cluster_class(seed, hosts, spares='x')
    for node in cluster.nodes.values():
        node.rate = rng.uniform(0.97, 1.03)
    cluster.run(rng.uniform(1, 4))
    for _ in range(steps):
        rng.choice(ACTIONS)(cluster, rng)
        cluster.run(rng.choice((0.005, 0.05, 0.4, 1.5)))
    cluster.heal()
    for host in cluster.nodes:
        cluster.start(host)
    cluster.settle_members()
    return cluster


def _random_host(cluster, rng):
    return rng.choice(sorted(cluster.nodes))


def propose(cluster, rng):
    """Make proposals at every running host, leader or not."""
    for node in cluster.nodes.values():
        if node.is_up:
            for _ in range(rng.randint(1, 15)):
                cluster.post(node.host, consensus.Propose)


def read(cluster, rng):
    """Request a read at every host."""
    for host in cluster.nodes:
        cluster.post(host, consensus.Read)


def crash(cluster, rng):
    """Kill a process between two writes of its storage."""
    cluster.crash(_random_host(cluster, rng), rng.randint(0, 2))


def crash_leader(cluster, rng):
    """Kill the leader's process."""
    if cluster.leader():
        cluster.crash(cluster.leader().host, rng.randint(0, 2))


def fail_storage(cluster, rng):
    """Fail a storage; the process may open it again."""
    cluster.fail_storage(_random_host(cluster, rng), rng.randint(0, 2))


def fail_leader_storage(cluster, rng):
    """Fail the leader's storage, and open it again a little later."""
    leader = cluster.leader()
    if leader:
        cluster.fail_storage(leader.host, rng.randint(0, 2))
        cluster.run(rng.choice((0.005, 0.25, 1.2)))
        cluster.start(leader.host)


def fail_storages_in_turn(cluster, rng):
    """Fail all storages one after another, each open again before."""
    hosts = sorted(cluster.nodes)
    for host in rng.sample(hosts, len(hosts)):
        cluster.fail_storage(host, rng.randint(0, 2))
        cluster.run(rng.choice((0.005, 0.05, 0.4)))
        cluster.start(host)


def start_all(cluster, rng):
    """Start every host that is down."""
    for host in cluster.nodes:
        cluster.start(host)


def restart_all(cluster, rng):
    """Kill all processes at once and start them."""
    for host in cluster.nodes:
        cluster.crash(host, rng.randint(0, 1))
    start_all(cluster, rng)


def cut_one_way(cluster, rng):
    """Cut one direction between two hosts."""
    cluster.cuts.add((_random_host(cluster, rng), _random_host(cluster, rng)))


def isolate_leader(cluster, rng):
    """Cut all links of the leader."""
    if cluster.leader():
        cluster.isolate(cluster.leader().host)


def recover(cluster, rng):
    """End all faults, start all hosts, and propose after 3 seconds."""
    cluster.heal()
    start_all(cluster, rng)
    cluster.run(3)
    cluster.propose(rng.randint(1, 15))


def disturb(cluster, rng):
    """Lose, duplicate and delay messages at random."""
    cluster.faults = clusters.Faults(
        rng.uniform(0, 0.3), rng.uniform(0, 0.3), rng.uniform(0, 0.3)
    )


def stall_disk(cluster, rng):
    """Stall a disk until the next ``recover``."""
    cluster.nodes[_random_host(cluster, rng)].is_stalled = True


def step_clock(cluster, rng):
    """Step a monotonic clock, which should never happen."""
    cluster.step_clock(
        _random_host(cluster, rng), rng.choice((-3, -0.5, 0.4, 5))
    )


def hand_over(cluster, rng):
    """Start a handover at the leader."""
    leader = cluster.leader()
    if leader:
        cluster.handle(leader, consensus.HandOver())


def change_voters(cluster, rng):
    """Add a host to the voters or remove one; keep at least three."""
    leader = cluster.leader()
    if leader:
        host = _random_host(cluster, rng)
        member = leader.replica.voters.find(host)
        fields = {'remove' if member else 'add': host}
        if not member and rng.random() < 0.5:
            fields['incarnation'] = cluster.nodes[host].disk.incarnation
        if not member or len(leader.replica.voters.voter_hosts) > 3:
            cluster.post(leader.host, consensus.ChangeVoters, **fields)


ACTIONS = (
    propose,
    propose,
    propose,
    propose,
    read,
    read,
    crash,
    crash_leader,
    fail_storage,
    fail_leader_storage,
    fail_storages_in_turn,
    start_all,
    start_all,
    restart_all,
    cut_one_way,
    isolate_leader,
    recover,
    recover,
    recover,
    disturb,
    stall_disk,
    step_clock,
    hand_over,
    change_voters,
    change_voters,
)
