"""Prints how long a switch stalls, by message delay and step time.

Run it with ``tools/run python -m tests.core.mapswitch.stall``. The time is
simulated, so each run prints the same.
"""

from cassiashift_core import mapswitch
from tests.core.mapswitch import cluster as clusters

DELAYS_S = (0.001, 0.005, 0.01, 0.02, 0.05, 0.1)
RANKS = 8
STEPS_S = (0.02, 0.045)
SWITCHES = 5


def measure(step_s: float, delay_s: float) -> tuple[float, float]:
    """Return the worst rank's stall and the duration, both for a switch.

    Both are in seconds and means over ``SWITCHES`` switches.
    """
    cluster = clusters.start_cluster(
        ranks=RANKS, delay_s=delay_s, step_s=step_s
    )
    cluster.run(1.0)
    before = {n: r.stalled_s for n, r in cluster.ranks.items()}
    done = len(cluster.finished)
    for _ in range(SWITCHES):
        cluster.request('a')
        cluster.run(4.0)
    finished = cluster.finished[done:]
    if not all(switch.committed for switch in finished):
        raise AssertionError('a switch was aborted')
    stall_s = max(
        rank.stalled_s - before[name] for name, rank in cluster.ranks.items()
    )
    duration_s = sum(switch.duration_s for switch in finished)
    return stall_s / SWITCHES, duration_s / SWITCHES


def main() -> None:
    """Print a line for each step time and delay."""
    print(f'lead of {mapswitch.CoordinatorConfig("g").lead_steps} steps')
    for step_s in STEPS_S:
        for delay_s in DELAYS_S:
            stall_s, duration_s = measure(step_s, delay_s)
            print(
                f'step {step_s * 1000:.0f} ms, delay '
                f'{delay_s * 1000:.0f} ms: stall {stall_s * 1000:.0f} ms, '
                f'duration {duration_s * 1000:.0f} ms'
            )


if __name__ == '__main__':
    main()
