"""What the seeds of the soak of planned stops do."""

import asyncio
import math
import random
import signal

import attrs

from tests.process import platform_site
from tests.process import stop_upstreams

GRACE_S = 8.0
VOTERS = 3
LARGE_EVERY = 5
STOP_ALL_SHARE = 0.25
STOP_AGAIN_SHARE = 0.3
EVACUATED = 'west'
ROUTES = {
    'read': 'safe',
    'book': 'unsafe',
    'stream': 'streaming',
    'talk': 'streaming',
}


@attrs.define(eq=False)
class Stop:
    """A planned stop of an entry.

    Attributes:
        at_s: time of the SIGTERM after the warm-up.
        signals: time after the SIGTERM and number of further signals.
        is_long: requests last until the grace period ends.
        again_after_s: time after the restart at which it gets another SIGTERM,
            perhaps before it is ready; None if it gets none.
        sigterm_at: monotonic time of the SIGTERM.
        ended_at: monotonic time at which the process was gone.
        ending: the entry has logged that it ends.
    """

    number: int
    at_s: float
    signals: list[tuple[float, signal.Signals]]
    restart_after_s: float
    is_long: bool
    again_after_s: float | None = None
    sigterm_at: float = math.inf
    ended_at: float = math.inf
    ending: asyncio.Event = attrs.field(factory=asyncio.Event)

    def again(self):
        """Return the stop that follows the restart."""
        return Stop(self.number, 0.0, self.signals[:1], 0.1, is_long=False)


@attrs.define
class Plan:
    """What a seed does, drawn before it begins.

    Attributes:
        hang_up_every_s: mean time between SIGHUPs at all entries.
        has_evacuations: a zone is evacuated again and again.
    """

    entries: int
    stops: list[Stop]
    is_heavy: bool
    slowdown: float
    slots: int
    timeouts_s: dict[str, float]
    idle_callers: int
    hang_up_every_s: float = 1.0
    has_evacuations: bool = False

    @classmethod
    def from_seed(cls, seed, max_entries):
        """Draw a plan; each ``LARGE_EVERY``-th has ``max_entries``."""
        rng = random.Random(seed)
        is_large = seed % LARGE_EVERY == 0
        entries = max_entries if is_large else rng.randint(6, 8)
        count = rng.randint(4, 8) if is_large else rng.randint(2, 3)
        numbers = rng.sample(range(VOTERS + 1, entries + 1), count)
        if rng.random() < 0.5:
            # More would leave no majority of the voters.
            numbers.append(rng.randint(1, VOTERS))
        span_s = rng.choice([0.5, 3.0, 6.0])
        stops = [
            Stop(
                number,
                at_s=rng.uniform(0.0, span_s),
                signals=cls._draw_signals(rng),
                restart_after_s=rng.uniform(0.1, 1.0),
                is_long=rng.random() < 0.8,
            )
            for number in numbers
        ]
        plan = cls(
            entries=entries,
            stops=stops,
            idle_callers=20 if is_large else 60,
            is_heavy=rng.random() < 0.5,
            slowdown=rng.choice([1.0, 1.0, 3.0]),
            slots=rng.choice([200, 200, 4]),
            timeouts_s={
                name: rng.choice([2.0, 4.0, 8.0, 8.0, 8.0]) for name in ROUTES
            },
        )
        if rng.random() < STOP_ALL_SHARE:
            plan._stop_all(rng)
        for stop in plan.stops:
            if rng.random() < STOP_AGAIN_SHARE:
                stop.again_after_s = rng.uniform(0.0, 1.5)
        plan.hang_up_every_s = rng.choice([0.2, 1.0, 5.0])
        plan.has_evacuations = rng.random() < 0.5
        return plan

    def _stop_all(self, rng):
        """Stop every entry, at once or one after another."""
        interval_s = rng.choice([0.0, 0.1, 2.0])
        self.idle_callers = min(self.idle_callers, 240 // self.entries)
        self.stops = [
            Stop(
                number,
                at_s=interval_s * position,
                signals=self._draw_signals(rng),
                restart_after_s=rng.uniform(0.1, 1.0),
                is_long=rng.random() < 0.3,
            )
            for position, number in enumerate(
                rng.sample(range(1, self.entries + 1), self.entries)
            )
        ]

    @staticmethod
    def _draw_signals(rng):
        again = [signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGHUP]
        return sorted(
            (rng.uniform(0.05, GRACE_S - 0.3), rng.choice(again))
            for _ in range(rng.choice([0, 0, 0, 1, 2, 3]))
        )

    def draw_work_s(self, rng):
        """Draw the time that a request takes at its upstream."""
        if not self.is_heavy:
            return min(6.0, rng.lognormvariate(math.log(0.3), 0.8))
        if rng.random() < 0.06:
            return rng.uniform(4.0, 7.0)
        return rng.uniform(0.2, 0.6)

    def document(self, version, *names):
        """Return a configuration with the routes of the soak and ``names``."""
        streams = [(name, ROUTES[name]) for name in stop_upstreams.STREAMS]
        config = platform_site.document(
            version, *streams, *((name, 'safe') for name in names)
        )
        config['services'].append({'name': 'talks', 'healthPath': '/healthz'})
        config['limits'] = {'idleTimeoutMs': 30_000}
        for row in config['routes']:
            row['timeoutMs'] = 1000 * self.timeouts_s.get(row['name'], 2.0)
            row['targetLatencyMs'] = 1000
            if row['kind'] == 'streaming':
                row['service'] = 'talks'
                row['targetGapMs'] = 2000
            if row['name'] == 'talk':
                row |= {'resumable': True, 'attempts': 2}
        return config
