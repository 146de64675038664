"""The command ``cassiashift experiment balance``.

Runs the balancing policy and its baselines over a trace and prints their
measures. The same input gives byte-identical output.
"""

import json
import pathlib
import sys
from typing import Annotated

import attrs
import cyclopts

from cassiashift_core.balancing import experiment
from cassiashift_core.balancing import placements
from cassiashift_core.balancing import prices
from cassiashift_core.balancing import traces

BAD_TRACE_STATUS = 2
BYTES_PER_EXPERT = 44_040_192
DEFAULT_POLICIES = 'static,greedy,greedy-sticky,cassiashift'
DIGITS = 6
PLOT_METADATA = {'Software': None}


def balance(
    *,
    trace: pathlib.Path | None = None,
    seed: int = 0,
    kind: Annotated[
        traces.TraceKind, cyclopts.Parameter(name=['--kind', '--trace-kind'])
    ] = traces.TraceKind.DRIFT,
    ranks: Annotated[
        int, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=1))
    ] = 32,
    slots: Annotated[
        int, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=1))
    ] = 9,
    window_seconds: Annotated[
        float, cyclopts.Parameter(validator=cyclopts.validators.Number(gt=0))
    ] = 60.0,
    bytes_per_expert: Annotated[
        int, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=1))
    ] = BYTES_PER_EXPERT,
    store_bytes_per_second: Annotated[
        float, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=0))
    ] = 0.0,
    skew_weight: Annotated[
        float, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=0))
    ] = 1.0,
    cost_weight: Annotated[
        float, cyclopts.Parameter(validator=cyclopts.validators.Number(gte=0))
    ] = 0.1,
    policies: str = DEFAULT_POLICIES,
    json_output: Annotated[
        bool, cyclopts.Parameter(name='--json', negative='')
    ] = False,
    plot: pathlib.Path | None = None,
) -> int:
    """Compare policies of expert balancing over a trace.

    Args:
        trace: file of JSON lines with window, layer and tokens.
        seed: seed of a trace that the program makes itself.
        kind: kind of that trace.
        ranks: ranks of the group.
        slots: experts that a rank can hold for a layer.
        window_seconds: length of a window.
        bytes_per_expert: weights that one move fetches.
        store_bytes_per_second: rate of the weight store; 0 means that
            moves take no time.
        skew_weight: the manifest's weight of skew.
        cost_weight: the manifest's weight of moves.
        policies: names, separated by commas.
        json_output: print JSON.
        plot: file for a chart of the measures over time.
    """
    try:
        tokens = _load_tokens(trace, kind, seed)
        cfg = experiment.ExperimentConfig(
            ranks=placements.Ranks.uniform(ranks, slots),
            prices=prices.Prices(skew_weight, cost_weight),
            window_s=window_seconds,
            bytes_per_expert=bytes_per_expert,
            store_bytes_per_second=store_bytes_per_second,
        )
        names = _parse_policies(policies)
        _check_slots(tokens.shape[2], ranks, slots)
    except (traces.TraceError, ValueError, OSError) as exc:
        print(f'error: {exc}', file=sys.stderr)
        return BAD_TRACE_STATUS
    outcomes = {name: experiment.run(name, tokens, cfg) for name in names}
    if json_output:
        _print_json(outcomes)
    else:
        _print_table(outcomes)
    if plot is not None:
        _plot(plot, outcomes)
    return 0


def _load_tokens(trace, kind, seed):
    if trace is None:
        return traces.generate(kind, seed)
    with trace.open('rb') as lines:
        return traces.read(lines)


def _parse_policies(policies: str) -> list[str]:
    names = [name.strip() for name in policies.split(',')]
    for name in names:
        if name not in experiment.POLICIES:
            known = ', '.join(experiment.POLICIES)
            raise ValueError(f'unknown policy {name!r}; known: {known}')
    return names


def _check_slots(experts: int, ranks: int, slots: int) -> None:
    if experts > ranks * slots:
        raise ValueError(
            f'{experts} experts do not fit into {ranks} x {slots} slots'
        )


def _rounded(measures: experiment.Measures) -> dict[str, float]:
    return {
        key: round(value, DIGITS)
        for key, value in attrs.asdict(measures).items()
    }


def _print_json(outcomes: dict[str, experiment.Outcome]) -> None:
    document = {
        'policies': {
            name: _rounded(outcome.measures)
            for name, outcome in outcomes.items()
        },
        'lower_bound': _rounded(experiment.LOWER_BOUND),
    }
    print(json.dumps(document, indent=2))


def _print_table(outcomes: dict[str, experiment.Outcome]) -> None:
    rows = {name: outcome.measures for name, outcome in outcomes.items()}
    rows['lower bound'] = experiment.LOWER_BOUND
    print(
        f'{"policy":<14}{"skew mean":>10}{"skew p95":>10}'
        f'{"moved bytes":>17}{"stall s":>10}{"step time":>11}'
    )
    for name, row in rows.items():
        print(
            f'{name:<14}{row.skew_mean:>10.4f}{row.skew_p95:>10.4f}'
            f'{row.moved_bytes:>17}{row.stall_seconds:>10.1f}'
            f'{row.step_time_ratio:>11.4f}'
        )


def _plot(path: pathlib.Path, outcomes: dict[str, experiment.Outcome]) -> None:
    """Write a chart of skew and moved experts for each window."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True)
    for name, outcome in outcomes.items():
        windows = range(1, len(outcome.skews) + 1)
        upper.plot(windows, outcome.skews, label=name)
        lower.plot(windows, outcome.moved, label=name)
    upper.set_ylabel('skew')
    lower.set_ylabel('moved experts')
    lower.set_yscale('symlog')
    lower.set_xlabel('window')
    upper.legend()
    metadata = PLOT_METADATA if path.suffix == '.png' else None
    figure.savefig(path, metadata=metadata)
    pyplot.close(figure)


if __name__ == '__main__':
    app = cyclopts.App(result_action='return_value')
    app.default(balance)
    sys.exit(app())
