"""Computes docs/CAPACITY.md from docs/figures/slopes.json."""

from collections.abc import Mapping
import json
import pathlib
from typing import Any

import attrs

ROOT = pathlib.Path(__file__).parent.parent
FIGURES = ROOT / 'docs/figures/slopes.json'
PAGE = ROOT / 'docs/CAPACITY.md'
TEMPLATE = pathlib.Path(__file__).parent / 'capacity_template.md'

ENTRIES = 1_000
AGENTS = 12_000
DATA_CENTRES = 29
WORKSPACES = 23_000
CHANGES_PER_DAY = 65_000
FAILURES_PER_DAY = 250
RESTARTS_PER_DAY = 1_100
SECONDS_PER_DAY = 86_400
VOTERS = 5
RELAYS = 12
MEASURED_VOTERS = 3
RACK_ENTRIES = 8
TIMELINE_EVENTS = 4_096
WINDOW_BYTES = 1_048_576
BOUND_CPU_PERCENT = 2.9
BOUND_MEMORY_MB = 32.0
BOUND_KB_PER_S = 11.0
BOUND_IN_FORCE_S = 4.0
BOUND_HOSTS = 17
HEADER_BYTES = 60
MB = 1e6
KIB = 1024


@attrs.frozen
class Load:
    """Messages, payload bytes and processor microseconds per second."""

    messages: float = 0.0
    payload: float = 0.0
    cpu_us: float = 0.0

    def __add__(self, other: 'Load') -> 'Load':
        """Return the sum of two loads."""
        return Load(
            self.messages + other.messages,
            self.payload + other.payload,
            self.cpu_us + other.cpu_us,
        )

    @property
    def kb_per_s(self) -> float:
        """Return kilobytes a second with the allowance for headers."""
        return (self.payload + HEADER_BYTES * self.messages) / 1e3

    @property
    def cpu_percent(self) -> float:
        """Return the share of one core in percent."""
        return self.cpu_us / 1e4


@attrs.frozen
class Figures:
    """The measured series, looked up by name and independent variable."""

    data: Mapping[str, Any]

    @classmethod
    def read(cls, path: pathlib.Path = FIGURES) -> 'Figures':
        """Read the figures from a file."""
        return cls(json.loads(path.read_text('utf-8')))

    def series(self, name: str, x: str) -> Mapping[str, Any]:
        """Return one series.

        Raises:
            KeyError: it was not measured.
        """
        for item in self.data['series']:
            if (item['name'], item['x']) == (name, x):
                return item
        raise KeyError((name, x))

    def value_at(self, name: str, x: str, size: float) -> float:
        """Return the value of a fitted line at a size."""
        line = self.series(name, x)
        return line['intercept'] + line['slope'] * size

    def slope(self, name: str, x: str) -> float:
        """Return the slope of a fitted line, per unit of ``x``."""
        return self.series(name, x)['slope']

    def load_at(self, name: str, x: str, size: float) -> Load:
        """Return the load of a process from its three lines at a size."""
        return Load(
            *(
                self.value_at(f'{name}.{rate}', x, size)
                for rate in ('messages', 'bytes', 'cpu')
            )
        )

    def load_per(self, name: str, x: str, count: float) -> Load:
        """Return the part of the load that is due to ``count`` units of x."""
        return Load(
            *(
                count * self.slope(f'{name}.{rate}', x)
                for rate in ('messages', 'bytes', 'cpu')
            )
        )

    def resident_mb(self, name: str) -> float:
        """Return the resident megabytes of a set of imports.

        Raises:
            KeyError: it was not measured.
        """
        for item in self.data['imports']:
            if item['name'] == name:
                return item['rss_kib'] * KIB / MB
        raise KeyError(name)


def changes_per_s() -> float:
    """Return the mean number of changes a second."""
    return CHANGES_PER_DAY / SECONDS_PER_DAY


def child_load(figures: Figures) -> Load:
    """Return the spread's load on a process without children.

    The load does not depend on the number of agents, so the value of the
    largest measured tree is used.
    """
    points = figures.series('spread.leaf.cpu', 'agents')['points']
    largest = max(size for size, _ in points)
    return figures.load_at('spread.leaf', 'agents', largest)


def entry_load(figures: Figures) -> Load:
    """Return the control load of an entry at the design size."""
    entries = ENTRIES / DATA_CENTRES
    return (
        figures.load_at('membership.entry', 'entries', entries)
        + figures.load_per(
            'membership.entry', 'agents per entry', AGENTS / ENTRIES
        )
        + figures.load_per('membership.entry', 'data centres', DATA_CENTRES)
        + child_load(figures)
    )


def agent_load(figures: Figures) -> Load:
    """Return the control load of an agent at the design size."""
    membership = figures.load_at(
        'membership.agent', 'agents', AGENTS / DATA_CENTRES
    )
    return membership + child_load(figures)


def relay_load(figures: Figures, relays: int) -> Load:
    """Return one relay's load when ``relays`` share the children evenly."""
    children = (ENTRIES + AGENTS) / relays
    return figures.load_at('spread.relay', 'children', children)


def voter_load(figures: Figures) -> Load:
    """Return the spread's load on a voter, scaled to ``VOTERS``."""
    measured = figures.load_at('spread.control', 'agents', ENTRIES + AGENTS)
    share = (VOTERS - 1) / (MEASURED_VOTERS - 1)
    scaled = Load(
        measured.messages * share,
        measured.payload * share,
        measured.cpu_us * share,
    )
    return scaled + figures.load_per(
        'spread.relay', 'children', RELAYS / VOTERS
    )


def heap_mb(figures: Figures, name: str, x: str, size: float) -> float:
    """Return the megabytes that ``size`` items take."""
    return figures.slope(name, x) * size / MB


def state_mb(figures: Figures) -> dict[str, float]:
    """Return the megabytes of each part of the state, by name."""
    rows = (ENTRIES + AGENTS) / DATA_CENTRES
    return {
        'table': heap_mb(figures, 'membership.table', 'rows', rows),
        'timeline': heap_mb(
            figures, 'timeline.ring', 'events', TIMELINE_EVENTS
        ),
        'window': WINDOW_BYTES / MB,
        'workspaces': heap_mb(figures, 'manifest', 'workspaces', WORKSPACES),
        'upstreams': heap_mb(figures, 'manifest', 'upstreams', AGENTS),
    }


def snapshot_mb(figures: Figures) -> float:
    """Return the megabytes of an encoded snapshot of the manifest."""
    encoded = 'manifest.encoded'
    return heap_mb(figures, encoded, 'workspaces', WORKSPACES) + heap_mb(
        figures, encoded, 'upstreams', AGENTS
    )


def describe_margin(value: float, bound: float, unit: str) -> str:
    """Return whether a value is within a bound, and the difference."""
    if value <= bound:
        return f'holds, {bound - value:.2f} {unit} left'
    return f'**falls short** by {value - bound:.2f} {unit}'


def values(figures: Figures) -> dict[str, str]:
    """Return the text for each placeholder of the template."""
    state = state_mb(figures)
    manifest = state['workspaces'] + state['upstreams']
    loads = {
        'entry': entry_load(figures),
        'agent': agent_load(figures),
        'relay': relay_load(figures, RELAYS),
        'relay_one_lost': relay_load(figures, RELAYS - 1),
        'voter': voter_load(figures),
    }
    page_values = {f'{name}_mb': f'{size:.2f}' for name, size in state.items()}
    for name, load in loads.items():
        page_values[f'{name}_messages'] = f'{load.messages:.1f}'
        page_values[f'{name}_payload'] = f'{load.payload / 1e3:.2f}'
        page_values[f'{name}_kb'] = f'{load.kb_per_s:.2f}'
        page_values[f'{name}_cpu'] = f'{load.cpu_percent:.3f}'
    for name in ('entry', 'agent'):
        load = loads[name]
        page_values[f'{name}_cpu_verdict'] = describe_margin(
            load.cpu_percent, BOUND_CPU_PERCENT, '% of a core'
        )
        page_values[f'{name}_kb_verdict'] = describe_margin(
            load.kb_per_s, BOUND_KB_PER_S, 'KB/s'
        )
    page_values.update(_memory_values(figures, state, manifest))
    page_values.update(_data_centre_values(figures))
    page_values.update(_failure_values(figures))
    page_values['header'] = str(HEADER_BYTES)
    page_values['series'] = _series_table(figures)
    page_values['imports'] = _imports_table(figures)
    return page_values


def _memory_values(
    figures: Figures, state: dict[str, float], manifest: float
) -> dict[str, str]:
    serving = figures.resident_mb('serving')
    imports = figures.resident_mb('serving and control') - serving
    entry = sum(state.values())
    agent = state['timeline'] + manifest
    agent_without_manifest = state['timeline']
    process = figures.resident_mb('serving and control')
    return {
        'serving_mb': f'{serving:.1f}',
        'control_imports_mb': f'{imports:.1f}',
        'entry_state_mb': f'{entry:.1f}',
        'agent_state_mb': f'{agent:.1f}',
        'agent_lean_mb': f'{agent_without_manifest:.1f}',
        'manifest_mb': f'{manifest:.1f}',
        'entry_process_mb': f'{process + entry:.1f}',
        'agent_process_mb': f'{process + agent:.1f}',
        'relay_process_mb': (
            f'{figures.resident_mb("control and aiomisc") + entry:.1f}'
        ),
        'operator_mb': f'{figures.resident_mb("operator command"):.1f}',
        'entry_memory_verdict': describe_margin(
            imports + entry, BOUND_MEMORY_MB, 'MB'
        ),
        'agent_memory_verdict': describe_margin(
            imports + agent, BOUND_MEMORY_MB, 'MB'
        ),
        'entry_process_verdict': describe_margin(
            process + entry, BOUND_MEMORY_MB, 'MB'
        ),
        'agent_process_verdict': describe_margin(
            process + agent, BOUND_MEMORY_MB, 'MB'
        ),
    }


def _data_centre_values(figures: Figures) -> dict[str, str]:
    rates = figures.data['whole data centre']
    return {
        'steady_kb': f'{rates["steady.bytes"] / 1e3:.2f}',
        'steady_messages': f'{rates["steady.messages"]:.1f}',
        'steady_cpu': f'{rates["steady.cpu"] / 1e4:.3f}',
        'starting_kb': f'{rates["starting.bytes"] / 1e3:.1f}',
        'settled_s': f'{rates["settled.s"]:.0f}',
    }


def _failure_values(figures: Figures) -> dict[str, str]:
    daily = FAILURES_PER_DAY + RESTARTS_PER_DAY
    size = snapshot_mb(figures)
    kb_per_s_per_node = (
        size * 1e3 * daily / (ENTRIES + AGENTS) / SECONDS_PER_DAY
    )
    # The levels include the voters: voters, relays, entries and agents.
    in_force_s = figures.value_at('spread.in force, pushes lost', 'levels', 3)
    in_force_deep_s = figures.value_at(
        'spread.in force, pushes lost', 'levels', 4
    )
    death_s = figures.value_at(
        'membership.death known', 'entries', ENTRIES / DATA_CENTRES
    )
    rack_s = figures.value_at(
        'membership.rack known', 'entries lost', RACK_ENTRIES
    )
    return {
        'rack_s': f'{rack_s:.1f}',
        'snapshot_mb': f'{size:.1f}',
        'snapshot_s': f'{size * 1e3 / BOUND_KB_PER_S:.0f}',
        'snapshot_per_node': f'{kb_per_s_per_node:.3f}',
        'snapshot_relay_kb': (
            f'{size * 1e3 * daily / SECONDS_PER_DAY / RELAYS:.1f}'
        ),
        'events_per_dc': f'{daily / DATA_CENTRES:.0f}',
        'in_force_s': f'{in_force_s:.2f}',
        'in_force_deep_s': f'{in_force_deep_s:.2f}',
        'in_force_verdict': describe_margin(in_force_s, BOUND_IN_FORCE_S, 's'),
        'death_s': f'{death_s:.1f}',
        'changes_per_s': f'{changes_per_s():.2f}',
        'hosts': f'{VOTERS + RELAYS}',
        'hosts_verdict': describe_margin(
            VOTERS + RELAYS, BOUND_HOSTS, 'hosts'
        ),
        'children': f'{(ENTRIES + AGENTS) / RELAYS:.0f}',
    }


def _series_table(figures: Figures) -> str:
    lines = [
        '| series | by | unit | slope | intercept | points | residual |',
        '|---|---|---|---|---|---|---|',
    ]
    for item in figures.data['series']:
        sizes = ', '.join(f'{point[0]:g}' for point in item['points'])
        lines.append(
            f'| {item["name"]} | {item["x"]} | {item["unit"]} '
            f'| {item["slope"]:.4g} | {item["intercept"]:.4g} | {sizes} '
            f'| {item["residual"]:.1%} |'
        )
    return '\n'.join(lines)


def _imports_table(figures: Figures) -> str:
    bare = figures.resident_mb('bare interpreter')
    lines = [
        '| imports | resident MB | above the bare interpreter |',
        '|---|---|---|',
    ]
    for item in figures.data['imports']:
        size = figures.resident_mb(item['name'])
        lines.append(f'| {item["name"]} | {size:.1f} | {size - bare:.1f} |')
    return '\n'.join(lines)


def render(figures: Figures) -> str:
    """Return the text of the page."""
    return TEMPLATE.read_text('utf-8').format(**values(figures))


def main() -> None:
    """Write ``docs/CAPACITY.md``."""
    PAGE.write_text(render(Figures.read()), 'utf-8')


if __name__ == '__main__':
    main()
