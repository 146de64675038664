"""Measures how memory, messages and times of the core grow with size.

Writes ``docs/figures/slopes.json``: for each series the points, the fitted
line and its largest residual as a share of the mean. Then writes
``docs/CAPACITY.md`` from it. Processor times include encoding, decoding and
the seeded network that replaces links.
"""

import json
import platform
import sys
import time

import attrs

from cassiashift_core import manifest
from cassiashift_core import membership
from cassiashift_core.membership import events
from cassiashift_core import spread
from tests.core.membership import builders as members
from tests.core.spread import builders as trees
from tests.scenarios import network
from tools import capacity
from tools import import_costs
from tools.slope_series import MeasuredNetwork
from tools.slope_series import rate_series
from tools.slope_series import Series
from tools import state_slopes

SETTLE_S = 40.0
MEASURE_S = 30.0
DELTA_BYTES = 300
CHANGES_PER_DAY = 65_000
SECONDS_PER_DAY = 86_400
LINK_FAULTS = network.Faults(delay_s=(0.001, 0.01))
MODELS = 13
ENTRIES_PER_DATA_CENTRE = 35
AGENTS_PER_DATA_CENTRE = 414


def run_until_settled(net: network.Network, hosts: list[str]) -> float:
    """Run until no update is pending on any host; return the seconds."""
    start_s = net.now
    net.run(SETTLE_S)
    while any(net.nodes[host].machine.pending_updates for host in hosts):
        net.run(5.0)
    return net.now - start_s


def measure_data_centre(entries: int, agents: int) -> MeasuredNetwork:
    """Measure one data centre over a period without changes."""
    net = MeasuredNetwork(seed=1, faults=LINK_FAULTS)
    members.start_data_centre(1, entries, agents, net=net)
    run_until_settled(net, members.entry_names(entries))
    net.reset()
    net.run(MEASURE_S)
    return net


def membership_rates() -> list[Series]:
    """Measure the rates of entries and agents in one data centre."""
    by_entries = {}
    for count in (8, 16, 32, 64):
        net = measure_data_centre(count, 0)
        by_entries[count] = net.mean(members.entry_names(count), MEASURE_S)
    by_share = {}
    by_agents = {}
    entries = 8
    for share in (3, 6, 12, 24):
        agents = share * entries
        net = measure_data_centre(entries, agents)
        by_share[share] = net.mean(members.entry_names(entries), MEASURE_S)
        by_agents[agents] = net.mean(members.agent_names(agents), MEASURE_S)
    return [
        *rate_series('membership.entry', 'entries', by_entries),
        *rate_series('membership.entry', 'agents per entry', by_share),
        *rate_series('membership.agent', 'agents', by_agents),
    ]


def measure_design_size() -> dict[str, float]:
    """Measure one data centre of the size that the system is made for."""
    net = MeasuredNetwork(seed=1, faults=LINK_FAULTS)
    hosts = members.entry_names(ENTRIES_PER_DATA_CENTRE)
    members.start_data_centre(
        1, ENTRIES_PER_DATA_CENTRE, AGENTS_PER_DATA_CENTRE, net=net
    )
    net.run(SETTLE_S)
    starting = net.mean(hosts, SETTLE_S)
    net.reset()
    settled_s = SETTLE_S + run_until_settled(net, hosts)
    net.reset()
    net.run(MEASURE_S)
    steady = net.mean(hosts, MEASURE_S)
    mean_rates = {
        f'starting.{rate}': value for rate, value in starting.items()
    }
    mean_rates.update(
        {f'steady.{rate}': value for rate, value in steady.items()}
    )
    mean_rates['settled.s'] = settled_s
    return {name: round(value, 3) for name, value in mean_rates.items()}


def announce_models(net: network.Network, agent: str) -> None:
    """Announce two upstreams of each model: for prefill and for decode."""
    upstreams = tuple(
        membership.Announcement(
            f'{agent}-{model}-{role}',
            role=role,
            offers=(manifest.Offer(f'model-{model}'),),
        )
        for model in range(MODELS)
        for role in ('prefill', 'decode')
    )
    net.deliver(agent, events.UpstreamsChanged(upstreams))


def summary_rates() -> list[Series]:
    """Measure an entry's rates by the number of data centres."""
    measured = {}
    for count in (4, 8, 16, 29):
        net = MeasuredNetwork(seed=1, faults=LINK_FAULTS)
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
    """Measure the time until all entries know of failures and starts."""
    deaths, starts = [], []
    for count in (8, 16, 32):
        net = members.start_data_centre(2, count, 4 * count, LINK_FAULTS)
        expected_hosts = set(members.entry_names(count))
        starts.append((count, _seconds_until_known(net, expected_hosts)))
        net.run(SETTLE_S)
        victim = members.entry_names(count)[1]
        net.stop(victim)
        deaths.append(
            (count, _seconds_until_known(net, expected_hosts - {victim}))
        )
    rack_losses = []
    for lost_entries in (1, 4, 8):
        net = members.start_data_centre(2, 32, 64, LINK_FAULTS)
        net.run(SETTLE_S)
        hosts = members.entry_names(32)
        for host in hosts[:lost_entries]:
            net.stop(host)
        rack_losses.append(
            (
                lost_entries,
                _seconds_until_known(net, set(hosts[lost_entries:])),
            )
        )
    return [
        Series.fit('membership.rack known', 'entries lost', 's', rack_losses),
        Series.fit('membership.death known', 'entries', 's', deaths),
        Series.fit('membership.all started known', 'entries', 's', starts),
    ]


def _seconds_until_known(
    net: network.Network, expected_hosts: set[str]
) -> float:
    start_s = net.now
    while net.now - start_s < 120.0:
        net.run(0.2)
        views = members.views(net, 'trnava').values()
        if all(view == expected_hosts for view in views):
            break
    return net.now - start_s


def measure_tree(
    sizes: tuple[int, ...], rate_per_s: float, seconds: float = MEASURE_S
) -> tuple[trees.Tree, MeasuredNetwork]:
    """Measure a tree over a period of changes at a constant rate."""
    tree = trees.Tree(
        net=MeasuredNetwork(seed=1, faults=LINK_FAULTS), max_children=1024
    )
    for name, size in zip('crea', sizes, strict=False):
        tree.levels.append([f'{name}{index}' for index in range(size)])
    # The log's substitute on the network is excluded from the measurement.
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
    series = []
    levels = {'control': 0, 'relay': 1, 'parent of 8': 2, 'leaf': 3}
    by_rate: dict[str, dict] = {name: {} for name in levels}
    for rate in (1, 10, 50, 100):
        tree, net = measure_tree((3, 2, 4, 32), rate)
        for name, level in levels.items():
            by_rate[name][rate] = net.mean(tree.levels[level], MEASURE_S)
    for name, measured in by_rate.items():
        series.extend(rate_series(f'spread.{name}', 'changes/s', measured))
    daily = CHANGES_PER_DAY / SECONDS_PER_DAY
    by_children, by_nodes, leaves = {}, {}, {}
    for children in (16, 64, 256, 512):
        tree, net = measure_tree((3, 1, children), daily)
        by_children[children] = net.mean(tree.levels[1], MEASURE_S)
    for nodes in (64, 128, 256, 512):
        tree, net = measure_tree((3, 4, nodes // 16, nodes), daily)
        by_nodes[nodes] = net.mean(tree.levels[0], MEASURE_S)
        leaves[nodes] = net.mean(tree.levels[3], MEASURE_S)
    series.extend(rate_series('spread.relay', 'children', by_children))
    series.extend(rate_series('spread.control', 'agents', by_nodes))
    series.extend(rate_series('spread.leaf', 'agents', leaves))
    return series


def spread_times() -> list[Series]:
    """Measure the time to be in force when every push is lost."""
    points = []
    for levels in (2, 3, 4):
        worst = 0.0
        for seed in range(5):
            sizes = (3, 4, 8, 16)[:levels]
            tree = trees.Tree.build(seed, sizes=sizes, faults=LINK_FAULTS)
            tree.net.run(10)
            tree.net.drop = lambda sender, receiver, message: getattr(
                message, 'push', False
            )
            tree.commit()
            start_s = tree.net.now
            while tree.hosts_behind() and tree.net.now - start_s < 30:
                tree.net.run(0.02)
            worst = max(worst, tree.net.now - start_s)
        points.append((levels, worst))
    return [Series.fit('spread.in force, pushes lost', 'levels', 's', points)]


MEASUREMENTS = (
    membership_rates,
    summary_rates,
    detection_times,
    spread_rates,
    spread_times,
    state_slopes.memory_series,
    state_slopes.timeline_times,
)


def main() -> None:
    """Run all measurements, write the figures and the capacity page."""
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
        'whole data centre': measure_design_size(),
        'imports': import_costs.measure(),
    }
    capacity.FIGURES.parent.mkdir(parents=True, exist_ok=True)
    capacity.FIGURES.write_text(json.dumps(figures, indent=1) + '\n', 'utf-8')
    capacity.main()


if __name__ == '__main__':
    main()
