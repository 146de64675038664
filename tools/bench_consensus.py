"""Measures elections, messages and processor time in virtual time.

Usage: tools/run python -m tools.bench_consensus core|election|wire

Elections are in units of the election timeout.
"""

import argparse
import collections
import itertools
import random
import statistics
import timeit

import msgspec

from cassiashift_core import consensus
from tests.core.consensus import cluster as clusters

PAYLOAD_BYTES = 200
ELECTION_SEEDS = 200
WIRE_SECONDS = 100
CHANGES = 1_000
LINK_DELAY_S = 0.002


class CountingCluster(clusters.Cluster):
    """A cluster with ordered links, as TCP has them, that counts bytes."""

    def __init__(self, *args, **settings) -> None:
        """Create the cluster, with its counts at zero."""
        self.sent_bytes = 0
        super().__init__(*args, **settings)

    def _send(self, sender, effect):
        self.sent += 1
        self.sent_bytes += len(msgspec.msgpack.encode(effect.message))
        target = effect.receiver
        args = (sender, target, effect.message)
        self._at(LINK_DELAY_S, self._arrive, *args)


def main() -> None:
    """Run one of the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('what', choices=sorted(MEASUREMENTS))
    MEASUREMENTS[parser.parse_args().what]()


def measure_election() -> None:
    """Print the time from a kill of the leader to the next commit."""
    for hosts, lost in itertools.product(('abc', 'abcde'), (0.0, 0.1)):
        gaps = []
        for seed in range(ELECTION_SEEDS):
            cluster = clusters.Cluster(seed, hosts)
            cluster.run_until(lambda c=cluster: c.leader() is not None)
            cluster.run(1 + cluster.rng.random())
            cluster.faults = clusters.Faults(lost=lost)
            gaps.append(gap_after_kill(cluster) / clusters.TIMEOUT_S)
        quantiles = statistics.quantiles(gaps, n=100)
        print(
            f'voters={len(hosts)} lost={lost} kills={len(gaps)} '
            f'p50={statistics.median(gaps):.2f} p99={quantiles[98]:.2f} '
            f'max={max(gaps):.2f} unit=election_timeout'
        )


def gap_after_kill(cluster) -> float:
    """Kill the leader; return the time until the next commit."""
    before = cluster.checker.max_committed
    cluster.crash(cluster.leader().host)
    start = cluster.now
    while cluster.checker.max_committed == before:
        cluster.run(0.01)
    return cluster.now - start


def measure_core() -> None:
    """Print the core's processor time for a commit, without I/O."""
    replicas = {}
    for host in 'abc':
        cfg = consensus.ReplicaConfig(host=host, voters=tuple('abc'))
        saved = consensus.SavedState(incarnation=host)
        replicas[host] = consensus.Replica.from_config(
            cfg, saved, random.Random(host)
        )
    now = 0.0
    while not any(item.has_lease(now) for item in replicas.values()):
        now += 0.05
        for host in replicas:
            deliver(replicas, host, consensus.Tick(), now)
    leader = next(h for h, item in replicas.items() if item.has_lease(now))
    best_s = min(
        timeit.repeat(
            lambda: deliver(
                replicas, leader, consensus.Propose('t', b'x' * 200), now
            ),
            number=500,
            repeat=10,
        )
    )
    plain_s = min(timeit.repeat(lambda: None, number=500, repeat=10))
    print(
        f'core_us_per_commit={best_s / 500 * 1e6:.0f} '
        f'core_to_plain_call={best_s / plain_s:.0f}'
    )


def deliver(replicas, host: str, event: consensus.Event, now: float) -> None:
    """Handle an event and its effects; no message is late or lost."""
    queue = collections.deque([(host, event)])
    while queue:
        host, event = queue.popleft()
        for effect in replicas[host].handle(event, now):
            if isinstance(effect, consensus.Persist):
                synced = consensus.Synced(effect.sequence)
                queue.append((host, synced))
            elif isinstance(effect, consensus.Send):
                received = consensus.Received(host, effect.message)
                queue.append((effect.receiver, received))


def measure_wire() -> None:
    """Print messages and bytes for each change and for each idle second."""
    for hosts in ('abc', 'abcde'):
        cluster = CountingCluster(1, hosts, snapshot_every_entries=10_000)
        cluster.run(5)
        idle = count_messages(cluster, 0)
        singly = count_messages(cluster, 1)
        tens = count_messages(cluster, 10)
        print(
            f'voters={len(hosts)} '
            f'idle_messages_per_s={idle[0] / WIRE_SECONDS:.1f} '
            f'idle_bytes_per_s={idle[1] / WIRE_SECONDS:.0f} '
            f'messages_per_change={(singly[0] - idle[0]) / CHANGES:.2f} '
            f'bytes_per_change={(singly[1] - idle[1]) / CHANGES:.0f} '
            f'messages_per_change_by_ten={(tens[0] - idle[0]) / CHANGES:.2f} '
            f'bytes_per_change_by_ten={(tens[1] - idle[1]) / CHANGES:.0f}'
        )


def count_messages(cluster: CountingCluster, at_once: int) -> tuple[int, int]:
    """Return messages and bytes for ``CHANGES``, or for idle time if 0."""
    messages, sent_bytes = cluster.sent, cluster.sent_bytes
    if not at_once:
        cluster.run(WIRE_SECONDS)
    for _ in range(CHANGES // at_once if at_once else 0):
        for _ in range(at_once):
            cluster.post(
                cluster.leader().host,
                consensus.Propose,
                data=bytes(PAYLOAD_BYTES),
            )
        cluster.run(WIRE_SECONDS * at_once / CHANGES)
    return cluster.sent - messages, cluster.sent_bytes - sent_bytes


MEASUREMENTS = {
    'core': measure_core,
    'election': measure_election,
    'wire': measure_wire,
}


if __name__ == '__main__':
    main()
