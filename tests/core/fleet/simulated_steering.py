"""A simulation of callers, entries and their directory without a network."""

import collections
import math
import random

import attrs

from cassiashift_core import fleet

STEP_S = 0.2
# Hellos within a data centre; the records of others are as old as this.
HELLO_S = 0.4
FAR_HELLO_S = 1.0
SILENT_S = 1.3
TTL_S = 1.0
# One caller in four keeps an answer for three times its time to live.
LONG_SHARE = 0.25
COST_S = 0.006
BASE_CORES = 0.05
VOTER_CORES = 0.1
LOAD_WEIGHT = 0.3
DAY_S = 60.0
AMPLITUDE = 0.55
# No entry knows the others before.
SETTLED_S = 3.0
# The first load on a fleet without any takes this long to be measured.
WARM_UP_S = 10.0


@attrs.define(eq=False)
class Entry:
    """An entry that estimates its capacity from simulated usage.

    Attributes:
        slowness: factor on the processor time of everything it does.
    """

    host: str
    data_centre: str
    cores: float
    has_disk: bool
    estimator: fleet.CapacityEstimator
    states_capacity: bool = True
    slowness: float = 1.0
    is_alive: bool = True
    handled: int = 0
    backlog_s: float = 0.0
    rate: float = 0.0
    records: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=10)
    )

    @property
    def true_capacity(self):
        """Return requests a second that use its whole core."""
        cores = min(self.cores, 1.0) - self.slowness * self._base
        return max(cores, 0.0) / (self.slowness * COST_S)

    @property
    def _base(self):
        return BASE_CORES + VOTER_CORES * self.has_disk

    def measure(self):
        """Record what the last second used; return whether it was too much."""
        cores = min(self.cores, 1.0)
        work_s = self.slowness * (self._base + COST_S * self.handled)
        self.backlog_s = max(0.0, self.backlog_s + work_s - cores)
        lag_s = 0.005 * self.slowness + self.backlog_s
        self.estimator.record(
            fleet.Usage(
                1.0,
                self.handled,
                min(cores, work_s),
                typical_lag_s=lag_s,
            )
        )
        is_over = self.handled > self.true_capacity
        self.rate += LOAD_WEIGHT * (self.handled - self.rate)
        return is_over

    def announce(self, now):
        """Store its record of now."""
        estimator = self.estimator
        stated = self.states_capacity
        self.records.append(
            (
                now,
                fleet.EntryRecord(
                    self.host,
                    f'{self.host}:80',
                    self.data_centre,
                    'r',
                    1,
                    is_ready=True,
                    has_disk=self.has_disk,
                    requests_per_s=round(self.rate, 1),
                    capacity_per_s=estimator.capacity_per_s if stated else 0.0,
                    is_slow=stated and estimator.is_slow,
                ),
            )
        )


@attrs.define(eq=False)
class Simulation:
    """Requests of data centres whose load varies out of phase.

    Attributes:
        per_s: requests a second of each data centre at the mean.
        over: requests at entries that got more in that second than they
            can carry, or that had ended.
        used: number of entries in each answer.
        fewest_near: fewest entries of the own data centre in an answer.
        shrinks: how often an answer for each data centre had become smaller.
    """

    entries: list[Entry]
    data_centres: list[str]
    per_s: float
    rng: random.Random
    now: float = 0.0
    sent: int = 0
    over: int = 0
    used: list = attrs.field(factory=list)
    fewest_near: int = 64
    shrinks: collections.Counter = attrs.field(factory=collections.Counter)
    steering: fleet.Steering = attrs.field(factory=fleet.Steering)
    answers: dict = attrs.field(factory=dict)
    _history: dict = attrs.field(
        factory=lambda: collections.defaultdict(
            lambda: collections.deque(maxlen=16)
        )
    )

    @classmethod
    def build(cls, seed, counts, per_s, *, voters=2, states_capacity=True):
        """Return a simulation with a number of entries in each data centre."""
        rng = random.Random(seed)
        centres = [f'dc{number}' for number in range(len(counts))]
        entries = []
        for number, (centre, count) in enumerate(
            zip(centres, counts, strict=True)
        ):
            for item in range(count):
                has_disk = item < voters
                cores = 1.38 if has_disk else rng.choice([1.03, 2.41, 2.58])
                entries.append(
                    Entry(
                        f'10.{number}.0.{item}',
                        centre,
                        cores,
                        has_disk,
                        fleet.CapacityEstimator(fleet.Supply(cores)),
                        states_capacity,
                    )
                )
        return cls(entries, centres, per_s, rng)

    def warm_up(self):
        """Let the entries measure their load; then count from zero."""
        self.run(WARM_UP_S)
        self.sent = self.over = 0
        self.used.clear()
        self.shrinks.clear()

    def run(self, seconds):
        """Simulate some seconds."""
        for _ in range(round(seconds / STEP_S)):
            self._step()

    @property
    def over_share(self):
        """Return the share of requests at entries over their capacity."""
        return self.over / max(1, self.sent)

    def _step(self):
        self.now += STEP_S
        for entry in self.entries:
            if entry.is_alive:
                entry.announce(self.now)
        for centre in self.data_centres:
            self._answer(centre)
        for number, centre in enumerate(self.data_centres):
            self._send(number, centre)
        if round(self.now / STEP_S) % round(1.0 / STEP_S) == 0:
            for entry in self.entries:
                is_over = entry.measure()
                self.sent += entry.handled
                if is_over or not entry.is_alive:
                    self.over += entry.handled
                entry.handled = 0

    def _answer(self, centre):
        records = []
        for entry in self.entries:
            near = entry.data_centre == centre
            age_s = HELLO_S if near else FAR_HELLO_S
            known = [
                record
                for at, record in entry.records
                if at <= self.now - age_s + 1e-6
            ]
            last = entry.records[-1][0] if entry.records else -9.0
            if known and self.now - last < SILENT_S:
                records.append(known[-1])
        chosen = self.steering.choose(records, centre, self.now)
        hosts = [record.host for record in chosen]
        near = sum(record.data_centre == centre for record in chosen)
        if self.now > SETTLED_S:
            self.fewest_near = min(self.fewest_near, near)
        self.shrinks[centre] += len(hosts) < len(self.answers.get(centre, ()))
        self.answers[centre] = hosts
        self._history[centre].append(hosts)
        self.used.append(len(hosts))

    def _send(self, number, centre):
        phase = 2 * math.pi * number / len(self.data_centres)
        wave = math.sin(2 * math.pi * self.now / DAY_S + phase)
        mean = self.per_s * (1 + AMPLITUDE * wave) * STEP_S
        by_host = {entry.host: entry for entry in self.entries}
        history = self._history[centre]
        for _ in range(self._draw(mean)):
            steps = TTL_S / STEP_S
            if self.rng.random() < LONG_SHARE:
                steps *= 3
            back = min(len(history), 1 + int(self.rng.random() * steps))
            hosts = history[-back]
            if hosts:
                by_host[self.rng.choice(hosts)].handled += 1

    def _draw(self, mean):
        """Return a random count with this mean."""
        count = int(self.rng.gauss(mean, math.sqrt(mean)) + 0.5)
        return max(0, count)
