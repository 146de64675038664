"""Simulates a group of ranks, its coordinators, a log and a lossy network."""

import random

import attrs

from cassiashift_core import mapswitch

GROUP = 'g'
TICK_S = 0.05


class MixedMapsError(AssertionError):
    """Two ranks ran a step on different maps, or one on a wrong map."""


@attrs.define
class PendingEvent:
    """An event in flight to a host, a rank, the log or a read barrier."""

    due: float
    target: str
    event: object


@attrs.define
class Cluster:
    """Runs the machines, by single calls or by ``run`` with seeded delays.

    Attributes:
        loss: probability that a message is lost.
        duplication: probability that a message is delivered twice.
        delay_s: unit of the delays, which are 0.1 to 2.1 times this.
        log: committed decisions; ``applied`` counts them for each host.
        in_flight: events that were sent and not delivered yet.
        versions_by_step: version that each rank ran a step on, by step.
        disconnected: hosts, ranks or ``log`` without any connection.
        stalled: hosts and ranks that neither run nor receive.
        receive_blocked: ranks that send but receive no messages.
        engine_paused: ranks whose engine starts no steps.
        without_quorum: hosts that pass no barrier and apply no log entry.
        failing_versions: versions whose weights cannot be loaded.
        disconnect_after_sends: sends of hosts that still succeed; any host
            that sends after them is disconnected.
    """

    ranks: dict = attrs.field(factory=dict)
    hosts: dict = attrs.field(factory=dict)
    seed: int = 0
    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.01
    step_s: float = 0.02
    rank_class: type = mapswitch.RankSwitch
    host_class: type = mapswitch.Coordinator
    now: float = 0.0
    leader: str | None = None
    term: int = 0
    log: list = attrs.field(factory=list)
    applied: dict = attrs.field(factory=dict)
    in_flight: list = attrs.field(factory=list)
    next_step: dict = attrs.field(factory=dict)
    versions_by_step: dict = attrs.field(factory=dict)
    disconnected: set = attrs.field(factory=set)
    stalled: set = attrs.field(factory=set)
    receive_blocked: set = attrs.field(factory=set)
    engine_paused: set = attrs.field(factory=set)
    without_quorum: set = attrs.field(factory=set)
    finished: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)
    load_orders: list = attrs.field(factory=list)
    sent: list = attrs.field(factory=list)
    failing_versions: set = attrs.field(factory=set)
    disconnect_after_sends: int | None = None
    rng: random.Random = attrs.field(init=False)
    start_count: int = 0

    def __attrs_post_init__(self):
        """Seed the random generator."""
        self.rng = random.Random(self.seed)

    def add_host(self, name):
        """Add a host that may become leader."""
        cfg = mapswitch.CoordinatorConfig(GROUP, stage_timeout_s=3.0)
        self.hosts[name] = self.host_class.from_config(cfg)
        self.applied[name] = 0

    def start_rank(self, name):
        """Start, or restart, the agent of a rank."""
        self.start_count += 1
        cfg = mapswitch.RankConfig(GROUP, name, f'{name}#{self.start_count}')
        self.ranks[name] = self.rank_class.from_config(cfg)
        self.next_step.setdefault(name, 0)

    def make_leader(self, name):
        """Make a host the leader; the previous leader gets no event."""
        self.leader = name
        self.term += 1
        self.apply(name)
        self.feed(name, mapswitch.LeadershipGained(self.term))

    def apply(self, name, limit=None):
        """Apply the pending log entries on a host, at most ``limit``."""
        while self.applied[name] < len(self.log) and limit != 0:
            index = self.applied[name]
            self.applied[name] += 1
            limit = None if limit is None else limit - 1
            self.feed(
                name,
                mapswitch.DecisionCommitted(self.log[index], index + 1),
            )

    def feed(self, name, event):
        """Pass an event to a host or a rank and apply the effects."""
        machine = self.hosts.get(name) or self.ranks[name]
        for effect in machine.handle(event, self.now):
            self._apply_effect(name, effect)

    def request(self, name, ranks=None, body=b'm'):
        """Request a switch at a host, by default to all ranks."""
        ranks = tuple(ranks or sorted(self.ranks))
        self.feed(name, mapswitch.SwitchRequested(ranks, body))

    def _apply_effect(self, name, effect):
        if isinstance(effect, mapswitch.SendToRank):
            self.sent.append(effect)
            self._send_event(
                name, effect.rank, mapswitch.Received(effect.message)
            )
        elif isinstance(effect, mapswitch.SendToCoordinator):
            self.sent.append(effect)
            for host in self.hosts:
                self._send_event(
                    name, host, mapswitch.Received(effect.message)
                )
        elif isinstance(effect, mapswitch.ProposeDecision):
            self._send_event(name, 'log', effect.decision)
        elif isinstance(effect, mapswitch.ReadBarrier):
            self._send_event(name, 'barrier', (name, effect.ticket))
        elif isinstance(effect, mapswitch.LoadWeights):
            self.load_orders.append((name, effect))
            failed = effect.version in self.failing_versions
            done = (
                mapswitch.WeightsFailed(effect.version, 'store')
                if failed
                else mapswitch.WeightsLoaded(effect.version)
            )
            self.in_flight.append(PendingEvent(self.now + 0.1, name, done))
        elif isinstance(effect, mapswitch.SwitchFinished):
            self.finished.append(effect)
        elif isinstance(effect, mapswitch.SwitchRefused):
            self.refused.append(effect)

    def _send_event(self, source, target, event):
        if self.disconnect_after_sends is not None and source in self.hosts:
            if self.disconnect_after_sends == 0:
                self.disconnected.add(source)
            self.disconnect_after_sends = max(
                0, self.disconnect_after_sends - 1
            )
        if source in self.disconnected or target in self.disconnected:
            return
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            due = self.now + self.delay_s * (0.1 + 2 * self.rng.random())
            self.in_flight.append(PendingEvent(due, target, event))

    def deliver(self, pending):
        """Deliver one event if its target is reachable, else drop it."""
        self.in_flight.remove(pending)
        target, event = pending.target, pending.event
        if target == 'log':
            self.log.append(event)
        elif target == 'barrier':
            name, ticket = event
            if (
                name == self.leader
                and name not in self.disconnected | self.without_quorum
            ):
                self.apply(name)
                self.feed(name, mapswitch.BarrierPassed(ticket))
        elif self._is_reachable(target, event):
            self.feed(target, event)

    def _is_reachable(self, target, event):
        """Return whether an event can reach a host or a rank."""
        if target not in self.hosts and target not in self.ranks:
            return False
        if target in self.receive_blocked and isinstance(
            event, mapswitch.Received
        ):
            return False
        return target not in self.disconnected | self.stalled

    def try_step(self, name):
        """Start a rank's next step if its peers have finished the last one.

        A rank whose peers are lost skips to the first step of its map.
        """
        step = self.next_step[name]
        current = self.ranks[name].standing.current
        if current is not None and step < current.step:
            peers = self.versions_by_step.get(step - 1, {})
            if any(peer not in self.ranks for peer in peers):
                step = current.step
        peers = self._peers(step - 1) & set(self.ranks)
        if any(self.next_step[peer] < step for peer in peers):
            return False
        result = self.ranks[name].may_start(step, self.now)
        if isinstance(result, mapswitch.Hold):
            return False
        self._record_step(name, step, result.version)
        return True

    def _peers(self, step):
        """Return the ranks of the map that a step runs on."""
        for entry in reversed(self.committed_maps()):
            if entry.step <= step:
                return set(entry.ranks)
        return set()

    def _record_step(self, name, step, version):
        self.next_step[name] = step + 1
        versions = self.versions_by_step.setdefault(step, {})
        versions[name] = version
        if len(set(versions.values())) > 1:
            raise MixedMapsError(f'step {step}: {versions}')

    def sent_answers(self):
        """Return all answers that were sent so far, in order."""
        messages = [effect.message for effect in self.sent]
        return [m for m in messages if isinstance(m, mapswitch.Answer)]

    def committed_maps(self):
        """Return the committed maps, in the order of the log."""
        group_decisions = mapswitch.GroupDecisions()
        maps = []
        for index, decision in enumerate(self.log):
            accepted = group_decisions.apply(decision, index + 1)
            if accepted and decision.kind is mapswitch.DecisionKind.COMMIT:
                maps.append(group_decisions.standing.current)
        return maps

    def check(self):
        """Check that every step ran on the map that the log commits for it."""
        committed_maps = self.committed_maps()
        for step, versions in self.versions_by_step.items():
            entry = [e for e in committed_maps if e.step <= step][-1]
            for name, version in versions.items():
                if version != entry.version or name not in entry.ranks:
                    raise MixedMapsError(f'step {step}: {versions}, {entry}')

    def tick(self):
        """Send ``Tick`` to all that are not stalled, then apply the log."""
        for name in [*self.hosts, *self.ranks]:
            if name not in self.stalled:
                self.feed(name, mapswitch.Tick())
        for name in self.hosts:
            if name not in self.disconnected | self.without_quorum:
                self.apply(name)

    def run(self, seconds):
        """Run all machines for some simulated seconds, then check."""
        end = self.now + seconds
        next_tick = next_step = self.now + 0.005
        while self.now < end:
            self.now += 0.005
            for pending in sorted(self.in_flight, key=lambda p: p.due):
                if pending.due <= self.now and pending in self.in_flight:
                    self.deliver(pending)
            if self.now >= next_tick:
                next_tick += TICK_S
                self.tick()
            if self.now >= next_step:
                next_step += self.step_s
                for name in self.ranks:
                    if name not in self.stalled | self.engine_paused:
                        self.try_step(name)
        self.check()

    def run_until(self, condition):
        """Run until a condition holds; fail after 2000 short steps."""
        for _ in range(2000):
            if condition():
                return
            self.run(0.005)
        raise AssertionError('condition not reached')


def start_cluster(ranks=4, **options):
    """Return a cluster that has switched to version 1, led by ``a``."""
    cluster = Cluster(**options)
    for name in 'abc':
        cluster.add_host(name)
    for number in range(ranks):
        cluster.start_rank(f'r{number}')
    cluster.make_leader('a')
    cluster.run(1.0)
    cluster.request('a')
    cluster.run(3.0)
    return cluster
