"""Simulates entries that share upstreams, with work digests between them.

Prints a table for ``docs/design/placing-by-cost.md``: by method and number of
entries, how many requests waited unseen in an upstream's queue, and how long
requests waited in all queues together, beside one ideal queue that knows
everything at once. The entries use the code of the product.
"""

import argparse
import collections
import heapq
import itertools
import random
import statistics

import attrs

from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import workload

SERVICE = 'model'
TICK_S = 0.05
# Between data centres of one region, with the handling of a message.
TRANSIT_S = (0.002, 0.02)
MEAN_TIME_S = 1.3
TIME_SIGMA = 0.7
HEADER_BYTES = 82
ROW_BYTES = 9
IDEAL, OWN, DIGESTS = 'ideal queue', 'own counts', 'work digests'
LEAST = 'digests, least loaded'


@attrs.define(eq=False)
class Request:
    """A request; its wait includes the upstream's queue."""

    arrived_at: float
    time_s: float
    started_at: float = 0.0


@attrs.define(eq=False)
class Upstream:
    """An upstream: slots and a queue that entries can't see."""

    slots: int
    running: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)


@attrs.define(eq=False)
class Entry:
    """What one entry knows, and its queue."""

    name: str
    table: fleet.UpstreamTable
    chooser: placing.Chooser
    work: workload.WorkTable = attrs.field(init=False)
    queue: collections.deque = attrs.field(factory=collections.deque)
    due: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Create the table of the others' work."""
        self.work = workload.WorkTable(self.table)


@attrs.define(eq=False)
class Simulation:
    """Entries in front of the upstreams of one service.

    Attributes:
        load: work that arrives, as a share of what the slots can do.
        digests_until: time after which all digests are lost.
        scale: factor by which counts in digests are wrong.
    """

    method: str
    entry_count: int
    upstream_count: int = 63
    slots: int = 5
    load: float = 0.8
    seed: int = 1
    bytes_per_s: float = workload.BYTES_PER_S
    digests_until: float = float('inf')
    scale: float = 1.0
    waits: list[float] = attrs.field(factory=list)
    sent: int = 0
    sent_to_full: int = 0
    digest_bytes: int = 0
    largest_count: int = 0
    by_entry: dict[int, list[float]] = attrs.field(factory=dict)
    now: float = 0.0
    rng: random.Random = attrs.field(init=False)
    upstreams: list[Upstream] = attrs.field(init=False)
    names: list[fleet.Upstream] = attrs.field(init=False)
    entries: list[Entry] = attrs.field(init=False)
    homes: dict[str, dict[str, int]] = attrs.field(init=False)
    _heap: list = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)

    def run(self, seconds: float) -> 'Simulation':
        """Run and return itself."""
        self.rng = random.Random(self.seed)
        self.upstreams = [
            Upstream(self.slots) for _ in range(self.upstream_count)
        ]
        self.names = [
            fleet.Upstream(f'u{n}', SERVICE, f'10.9.0.{n}:1', 'east')
            for n in range(self.upstream_count)
        ]
        count = 1 if self.method == IDEAL else self.entry_count
        self.entries = [self._entry(number) for number in range(count)]
        hosts = sorted(entry.name for entry in self.entries)
        ids = [upstream.id for upstream in self.names]
        self.homes = {
            host: workload.home_slots(host, hosts, ids, self.slots)
            for host in hosts
        }
        self._schedule_arrival()
        for number in range(count):
            self._at(self.rng.random() * TICK_S, self._tick, number)
        while self._heap and self._heap[0][0] < seconds:
            self.now, _, function, args = heapq.heappop(self._heap)
            function(*args)
        return self

    def _entry(self, number: int) -> Entry:
        table = fleet.UpstreamTable(1e9, 1e9)
        table.apply_all(self.names, 0.0)
        rng = random.Random(self.rng.random())
        return Entry(f'e{number}', table, placing.Chooser(table, 'east', rng))

    def _at(self, when: float, function, *args) -> None:
        heapq.heappush(self._heap, (when, next(self._order), function, args))

    def _schedule_arrival(self) -> None:
        capacity = self.upstream_count * self.slots / MEAN_TIME_S
        delay = self.rng.expovariate(self.load * capacity)
        self._at(self.now + delay, self._arrive)

    def _arrive(self) -> None:
        median = MEAN_TIME_S / 2.718281828 ** (TIME_SIGMA**2 / 2)
        time_s = median * self.rng.lognormvariate(0, TIME_SIGMA)
        number = self.rng.randrange(len(self.entries))
        self.entries[number].queue.append(Request(self.now, time_s))
        self._serve(number)
        self._schedule_arrival()

    def _tick(self, number: int) -> None:
        entry = self.entries[number]
        entry.work.expire(self.now)
        self._serve(number)
        if self.method in (DIGESTS, LEAST) and self.now >= entry.due:
            self._send_digest(entry)
        self._at(self.now + TICK_S, self._tick, number)

    def _serve(self, number: int) -> None:
        entry = self.entries[number]
        while entry.queue:
            snapshot = entry.chooser.snapshot(
                self.names,
                self.slots,
                (),
                self.now,
                **self._share_fields(entry),
            )
            chosen = placing.decide(snapshot).chosen
            if chosen is None:
                return
            entry.table.condition(chosen).record_send(self.now)
            index = self.names.index(chosen)
            self._begin(entry.queue.popleft(), number, index)

    def _share_fields(self, entry: Entry) -> dict:
        if self.method != DIGESTS:
            return {}
        table, capacity = entry.table, self.slots * self.upstream_count
        conditions = [table.condition(item) for item in self.names]
        others = sum(item.others_in_flight for item in conditions)
        homes = self.homes[entry.name]
        candidates = table.with_conditions(map(table.find, homes))
        return {
            'homes': list(zip(candidates, homes.values(), strict=True)),
            'ignores_others': not workload.is_credible(capacity, others),
            'may_visit': workload.may_visit(
                capacity,
                sum(item.in_flight for item in conditions),
                others,
                entry.work.busy_peers(
                    dict.fromkeys(self._others(entry), 1.0), self.now
                ),
            ),
        }

    def _others(self, entry: Entry) -> list[str]:
        return [item.name for item in self.entries if item is not entry]

    def _begin(self, request: Request, number: int, index: int) -> None:
        upstream = self.upstreams[index]
        self.sent += 1
        self.sent_to_full += upstream.running >= upstream.slots
        upstream.queue.append((request, number))
        in_flight = upstream.running + len(upstream.queue)
        self.largest_count = max(self.largest_count, in_flight)
        self._start_next(index)

    def _start_next(self, index: int) -> None:
        upstream = self.upstreams[index]
        while upstream.queue and upstream.running < upstream.slots:
            request, number = upstream.queue.popleft()
            upstream.running += 1
            wait_s = self.now - request.arrived_at
            self.waits.append(wait_s)
            self.by_entry.setdefault(number, []).append(wait_s)
            self._at(self.now + request.time_s, self._end, number, index)

    def _end(self, number: int, index: int) -> None:
        self.upstreams[index].running -= 1
        entry = self.entries[number]
        entry.table.condition(self.names[index]).record_end()
        self._start_next(index)
        self._serve(number)

    def _send_digest(self, entry: Entry) -> None:
        rows = [
            workload.WorkRow(
                fleet.short_id(upstream), round(self.scale * item.in_flight)
            )
            for upstream, item in entry.table.in_use()
        ]
        size = HEADER_BYTES + ROW_BYTES * len(rows)
        others = self._others(entry)
        plan = workload.plan(entry.name, others, size, self.bytes_per_s)
        entry.due = self.now + plan.interval_s
        digest = workload.WorkDigest(
            entry.name,
            1,
            int(self.now * 1000),
            round(plan.interval_s * 1000),
            workload.pack_rows(rows),
        )
        if self.now >= self.digests_until:
            return
        cost = size + workload.TRANSPORT_BYTES
        self.digest_bytes += cost * len(plan.hosts)
        for host in plan.hosts:
            delay = self.rng.uniform(*TRANSIT_S)
            self._at(self.now + delay, self._receive, host, digest)

    def _receive(self, host: str, digest: workload.WorkDigest) -> None:
        self.entries[int(host[1:])].work.apply(digest, self.now)


def table_row(simulation: Simulation, seconds: float) -> str:
    """Return a row of the table in Markdown."""
    waits = sorted(simulation.waits)
    sent = max(1, simulation.sent)
    rate = simulation.digest_bytes / seconds / len(simulation.entries)
    means = [statistics.mean(item) for item in simulation.by_entry.values()]
    return (
        f'| {simulation.method} | {simulation.entry_count} '
        f'| {simulation.load:g} '
        f'| {100 * simulation.sent_to_full / sent:.1f} '
        f'| {simulation.largest_count} '
        f'| {1000 * statistics.mean(waits):.0f} '
        f'| {1000 * waits[int(0.99 * len(waits))]:.0f} '
        f'| {1000 * max(means):.0f} | {rate:.0f} |'
    )


def main() -> None:
    """Print the table for the numbers of entries in the arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--entries', type=int, nargs='+', default=[12, 35])
    parser.add_argument('--loads', type=float, nargs='+', default=[0.6, 0.9])
    parser.add_argument('--bytes', type=float, default=workload.BYTES_PER_S)
    args = parser.parse_args()
    print(
        '| method | entries | load | sent to a full upstream, % | most in '
        'flight | mean wait, ms | p99, ms | worst entry, ms | bytes/s |'
    )
    for load in args.loads:
        for method in (IDEAL, OWN, LEAST, DIGESTS):
            for count in args.entries:
                simulation = Simulation(
                    method, count, load=load, bytes_per_s=args.bytes
                ).run(args.seconds)
                print(table_row(simulation, args.seconds), flush=True)
                if method == IDEAL:
                    break


if __name__ == '__main__':
    main()
