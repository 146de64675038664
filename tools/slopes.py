"""Measures how state, messages and time of the core grow.

Writes ``docs/figures/slopes.json``: for each series the points, the fitted
line and its largest residual as a share of the mean. Then writes the page
that follows from it. Processor times include encoding, decoding and the
seeded network that stands in for links.
"""

from collections.abc import Callable
import json
import platform
import random
import sys
import time
import tracemalloc
from typing import Any

import attrs
import msgspec
import numpy

from cassiashift_core import manifest
from cassiashift_core import membership
from cassiashift_core.membership import events
from cassiashift_core import spread
from cassiashift_core import timeline
from tests.core.membership import builders as members
from tests.core.spread import builders as trees
from tests.scenarios import network
from tools import capacity
from tools import import_costs

SETTLE_S = 40.0
MEASURE_S = 30.0
DELTA_BYTES = 300
CHANGES_PER_DAY = 65_000
SECONDS_PER_DAY = 86_400
LINKS = network.Faults(delay_s=(0.001, 0.01))
MODELS = 13
ENTRIES_PER_DATA_CENTRE = 35
AGENTS_PER_DATA_CENTRE = 414


@attrs.frozen
class Series:
    """One measured dependence.

    Attributes:
        residual: largest distance from the line, as a share of the mean.
    """

    name: str
    x: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    @classmethod
    def fit(
        cls, name: str, x: str, unit: str, points: list[tuple[float, float]]
    ) -> 'Series':
        """Return the series with its least-squares line."""
        xs, ys = numpy.array(points, dtype=float).T
        slope, intercept = numpy.polyfit(xs, ys, 1)
        distance = numpy.abs(ys - (slope * xs + intercept)).max()
        mean = abs(ys.mean()) or 1.0
        return cls(
            name=name,
            x=x,
            unit=unit,
            points=tuple((float(a), round(float(b), 3)) for a, b in points),
            slope=round(float(slope), 6),
            intercept=round(float(intercept), 3),
            residual=round(float(distance / mean), 4),
        )


@attrs.define
class MeasuredNetwork(network.Network):
    """A network that counts the processor time of each host."""

    cpu_s: dict[str, float] = attrs.field(factory=dict)

    def _step(self, host, node, sender, message):
        start = time.process_time()
        super()._step(host, node, sender, message)
        spent = time.process_time() - start
        self.cpu_s[host] = self.cpu_s.get(host, 0.0) + spent

    def reset(self):
        """Start counting anew."""
        self.cpu_s.clear()
        for node in self.nodes.values():
            node.sent_messages = node.received_messages = 0
            node.sent_bytes = node.received_bytes = 0

    def mean(self, hosts: list[str], seconds: float) -> dict[str, float]:
        """Return the mean rates of some hosts."""
        nodes = [self.nodes[host] for host in hosts]
        count = len(hosts) * seconds
        return {
            'messages': sum(
                node.sent_messages + node.received_messages for node in nodes
            )
            / count,
            'bytes': sum(
                node.sent_bytes + node.received_bytes for node in nodes
            )
            / count,
            'cpu': 1e6 * sum(self.cpu_s.get(h, 0.0) for h in hosts) / count,
        }


UNITS = {
    'messages': 'messages/s',
    'bytes': 'bytes/s',
    'cpu': 'microseconds/s',
}


def rate_series(
    name: str, x: str, measured: dict[int, dict[str, float]]
) -> list[Series]:
    """Return one series for each rate that was measured."""
    return [
        Series.fit(
            f'{name}.{rate}',
            x,
            unit,
            [(size, rates[rate]) for size, rates in measured.items()],
        )
        for rate, unit in UNITS.items()
    ]


def settle(net: network.Network, hosts: list[str]) -> float:
    """Run until no update waits to be passed on; return the seconds."""
    start_s = net.now
    net.run(SETTLE_S)
    while any(net.nodes[host].machine.waiting_updates for host in hosts):
        net.run(5.0)
    return net.now - start_s


def measure_data_centre(entries: int, agents: int) -> MeasuredNetwork:
    """Return a data centre after a measured period without changes."""
    net = MeasuredNetwork(seed=1, faults=LINKS)
    members.start_data_centre(1, entries, agents, net=net)
    settle(net, members.entry_names(entries))
    net.reset()
    net.run(MEASURE_S)
    return net


def membership_rates() -> list[Series]:
    """Measure an entry's and an agent's rates in one data centre."""
    by_entries = {}
    for count in (8, 16, 32, 64):
        net = measure_data_centre(count, 0)
        by_entries[count] = net.mean(members.entry_names(count), MEASURE_S)
    by_share = {}
    own = {}
    entries = 8
    for share in (3, 6, 12, 24):
        agents = share * entries
        net = measure_data_centre(entries, agents)
        by_share[share] = net.mean(members.entry_names(entries), MEASURE_S)
        own[agents] = net.mean(members.agent_names(agents), MEASURE_S)
    return [
        *rate_series('membership.entry', 'entries', by_entries),
        *rate_series('membership.entry', 'agents per entry', by_share),
        *rate_series('membership.agent', 'agents', own),
    ]


def whole_data_centre() -> dict[str, float]:
    """Measure one data centre of the size that the letter gives."""
    net = MeasuredNetwork(seed=1, faults=LINKS)
    hosts = members.entry_names(ENTRIES_PER_DATA_CENTRE)
    members.start_data_centre(
        1, ENTRIES_PER_DATA_CENTRE, AGENTS_PER_DATA_CENTRE, net=net
    )
    net.run(SETTLE_S)
    starting = net.mean(hosts, SETTLE_S)
    net.reset()
    settled_s = SETTLE_S + settle(net, hosts)
    net.reset()
    net.run(MEASURE_S)
    steady = net.mean(hosts, MEASURE_S)
    found = {f'starting.{rate}': value for rate, value in starting.items()}
    found.update({f'steady.{rate}': value for rate, value in steady.items()})
    found['settled.s'] = settled_s
    return {name: round(value, 3) for name, value in found.items()}


def announce_models(net: network.Network, agent: str) -> None:
    """Let an agent announce upstreams of all models in both phases."""
    upstreams = tuple(
        membership.Announcement(
            f'{agent}-{model}-{role}',
            role=role,
            offers=(manifest.Offer(f'model-{model}'),),
        )
        for model in range(MODELS)
        for role in ('prefill', 'decode')
    )
    net.deliver(agent, events.Announced(upstreams))


def summary_rates() -> list[Series]:
    """Measure an entry's rates by the number of data centres."""
    measured = {}
    for count in (4, 8, 16, 29):
        net = MeasuredNetwork(seed=1, faults=LINKS)
        names = [f'dc{index}' for index in range(count)]
        seeds = tuple(members.contact(f'{name}-entry-0') for name in names)
        for name in names:
            entries = members.entry_names(3, name)
            for host in entries:
                members.start_entry(
                    net, host, entries, data_centre=name, remote_seeds=seeds
                )
            agent = f'{name}-agent-0'
            members.start_agent(net, agent, entries, data_centre=name)
            announce_models(net, agent)
        net.run(2 * SETTLE_S)
        net.reset()
        net.run(MEASURE_S)
        hosts = [host for host in net.nodes if 'entry' in host]
        measured[count] = net.mean(hosts, MEASURE_S)
    return rate_series('membership.entry', 'data centres', measured)


def detection_times() -> list[Series]:
    """Measure the time until all entries know of deaths and of starts."""
    deaths, starts = [], []
    for count in (8, 16, 32):
        net = members.start_data_centre(2, count, 4 * count, LINKS)
        wanted = set(members.entry_names(count))
        starts.append((count, _until(net, wanted)))
        net.run(SETTLE_S)
        victim = members.entry_names(count)[1]
        net.stop(victim)
        deaths.append((count, _until(net, wanted - {victim})))
    return [
        Series.fit('membership.death known', 'entries', 's', deaths),
        Series.fit('membership.all started known', 'entries', 's', starts),
    ]


def _until(net: network.Network, wanted: set[str]) -> float:
    start_s = net.now
    while net.now - start_s < 120.0:
        net.run(0.2)
        views = members.views(net, 'trnava').values()
        if all(view == wanted for view in views):
            break
    return net.now - start_s


def measure_tree(
    sizes: tuple[int, ...], rate_per_s: float, seconds: float = MEASURE_S
) -> tuple[trees.Tree, MeasuredNetwork]:
    """Return a tree after a measured period of changes."""
    tree = trees.Tree(
        net=MeasuredNetwork(seed=1, faults=LINKS), max_children=1024
    )
    for name, size in zip('crea', sizes, strict=False):
        tree.levels.append([f'{name}{index}' for index in range(size)])
    # The stand-in for the log is not part of what is measured.
    tree.net.on_effect = lambda host, effect: None
    for host in tree.hosts():
        tree.start(host)
    tree.net.run(SETTLE_S)
    tree.net.reset()
    for revision in range(1, 1 + round(rate_per_s * seconds)):
        event = spread.Committed(revision, b'x' * DELTA_BYTES)
        for voter in tree.voters:
            tree.net.deliver(voter, event)
        tree.net.run(1.0 / rate_per_s)
    return tree, tree.net


def spread_rates() -> list[Series]:
    """Measure rates by change rate, by children and by tree size."""
    found = []
    levels = {'control': 0, 'relay': 1, 'parent of 8': 2, 'leaf': 3}
    by_rate: dict[str, dict] = {name: {} for name in levels}
    for rate in (1, 10, 50, 100):
        tree, net = measure_tree((3, 2, 4, 32), rate)
        for name, level in levels.items():
            by_rate[name][rate] = net.mean(tree.levels[level], MEASURE_S)
    for name, measured in by_rate.items():
        found.extend(rate_series(f'spread.{name}', 'changes/s', measured))
    daily = CHANGES_PER_DAY / SECONDS_PER_DAY
    by_children, by_nodes, leaves = {}, {}, {}
    for children in (16, 64, 256, 512):
        tree, net = measure_tree((3, 1, children), daily)
        by_children[children] = net.mean(tree.levels[1], MEASURE_S)
    for nodes in (64, 128, 256, 512):
        tree, net = measure_tree((3, 4, nodes // 16, nodes), daily)
        by_nodes[nodes] = net.mean(tree.levels[0], MEASURE_S)
        leaves[nodes] = net.mean(tree.levels[3], MEASURE_S)
    found.extend(rate_series('spread.relay', 'children', by_children))
    found.extend(rate_series('spread.control', 'agents', by_nodes))
    found.extend(rate_series('spread.leaf', 'agents', leaves))
    return found


def spread_times() -> list[Series]:
    """Measure the time until in force when every push is lost."""
    points = []
    for levels in (2, 3, 4):
        worst = 0.0
        for seed in range(5):
            sizes = (3, 4, 8, 16)[:levels]
            tree = trees.Tree.build(seed, sizes=sizes, faults=LINKS)
            tree.net.run(10)
            tree.net.drop = lambda sender, receiver, message: getattr(
                message, 'push', False
            )
            tree.commit()
            start_s = tree.net.now
            while tree.behind() and tree.net.now - start_s < 30:
                tree.net.run(0.02)
            worst = max(worst, tree.net.now - start_s)
        points.append((levels, worst))
    return [Series.fit('spread.in force, pushes lost', 'levels', 's', points)]


def heap_series(
    name: str, x: str, sizes: tuple[int, ...], build: Callable[[int], Any]
) -> Series:
    """Return the heap bytes of what ``build`` returns, by its size."""
    points = []
    build(sizes[0])
    for size in sizes:
        tracemalloc.start()
        kept = build(size)
        points.append((size, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del kept
    return Series.fit(name, x, 'heap bytes', points)


def build_entry(rows: int) -> membership.Membership:
    """Return an entry that knows a number of agents."""
    cfg = members.config('entry', ())
    entry = membership.Membership.from_config(cfg, random.Random(1))
    for index in range(rows):
        host = f'host-{index:05d}'
        record = membership.Record(
            host=host,
            kind=membership.Kind.AGENT,
            incarnation=1_700_000_000_000 + index,
            address=f'10.1.{index // 250}.{index % 250}:7001',
            upstreams=(members.upstream_of(host),),
        )
        entry.rows.merge(record, 0.0)
    return entry


def build_workspaces(count: int) -> tuple[manifest.Workspace, ...]:
    """Return workspaces with one key and two models each."""
    return tuple(
        manifest.Workspace(
            id=f'workspace-{index:05d}',
            key_hashes=(f'{index:064x}',),
            models=(f'model-{index % 13}', f'model-{index % 11}'),
        )
        for index in range(count)
    )


def build_upstreams(count: int) -> tuple[manifest.Upstream, ...]:
    """Return upstreams with one offer each."""
    return tuple(
        manifest.Upstream(
            id=f'upstream-{index:05d}',
            host=f'host-{index:05d}',
            data_centre=f'data-centre-{index % 29}',
            offers=(manifest.Offer(f'model-{index % 13}'),),
        )
        for index in range(count)
    )


def build_timeline(count: int) -> timeline.Recorder:
    """Return a recorder with a number of events."""
    recorder = timeline.Recorder('host', 'entry', capacity=count)
    for index in range(count):
        recorder.record(
            'send',
            1_700_000_000_000_000 + index,
            request=f'request-{index:08d}',
            workspace=f'workspace-{index % 50}',
            message=f'{index:08d}',
            fields={'to': f'host-{index % 100}'},
        )
    return recorder


def memory_series() -> list[Series]:
    """Measure heap and encoded sizes of state."""
    sizes = (500, 1000, 2000, 4000)
    found = [
        heap_series('membership.table', 'rows', sizes, build_entry),
        heap_series('manifest', 'workspaces', sizes, build_workspaces),
        heap_series('manifest', 'upstreams', sizes, build_upstreams),
        heap_series('timeline.ring', 'events', sizes, build_timeline),
    ]
    builders = {'workspaces': build_workspaces, 'upstreams': build_upstreams}
    for name, build in builders.items():
        points = [
            (size, len(msgspec.msgpack.encode(build(size)))) for size in sizes
        ]
        found.append(
            Series.fit('manifest.encoded', name, 'encoded bytes', points)
        )
    return found


def timeline_times() -> list[Series]:
    """Measure the time to record events and to merge eight hosts'."""
    recording, merging = [], []
    for count in (2000, 4000, 8000):
        start = time.process_time()
        recorder = build_timeline(count)
        recording.append((count, 1e6 * (time.process_time() - start)))
        parts = [recorder.events()[index::8] for index in range(8)]
        start = time.process_time()
        timeline.as_json_lines(timeline.merge(parts))
        merging.append((count, 1e6 * (time.process_time() - start)))
    unit = 'microseconds'
    return [
        Series.fit('timeline.record', 'events', unit, recording),
        Series.fit('timeline.merge', 'events', unit, merging),
    ]


MEASUREMENTS = (
    membership_rates,
    summary_rates,
    detection_times,
    spread_rates,
    spread_times,
    memory_series,
    timeline_times,
)


def main() -> None:
    """Measure everything and write the file."""
    series = []
    for measure in MEASUREMENTS:
        start = time.monotonic()
        series.extend(measure())
        spent = time.monotonic() - start
        print(f'{measure.__name__} {spent:.1f} s', file=sys.stderr)
    figures = {
        'python': platform.python_version(),
        'machine': platform.machine(),
        'series': [attrs.asdict(item) for item in series],
        'whole data centre': whole_data_centre(),
        'imports': import_costs.measure(),
    }
    capacity.FIGURES.parent.mkdir(parents=True, exist_ok=True)
    capacity.FIGURES.write_text(json.dumps(figures, indent=1) + '\n', 'utf-8')
    capacity.main()


if __name__ == '__main__':
    main()
