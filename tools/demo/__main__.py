"""Runs the demonstration; exits with 0 if all checks pass, else with 1."""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp
import uvloop
import yaml

from tools.cluster import Cluster
from tools.cluster import Operator
from tools.cluster import Placement
from tools.demo import checks
from tools.demo import load

EXAMPLE = pathlib.Path('docs/examples/smotana.yaml')
ENTRIES = {
    'entry-1': 'trnava',
    'entry-2': 'nitra',
    'entry-3': 'senec',
    'entry-4': 'trnava',
    'entry-5': 'nitra',
    'entry-6': 'senec',
}
VOTERS = 3
CALLERS = 24
PHASE_S = 4.0
SEED = 7


def show_progress(text: str) -> None:
    """Print a line with the prefix ``demo:``."""
    print(f'demo: {text}', flush=True)


async def prepare(cluster: Cluster, manifest: dict) -> None:
    """Add the entries and, for each upstream, a stand-in and an agent."""
    cluster.add_entries(ENTRIES, voters=VOTERS)
    for item in manifest['upstreams']:
        placement = Placement(
            item['host'],
            item['data_centre'],
            item['id'],
            item.get('kind', 'engine') == 'engine',
        )
        await cluster.add_upstream(placement)


async def demonstrate(cluster: Cluster, manifest: dict) -> bool:
    """Run the load with its faults; return whether all checks passed."""
    await prepare(cluster, manifest)
    show_progress(f'starting {len(cluster.daemons)} processes on loopback')
    cluster.start_all()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        operator = Operator(session, cluster)
        in_force_s = await apply_manifest(operator, manifest)
        callers = load.Load(
            session=session,
            entries=cluster.entry_urls(),
            workspaces=[item['id'] for item in manifest['workspaces']],
            model=manifest['models'][0]['id'],
            service=manifest['services'][0]['id'],
            rng=random.Random(SEED),
        )
        load_task = asyncio.ensure_future(callers.run(CALLERS))
        try:
            await inject_faults(cluster, operator, manifest, callers)
        finally:
            callers.stop()
            await load_task
        findings = checks.check_calls(
            callers.done, cluster.record(), in_force_s
        )
    return report(findings)


async def apply_manifest(operator: Operator, manifest: dict) -> float:
    """Apply the example; return the seconds until in force everywhere.

    Raises:
        RuntimeError: the manifest was refused.
    """
    await operator.wait_in_force(0)
    show_progress('applying docs/examples/smotana.yaml')
    start_s = time.monotonic()
    status, answer = await operator.apply(manifest, 0, 'demo-apply')
    if status != 200:
        raise RuntimeError(f'the manifest was refused: {answer}')
    await operator.wait_in_force(answer['revision'])
    in_force_s = time.monotonic() - start_s
    await operator.wait_healthy([item['id'] for item in manifest['upstreams']])
    show_progress(f'revision {answer["revision"]} in force everywhere')
    return in_force_s


async def inject_faults(
    cluster: Cluster, operator: Operator, manifest: dict, callers: load.Load
) -> None:
    """Kill an entry, then drain an upstream, ``PHASE_S`` apart."""
    await asyncio.sleep(PHASE_S)
    show_progress(f'{len(callers.done)} calls done; killing entry-2')
    cluster.kill('entry-2')
    await asyncio.sleep(PHASE_S)
    target = manifest['upstreams'][0]['id']
    show_progress(f'{len(callers.done)} calls done; draining {target}')
    await operator.drain(target, 'demo-drain')
    await asyncio.sleep(PHASE_S)
    show_progress(f'{len(callers.done)} calls done; finishing')


def report(findings: checks.Findings) -> bool:
    """Print the figures and failed checks; return whether none failed."""
    width = max(len(name) for name, _ in findings.rows)
    print()
    for name, value in findings.rows:
        print(f'  {name:<{width}}  {value:>10}')
    print()
    for text in findings.broken:
        show_progress(f'BROKEN {text}')
    show_progress('failed' if findings.broken else 'ok')
    return not findings.broken


async def main() -> int:
    """Run the demonstration, stop its processes, return the exit status."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    manifest = yaml.safe_load(EXAMPLE.read_text('utf-8'))
    with tempfile.TemporaryDirectory(prefix='cassiashift-demo-') as folder:
        cluster = Cluster.in_folder(pathlib.Path(folder))
        passed = False
        try:
            passed = await demonstrate(cluster, manifest)
        except asyncio.CancelledError:
            show_progress('interrupted')
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await cluster.close()
    return 0 if passed else 1


if __name__ == '__main__':
    uvloop.install()
    sys.exit(asyncio.run(main()))
