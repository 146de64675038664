"""Runs consensus under seeded schedules of faults.

Usage: tools/run python -m tools.explore_consensus --seeds 200 [--first 1]
       [--steps 60] [--storage]
"""

import argparse
import sys

from tests.core.consensus import cluster
from tests.core.consensus import schedules
from tests.daemon.storage import stored


def main() -> int:
    """Run the schedules; print each failing seed and return 1 if any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=200)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--steps', type=int, default=schedules.STEPS)
    parser.add_argument('--storage', action='store_true')
    args = parser.parse_args()
    kind = stored.StoredCluster if args.storage else cluster.Cluster
    failed = 0
    committed = 0
    for seed in range(args.first, args.first + args.seeds):
        try:
            run = schedules.explore(seed, args.steps, kind)
        except Exception as exc:
            failed += 1
            print(f'seed={seed} error={type(exc).__name__} text="{exc}"')
        else:
            committed += run.checker.max_committed
    print(f'seeds={args.seeds} failed={failed} committed={committed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
