"""A group of ranks, its coordinators, a log and a network that loses."""

import random

import attrs

from cassiashift_core import mapswitch

GROUP = 'g'
TICK_S = 0.05


class OneMapBroken(AssertionError):
    """Two ranks ran one step on different maps."""


@attrs.define
class Parcel:
    """An event on its way to a host or a rank."""

    due: float
    target: str
    event: object


@attrs.define
class Cluster:
    """Drives the machines by hand, or by ``run`` with seeded delays."""

    ranks: dict = attrs.field(factory=dict)
    hosts: dict = attrs.field(factory=dict)
    seed: int = 0
    loss: float = 0.0
    doubled: float = 0.0
    delay_s: float = 0.01
    step_s: float = 0.02
    rank_class: type = mapswitch.RankSwitch
    host_class: type = mapswitch.Coordinator
    now: float = 0.0
    leader: str | None = None
    term: int = 0
    log: list = attrs.field(factory=list)
    applied: dict = attrs.field(factory=dict)
    pool: list = attrs.field(factory=list)
    next_step: dict = attrs.field(factory=dict)
    used: dict = attrs.field(factory=dict)
    cut: set = attrs.field(factory=set)
    stalled: set = attrs.field(factory=set)
    deaf: set = attrs.field(factory=set)
    paused: set = attrs.field(factory=set)
    apart: set = attrs.field(factory=set)
    finished: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    sent: list = attrs.field(factory=list)
    loading_fails: set = attrs.field(factory=set)
    cut_after_sends: int | None = None
    rng: random.Random = attrs.field(init=False)
    starts: int = 0

    def __attrs_post_init__(self):
        """Seed the generator."""
        self.rng = random.Random(self.seed)

    def add_host(self, name):
        """Add a host that may lead."""
        cfg = mapswitch.CoordinatorConfig(GROUP, stage_timeout_s=3.0)
        self.hosts[name] = self.host_class.from_config(cfg)
        self.applied[name] = 0

    def start_rank(self, name):
        """Start, or restart, the agent of a rank."""
        self.starts += 1
        cfg = mapswitch.RankConfig(GROUP, name, f'{name}#{self.starts}')
        self.ranks[name] = self.rank_class.from_config(cfg)
        self.next_step.setdefault(name, 0)

    def lead(self, name):
        """Make a host the leader; the former one is not told."""
        self.leader = name
        self.term += 1
        self.apply(name)
        self.feed(name, mapswitch.LeadershipGained(self.term))

    def apply(self, name, limit=None):
        """Let a host apply entries of the log."""
        while self.applied[name] < len(self.log) and limit != 0:
            index = self.applied[name]
            self.applied[name] += 1
            limit = None if limit is None else limit - 1
            self.feed(
                name,
                mapswitch.DecisionCommitted(self.log[index], index + 1),
            )

    def feed(self, name, event):
        """Give an event to a host or a rank and take its effects."""
        machine = self.hosts.get(name) or self.ranks[name]
        for effect in machine.handle(event, self.now):
            self._take(name, effect)

    def request(self, name, ranks=None, body=b'm'):
        """Ask a host for a switch."""
        ranks = tuple(ranks or sorted(self.ranks))
        self.feed(name, mapswitch.SwitchRequested(ranks, body))

    def _take(self, name, effect):
        if isinstance(effect, mapswitch.SendToRank):
            self.sent.append(effect)
            self._post(name, effect.rank, mapswitch.Received(effect.message))
        elif isinstance(effect, mapswitch.SendToCoordinator):
            self.sent.append(effect)
            for host in self.hosts:
                self._post(name, host, mapswitch.Received(effect.message))
        elif isinstance(effect, mapswitch.ProposeDecision):
            self._post(name, 'log', effect.decision)
        elif isinstance(effect, mapswitch.ReadBarrier):
            self._post(name, 'barrier', (name, effect.ticket))
        elif isinstance(effect, mapswitch.LoadWeights):
            self.orders.append((name, effect))
            failed = effect.version in self.loading_fails
            done = (
                mapswitch.WeightsFailed(effect.version, 'store')
                if failed
                else mapswitch.WeightsLoaded(effect.version)
            )
            self.pool.append(Parcel(self.now + 0.1, name, done))
        elif isinstance(effect, mapswitch.SwitchFinished):
            self.finished.append(effect)
        elif isinstance(effect, mapswitch.SwitchRefused):
            self.refused.append(effect)

    def _post(self, source, target, event):
        if self.cut_after_sends is not None and source in self.hosts:
            if self.cut_after_sends == 0:
                self.cut.add(source)
            self.cut_after_sends = max(0, self.cut_after_sends - 1)
        if source in self.cut or target in self.cut:
            return
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.doubled else 1
        for _ in range(copies):
            due = self.now + self.delay_s * (0.1 + 2 * self.rng.random())
            self.pool.append(Parcel(due, target, event))

    def deliver(self, parcel):
        """Deliver one parcel, if its target can be reached."""
        self.pool.remove(parcel)
        target, event = parcel.target, parcel.event
        if target == 'log':
            self.log.append(event)
        elif target == 'barrier':
            name, ticket = event
            if name == self.leader and name not in self.cut | self.apart:
                self.apply(name)
                self.feed(name, mapswitch.BarrierPassed(ticket))
        elif self._reaches(target, event):
            self.feed(target, event)

    def _reaches(self, target, event):
        """Tell whether a host or a rank gets an event."""
        if target not in self.hosts and target not in self.ranks:
            return False
        if target in self.deaf and isinstance(event, mapswitch.Received):
            return False
        return target not in self.cut | self.stalled

    def try_step(self, name):
        """Let a rank start its next step when its peers have come so far."""
        step = self.next_step[name]
        current = self.ranks[name].standing.current
        if current is not None and step < current.step:
            peers = self.used.get(step - 1, {})
            if any(peer not in self.ranks for peer in peers):
                step = current.step
        peers = self._peers(step - 1) & set(self.ranks)
        if any(self.next_step[peer] < step for peer in peers):
            return False
        verdict = self.ranks[name].may_start(step, self.now)
        if isinstance(verdict, mapswitch.Hold):
            return False
        self._record(name, step, verdict.version)
        return True

    def _peers(self, step):
        """Return the ranks that have to finish a step together."""
        for decision in reversed(self.commits()):
            if decision.step <= step:
                return set(decision.ranks)
        return set()

    def _record(self, name, step, version):
        self.next_step[name] = step + 1
        users = self.used.setdefault(step, {})
        users[name] = version
        if len(set(users.values())) > 1:
            raise OneMapBroken(f'step {step}: {users}')

    def answers(self):
        """Return the answers that were sent so far."""
        found = [effect.message for effect in self.sent]
        return [m for m in found if isinstance(m, mapswitch.Answer)]

    def commits(self):
        """Return the maps that the log has committed, in order."""
        decided = mapswitch.GroupDecisions()
        found = []
        for index, decision in enumerate(self.log):
            accepted = decided.apply(decision, index + 1)
            if accepted and decision.kind is mapswitch.DecisionKind.COMMIT:
                found.append(decided.standing.current)
        return found

    def check(self):
        """Check every step that was run against the log."""
        commits = self.commits()
        for step, users in self.used.items():
            entry = [e for e in commits if e.step <= step][-1]
            for name, version in users.items():
                if version != entry.version or name not in entry.ranks:
                    raise OneMapBroken(f'step {step}: {users}, {entry}')

    def tick(self):
        """Let time pass on every host and rank that can act."""
        for name in [*self.hosts, *self.ranks]:
            if name not in self.stalled:
                self.feed(name, mapswitch.Tick())
        for name in self.hosts:
            if name not in self.cut | self.apart:
                self.apply(name)

    def run(self, seconds):
        """Run all machines for a time."""
        end = self.now + seconds
        next_tick = next_step = self.now + 0.005
        while self.now < end:
            self.now += 0.005
            for parcel in sorted(self.pool, key=lambda p: p.due):
                if parcel.due <= self.now and parcel in self.pool:
                    self.deliver(parcel)
            if self.now >= next_tick:
                next_tick += TICK_S
                self.tick()
            if self.now >= next_step:
                next_step += self.step_s
                for name in self.ranks:
                    if name not in self.stalled | self.paused:
                        self.try_step(name)
        self.check()

    def run_until(self, reached):
        """Run in small steps until a condition holds."""
        for _ in range(2000):
            if reached():
                return
            self.run(0.005)
        raise AssertionError('condition not reached')


def started(ranks=4, **options):
    """Return a cluster that runs on its first map, led by ``a``."""
    cluster = Cluster(**options)
    for name in 'abc':
        cluster.add_host(name)
    for number in range(ranks):
        cluster.start_rank(f'r{number}')
    cluster.lead('a')
    cluster.run(1.0)
    cluster.request('a')
    cluster.run(3.0)
    return cluster
