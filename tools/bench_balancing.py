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


def time_plans(kind: traces.TraceKind) -> None:
    """Print the median and the longest time of a plan over a trace."""
    trace = traces.generate(kind, SEED, windows=WINDOWS, layers=LAYERS)
    if kind is traces.TraceKind.SHIFT:
        other = traces.generate(kind, SEED + 1, windows=2, layers=LAYERS)
        trace[WINDOWS - 2] = other[0]
    policy = policies.CassiashiftPolicy.from_config(
        placements.Ranks.uniform(32, 9), prices.Prices(1.0, 0.1), LAYERS
    )
    policy.observe(trace[0])
    current = policy.first_placements(trace[0])
    times_s = []
    for window in range(1, WINDOWS):
        policy.observe(trace[window])
        start_s = time.process_time()
        plan = policy.plan(current)
        times_s.append(time.process_time() - start_s)
        current = plan.placed
    print(
        f'{kind.value}: median {statistics.median(times_s):.2f} s, '
        f'worst {max(times_s):.2f} s'
    )


if __name__ == '__main__':
    time_plans(traces.TraceKind.DRIFT)
    time_plans(traces.TraceKind.SHIFT)
