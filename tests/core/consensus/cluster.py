"""A seeded cluster of replicas with faulty links, disks and clocks."""

import collections
import heapq
import itertools
import random

import attrs
import msgspec

from cassiashift_core import consensus
from tests.core.consensus import checks

TIMEOUT_S = 1.0


class Disk:
    """Durable state, and pending changes, which a crash loses."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.hard_state = consensus.HardState()
        self.entries = []
        self.snapshot = None
        self.pending = collections.deque()

    @property
    def base(self):
        """Return the last index that the snapshot covers, or 0."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self):
        """Return the last durable index."""
        return self.entries[-1].index if self.entries else self.base

    def covers(self, index):
        """Return whether the snapshot covers an index."""
        return self.base >= index

    def sync(self):
        """Make the oldest change durable and return it."""
        effect = self.pending.popleft()
        self.hard_state = effect.hard_state or self.hard_state
        first = effect.truncate_from
        if first is not None:
            self.entries = [e for e in self.entries if e.index < first]
        if effect.snapshot is not None:
            self.snapshot = effect.snapshot
            self.entries = [e for e in self.entries if e.index > self.base]
        self.entries.extend(effect.entries)
        return effect

    def fail(self):
        """Lose the pending changes, as after a failed write."""
        self.pending.clear()

    def load(self):
        """Return the durable state."""
        return consensus.SavedState(
            self.hard_state,
            tuple(self.entries),
            self.snapshot,
            self.incarnation,
        )


@attrs.define(eq=False)
class Node:
    """One host: a replica that may be down, its disk and its clock."""

    host: str
    disk: Disk
    cluster: 'Cluster'
    replica: consensus.Replica | None = None
    rate: float = 1.0
    offset_s: float = 0.0
    start_count: int = 0
    applied: int = 0
    is_syncing: bool = False
    is_stalled: bool = False
    contact: consensus.LeaderContact | None = None

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.replica is not None

    def clock(self):
        """Return the host's own time, in seconds."""
        return self.cluster.now * self.rate + self.offset_s


@attrs.define
class Faults:
    """Shares of messages that are lost, duplicated or delayed for long."""

    lost: float = 0.0
    duplicated: float = 0.0
    late: float = 0.0


class Cluster:
    """Replicas driven by one queue of events in virtual time."""

    def __init__(self, seed, hosts='abc', spares='', **settings):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.faults = Faults()
        self.cuts = set()
        self.losses = set()
        self.checker = checks.Checker(self)
        self.settings = {'snapshot_every_entries': 40} | settings
        self.settings.setdefault('trailing_entries', 10)
        self.voters = tuple(hosts)
        self.outcomes = {}
        self.sent = 0
        self.use_codec = False
        self._queue = []
        self._order = itertools.count()
        self._tokens = itertools.count()
        self._incarnations = itertools.count()
        self.nodes = {}
        for host in hosts + spares:
            self.nodes[host] = Node(host, self._new_disk(), self)
            self.start(host)

    # Faults and operations.

    def start(self, host):
        """Start a process from its disk."""
        node = self.nodes[host]
        if node.is_up:
            return
        cfg = consensus.ReplicaConfig(
            host=host,
            voters=self.voters if host in self.voters else (),
            start=f'{host}{node.start_count}',
            election_timeout_s=TIMEOUT_S,
            heartbeat_s=TIMEOUT_S / 10,
            **self.settings,
        )
        node.replica = consensus.Replica.from_config(
            cfg,
            node.disk.load(),
            random.Random(self.rng.random()),
            node.contact,
        )
        node.start_count += 1
        node.applied = 0
        self._tick(node, node.start_count)

    def crash(self, host, synced=0):
        """Kill a process; ``synced`` pending changes still become durable."""
        node = self.nodes[host]
        for _ in range(min(synced, len(node.disk.pending))):
            self.checker.on_synced(node, node.disk.sync())
        node.disk.pending.clear()
        node.replica = None
        node.contact = None
        node.is_syncing = False

    def fail_storage(self, host, synced=0):
        """Fail a storage; the process lives on until the next start."""
        node = self.nodes[host]
        if not node.is_up:
            return
        for _ in range(min(synced, len(node.disk.pending))):
            self.checker.on_synced(node, node.disk.sync())
        self.handle(node, consensus.StorageFailed())
        checks.require(
            node.replica.role is consensus.Role.FAILED,
            host,
            'goes on after its storage has failed',
        )
        node.disk.fail()
        node.contact = node.replica.contact
        node.replica = None
        node.is_syncing = False
        self._advance_clock(node, node.contact)

    def empty_folder(self, host):
        """Kill a process and replace its data folder with an empty one."""
        self.crash(host)
        self.nodes[host].disk = self._new_disk()

    def isolate(self, host):
        """Cut all links of a host."""
        for other in self.nodes:
            self.cuts |= {(host, other), (other, host)}

    def lose(self, host, message_class):
        """Lose all messages of a class from a host."""
        self.losses.add((host, message_class))

    def heal(self):
        """Restore all links and disks."""
        self.cuts.clear()
        self.losses.clear()
        self.faults = Faults()
        for node in self.nodes.values():
            node.is_stalled = False

    def step_clock(self, host, seconds):
        """Step a host's clock by a number of seconds."""
        self.nodes[host].offset_s += seconds

    def leader(self):
        """Return the leader of the newest term, or None."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.is_up and node.replica.role is consensus.Role.LEADER
        ]
        return max(leaders, key=lambda n: n.replica.term, default=None)

    def post(self, host, event_class, **fields):
        """Pass an event with a new token to a host; return the token."""
        token = f't{next(self._tokens)}'
        node = self.nodes[host]
        if not node.is_up:
            return token
        if event_class is consensus.Read:
            self.checker.on_read(token)
        if event_class is consensus.Propose:
            fields.setdefault('data', token.encode())
        self.handle(node, event_class(token=token, **fields))
        return token

    def propose(self, count=1):
        """Make proposals at the current leader; return the last token."""
        token = None
        for _ in range(count):
            leader = self.leader()
            if leader is not None:
                token = self.post(leader.host, consensus.Propose)
        return token

    # Time.

    def run(self, seconds):
        """Run all events of the next ``seconds`` of virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self._queue)
            action(*args)
        self.now = end

    def run_until(self, condition, limit_s=60):
        """Run until a condition holds; fail after ``limit_s`` seconds."""
        end = self.now + limit_s
        while not condition():
            checks.require(
                self.now < end, 'the condition does not hold after', limit_s
            )
            self.run(0.05)

    def settle(self, hosts=None):
        """Run until the hosts have applied a new proposal."""
        hosts = hosts or self.nodes
        self.run_until(lambda: self._commits_proposal())
        target_index = self.checker.max_committed
        self.run_until(lambda: self._have_applied(hosts, target_index))

    def settle_members(self):
        """Run until all hosts of the newest voter set have applied a proposal.

        The voter set of a leader that is deposed meanwhile does not count.
        """
        self.run_until(lambda: self._commits_proposal())
        target_index = self.checker.max_committed

        def is_settled():
            leader = self.leader()
            if leader is None or leader.applied < target_index:
                return False
            hosts = leader.replica.voters.hosts
            return self._have_applied(hosts, target_index)

        self.run_until(is_settled)

    def _have_applied(self, hosts, target_index):
        return all(
            self.nodes[host].is_up and self.nodes[host].applied >= target_index
            for host in hosts
        )

    def _commits_proposal(self):
        self.run_until(lambda: self.leader() is not None)
        before = self.checker.max_committed
        self.propose()
        self.run(0.5)
        return self.checker.max_committed > before

    # Events and effects.

    def handle(self, node, event):
        """Pass an event to a replica and carry out the effects."""
        effects = node.replica.handle(event, node.clock())
        for effect in effects:
            self._carry_out(node, effect)
        self.checker.check_leases()

    def _carry_out(self, node, effect):
        checker = self.checker
        match effect:
            case consensus.Persist():
                checker.on_persist(node, effect)
                node.disk.pending.append(effect)
                self._start_sync(node)
            case consensus.Send():
                checker.on_send(node, effect)
                self._send(node.host, effect)
            case consensus.Apply():
                checker.on_apply(node, effect)
            case consensus.InstallSnapshot():
                checker.on_install(node, effect)
            case consensus.RoleChanged():
                checker.on_role(node, effect)
            case consensus.ReadReady():
                checker.on_read_ready(node, effect)
                self.outcomes[effect.token] = effect
            case consensus.TakeSnapshot():
                data = b'%d' % effect.index * 50
                taken = consensus.SnapshotTaken(effect.index, data)
                self._at(0.01, self._deliver, node, node.start_count, taken)
            case _:
                self.outcomes[effect.token] = effect

    def _start_sync(self, node):
        if node.is_syncing or not node.disk.pending:
            return
        node.is_syncing = True
        delay = self.rng.choice((0.0005, 0.002, 0.01))
        self._at(delay, self._sync, node, node.start_count)

    def _sync(self, node, start_count):
        if node.start_count != start_count or not node.is_up:
            return
        if node.is_stalled:
            self._at(0.05, self._sync, node, start_count)
            return
        node.is_syncing = False
        for _ in range(self.rng.randint(1, len(node.disk.pending))):
            effect = node.disk.sync()
            self.checker.on_synced(node, effect)
        self.handle(node, consensus.Synced(effect.sequence))
        self._start_sync(node)

    def _send(self, sender, effect):
        self.sent += 1
        message = effect.message
        if (sender, type(message)) in self.losses:
            return
        if self.use_codec:
            raw = msgspec.msgpack.encode(message)
            message = msgspec.msgpack.decode(raw, type=type(message))
        draw = self.rng.random
        copies = 1 + (draw() < self.faults.duplicated)
        for _ in range(copies):
            if draw() < self.faults.lost:
                continue
            delay = 0.001 + draw() * 0.01
            if draw() < self.faults.late:
                delay += draw() * 2
            self._at(delay, self._arrive, sender, effect.receiver, message)

    def _arrive(self, sender, receiver, message):
        node = self.nodes[receiver]
        if (sender, receiver) in self.cuts or not node.is_up:
            return
        self.handle(node, consensus.Received(sender, message))

    def _deliver(self, node, start_count, event):
        if node.is_up and node.start_count == start_count:
            self.handle(node, event)

    def _tick(self, node, start_count):
        if not node.is_up or node.start_count != start_count:
            return
        self.handle(node, consensus.Tick())
        self._at(node.replica.cfg.tick_s, self._tick, node, start_count)

    def _advance_clock(self, node, contact):
        if node.contact is contact and not node.is_up:
            contact.advance(node.clock())
            delay = TIMEOUT_S / 20
            self._at(delay, self._advance_clock, node, contact)

    def _at(self, delay, action, *args):
        item = (self.now + delay, next(self._order), action, args)
        heapq.heappush(self._queue, item)

    def _new_disk(self):
        return Disk(f'i{next(self._incarnations)}')
