"""The command ``cassiashift experiment routing``."""

import sys
from typing import Annotated

import attrs
import cyclopts
import msgspec

from cassiashift_core import experiment

HEADINGS = (
    'scenario',
    'policy',
    'first token ms p50/p95/p99',
    'without w0',
    'token gap ms p50/p95/p99',
    'goodput tok/s',
    'in 2 s',
    'in 45 ms',
    'Jain',
    'worst share',
    'hits',
    'retries',
    'served',
    'refused',
    'broken',
)

OVERLOAD_HEADINGS = (
    'load',
    'policy',
    'on time by priority',
    'value by priority',
    'on time',
    'during',
    '2 s after',
    'worst workspace',
    'largest tenth',
    'wait ms by priority',
    'refused',
    'returns placed',
    'with capacity',
    'of these placed',
)


def routing(
    *,
    seed: Annotated[int, cyclopts.Parameter(help='Seed.')] = 1,
    json: Annotated[
        bool, cyclopts.Parameter(help='Print JSON instead of a table.')
    ] = False,
    scenario: Annotated[
        tuple[str, ...], cyclopts.Parameter(help='Scenarios to run.')
    ] = (),
    policy: Annotated[
        tuple[str, ...], cyclopts.Parameter(help='Policies to run.')
    ] = (),
    overload: Annotated[
        bool,
        cyclopts.Parameter(
            help='Overload a lock-step group; the scenarios are its loads.'
        ),
    ] = False,
    seeds: Annotated[
        int,
        cyclopts.Parameter(help='Seeds of the overload, from --seed on.'),
    ] = 1,
) -> None:
    """Compare routing policies over the same seeded arrivals."""
    if overload:
        cells = experiment.run_overload(
            experiment.OverloadConfig(),
            range(seed, seed + seeds),
            scenario,
            policy,
        )
        text = _encode(cells) if json else overload_table(cells)
        sys.stdout.write(text)
        return
    cfg = experiment.ExperimentConfig(scenarios=scenario, policies=policy)
    result = experiment.run(cfg, seed)
    text = to_json(result) if json else to_table(result)
    sys.stdout.write(text)


def to_json(result: experiment.ExperimentResult) -> str:
    """Return indented JSON; equal results give equal text."""
    return _encode(result)


def overload_table(cells: list[experiment.OverloadCell]) -> str:
    """Return a Markdown table with a row for each load and policy."""
    headings = OVERLOAD_HEADINGS
    lines = [_table_row(headings), _table_row(['---'] * len(headings))]
    lines.extend(_table_row(_overload_fields(cell)) for cell in cells)
    return '\n'.join(lines) + '\n'


def _overload_fields(cell: experiment.OverloadCell) -> list[str]:
    return [
        cell.shape,
        cell.policy,
        _join(cell.on_time, '.2f'),
        _join(cell.value, '.2f'),
        f'{cell.all_on_time:.3f}',
        f'{cell.disturbed:.3f}',
        f'{cell.after:.3f}',
        f'{cell.worst_workspace:.3f}',
        f'{cell.largest:.3f}',
        _join(cell.wait_ms, '.0f'),
        f'{cell.refused:.3f}',
        f'{cell.returns_placed:.3f}',
        f'{cell.promised:.3f}',
        f'{cell.promises_kept:.3f}',
    ]


def _join(values: tuple[float, ...], spec: str) -> str:
    return ' / '.join(format(value, spec) for value in values)


def _encode(result: object) -> str:
    encoded = msgspec.json.encode(result)
    return msgspec.json.format(encoded, indent=2).decode() + '\n'


def to_table(result: experiment.ExperimentResult) -> str:
    """Return a Markdown table with a row for each scenario and policy."""
    lines = [_table_row(HEADINGS), _table_row(['---'] * len(HEADINGS))]
    lines.extend(_table_row(_cell_fields(cell)) for cell in result.cells)
    return '\n'.join(lines) + '\n'


def _cell_fields(cell: experiment.Cell) -> list[str]:
    return [
        cell.scenario,
        cell.policy,
        _format_percentiles(cell.first_token_ms),
        _format_percentiles(cell.others_first_token_ms),
        _format_percentiles(cell.token_gap_ms),
        f'{cell.goodput_tokens_per_s:.0f}',
        f'{cell.within_first_token:.3f}',
        f'{cell.within_token_gap:.3f}',
        f'{cell.jain:.3f}',
        f'{cell.worst_share:.3f}',
        f'{cell.prefix_hits:.3f}',
        str(cell.retries),
        str(cell.served),
        str(cell.refused),
        str(cell.broken),
    ]


def _format_percentiles(percentiles: object) -> str:
    return ' / '.join(f'{value:.0f}' for value in attrs.astuple(percentiles))


def _table_row(fields: tuple[str, ...] | list[str]) -> str:
    return '| ' + ' | '.join(fields) + ' |'
