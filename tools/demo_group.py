"""Demonstrates balancing of a lock-step group of 16 ranks."""

import asyncio
import pathlib
import statistics
import sys
import tempfile

import aiohttp

from tools.cluster import Cluster
from tools.cluster import Operator
from tools.cluster import Placement
from tools.standins import group as standin_group

DATA_CENTRE = 'trnava'
CORRELATION = 0.9995
ENTRIES = {f'entry-{number}': DATA_CENTRE for number in (1, 2, 3)}
EXPERTS = 128
POLL_INTERVAL_S = 0.05
RANKS = tuple(f'r{number}' for number in range(16))
SEED = 1
SLOTS = 9
STEP_S = 0.02
STEPS = 600
WINDOW_S = 2.0


def manifest() -> dict:
    """Return a manifest with one group of all ranks."""
    upstreams = [
        {
            'id': f'up-{rank}',
            'host': f'runner-{rank}',
            'data_centre': DATA_CENTRE,
            'offers': [{'model': 'drafting'}],
        }
        for rank in RANKS
    ]
    ranks = [
        {'id': rank, 'upstream': f'up-{rank}', 'slots': SLOTS}
        for rank in RANKS
    ]
    group = {
        'id': 'moe',
        'model': 'drafting',
        'data_centre': DATA_CENTRE,
        'ranks': ranks,
        'experts': EXPERTS,
    }
    return {
        'name': 'group',
        'measures': {'skew': 1.0, 'cost': 0.1},
        'regions': [{'id': 'zapad', 'data_centres': [{'id': DATA_CENTRE}]}],
        'models': [{'id': 'drafting'}],
        'upstreams': upstreams,
        'groups': [group],
    }


def report(group: standin_group.LockStepGroup) -> int:
    """Print the skew by map version; return 0 if balancing lowered it."""
    skews: dict[int, list[float]] = {}
    for used_versions, skew in zip(group.versions, group.skews, strict=False):
        skews.setdefault(max(used_versions.values()), []).append(skew)
    for version, values in sorted(skews.items()):
        mean = statistics.fmean(values)
        print(f'version {version}: {len(values)} steps, skew {mean:.3f}')
    first_mean = statistics.fmean(skews.pop(min(skews)))
    later = [skew for values in skews.values() for skew in values]
    mixed = group.mixed_steps()
    if not later:
        print('no second map was reached')
        return 1
    mean = statistics.fmean(later)
    print(f'skew before {first_mean:.3f}, after {mean:.3f}')
    print(f'steps on more than one map: {len(mixed)}')
    return 0 if not mixed and mean < first_mean else 1


async def run(folder: pathlib.Path) -> int:
    """Start the processes, run the group for ``STEPS`` and report."""
    window = ['--balance-window-s', str(WINDOW_S)]
    cluster = Cluster.in_folder(folder, entry=window, agent=window)
    cluster.add_entries(ENTRIES, voters=3)
    engines = {rank: standin_group.RankEngine(rank) for rank in RANKS}
    urls = {}
    for rank, engine in engines.items():
        placement = Placement(
            f'runner-{rank}', DATA_CENTRE, f'up-{rank}', True
        )
        urls[rank] = await cluster.add_rank(placement, engine)
    popularity = standin_group.Popularity(EXPERTS, 1, SEED, CORRELATION)
    group = standin_group.LockStepGroup(engines, urls, popularity, STEP_S)
    async with aiohttp.ClientSession() as session:
        try:
            cluster.start_all()
            operator = Operator(session, cluster)
            await operator.wait_in_force(0)
            await operator.apply(manifest(), 0, 'first')
            group_task = asyncio.create_task(group.run(session))
            while len(group.skews) < STEPS and not group_task.done():
                await asyncio.sleep(POLL_INTERVAL_S)
            group_task.cancel()
        finally:
            await cluster.close()
    return report(group)


def main() -> int:
    """Run the demonstration in a temporary folder; return its status."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(pathlib.Path(folder)))


if __name__ == '__main__':
    sys.exit(main())
