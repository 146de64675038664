"""Times the plans of a group of 32 ranks, 256 experts and 58 layers.

Run it with one thread: ``OMP_NUM_THREADS=1 tools/run python -m
tools.bench_balancing``. Prints processor seconds for each plan.
"""

import statistics
import time

from cassiashift_core.balancing import placements
from cassiashift_core.balancing import policy as policies
from cassiashift_core.balancing import prices
from cassiashift_core.balancing import traces

LAYERS = 58
SEED = 5
WINDOWS = 10


def run(kind: traces.TraceKind) -> None:
    """Print the time of each plan over a trace."""
    trace = traces.generate(kind, SEED, windows=WINDOWS, layers=LAYERS)
    if kind is traces.TraceKind.SHIFT:
        other = traces.generate(kind, SEED + 1, windows=2, layers=LAYERS)
        trace[WINDOWS - 2] = other[0]
    policy = policies.CassiashiftPolicy.from_config(
        placements.Ranks.even(32, 9), prices.Prices(1.0, 0.1), LAYERS
    )
    policy.observe(trace[0])
    current = policy.first_placements(trace[0])
    spent = []
    for window in range(1, WINDOWS):
        policy.observe(trace[window])
        begun = time.process_time()
        plan = policy.plan(current)
        spent.append(time.process_time() - begun)
        current = plan.placed
    print(
        f'{kind.value}: median {statistics.median(spent):.2f} s, '
        f'worst {max(spent):.2f} s'
    )


if __name__ == '__main__':
    run(traces.TraceKind.DRIFT)
    run(traces.TraceKind.SHIFT)
