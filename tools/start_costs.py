"""Measures what a start of the platform's processes costs.

Usage: tools/run python -m tools.start_costs [--runs N]

For each role, prints the median processor time and resident memory

- of creating the process, that is its imports and the reading of its
  settings, in an interpreter that does nothing else;
- of a whole start until the process serves, and until it has answered a
  first request.

An entry is measured when it starts again: it votes alone, and has a
configuration in its log and an upstream that sends heartbeats. It serves when
it is ready. An agent serves when it has read the first report of its engine.

All modules come from compiled bytecode, as in a deployment.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

from aiohttp import web
import attrs
import yaml

from tests.process import platform_site

BASE = '127.77.0'
ENGINE = f'{BASE}.50:18400'
POLL_S = 0.002
TIMEOUT_S = 30.0
NANOSECONDS_PER_MS = 1e6
CREATION = """
import gc, pathlib, sys
gc.disable()
from cassiashift_platform import roles
process = roles.ROLES[sys.argv[1]](pathlib.Path(sys.argv[2]))
for line in open('/proc/self/status'):
    if line.startswith('VmRSS:'):
        resident_kib = int(line.split()[1])
print(sum(int(open(f'/proc/self/task/{task}/schedstat').read().split()[0])
      for task in __import__('os').listdir('/proc/self/task')), resident_kib)
"""


@attrs.frozen
class Cost:
    """Processor time and resident memory of a process up to one point."""

    cpu_ms: float
    resident_mib: float


def cost_of(pid: int) -> Cost:
    """Return what a process has cost so far, with all of its threads."""
    folder = pathlib.Path(f'/proc/{pid}')
    spent_ns = 0
    for task in (folder / 'task').iterdir():
        spent_ns += int((task / 'schedstat').read_text().split()[0])
    status = dict(
        line.split(':\t', 1)
        for line in (folder / 'status').read_text().splitlines()
    )
    return Cost(
        spent_ns / NANOSECONDS_PER_MS, int(status['VmRSS'].split()[0]) / 1024
    )


def measure_creation(role: str, settings: pathlib.Path) -> Cost:
    """Return the cost of creating a role's process in a new interpreter."""
    completed = subprocess.run(
        [sys.executable, '-c', CREATION, role, str(settings)],
        check=True,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    spent_ns, resident_kib = map(int, completed.stdout.split())
    return Cost(spent_ns / NANOSECONDS_PER_MS, resident_kib / 1024)


async def wait_for_line(log: pathlib.Path, offset: int, text: str) -> None:
    """Wait until a log has a text after an offset.

    The log is read, as each request to the process would add to its cost.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while text not in log.read_text()[offset:]:
            await asyncio.sleep(POLL_S)


async def measure_entry_starts(
    folder: pathlib.Path, runs: int
) -> dict[str, list[Cost]]:
    """Return the costs of an entry's starts by the point they reach."""
    costs = {'creation': [], 'ready': [], 'first answer': []}
    async with platform_site.site(folder, BASE, 1, 0) as site:
        entry = site.entries[0]
        log = folder / f'entry-{entry.number}.log'
        await site.put_until_acknowledged(entry, platform_site.document(1))
        await site.wait_until(site.is_ready, entry)
        for run in range(runs + 1):
            entry.kill()
            offset = log.stat().st_size
            entry.start()
            await wait_for_line(log, offset, 'event=readiness ready=True')
            ready = cost_of(entry.process.pid)
            status = 0
            async with asyncio.timeout(TIMEOUT_S):
                while status != 200:
                    status, _ = await site.call(
                        entry, 'read', f'{run}-{time.monotonic_ns()}'
                    )
            answered = cost_of(entry.process.pid)
            created = measure_creation(
                'entry', folder / f'settings-{entry.number}.yaml'
            )
            # The first start compiles the modules.
            if run:
                costs['creation'].append(created)
                costs['ready'].append(ready)
                costs['first answer'].append(answered)
    return costs


def _engine_app() -> web.Application:
    """Return a model runner that is the only rank of its group."""
    group = {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'}
    report = {'group': group, 'size': 1, 'step': 1, 'expertMap': 1}
    counts = {
        'epoch': 1,
        'counts': [0],
        'expertMap': {'version': 1, 'experts': [[0]]},
    }

    async def answer_report(_: web.Request) -> web.Response:
        return web.json_response(report)

    async def answer_counts(_: web.Request) -> web.Response:
        return web.json_response(counts)

    app = web.Application()
    app.router.add_get('/cassiashift/report', answer_report)
    app.router.add_get('/cassiashift/picked', answer_counts)
    return app


@contextlib.asynccontextmanager
async def _running_engine():
    runner = web.AppRunner(_engine_app())
    await runner.setup()
    host, _, port = ENGINE.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    try:
        yield
    finally:
        await runner.cleanup()


async def measure_agent_starts(
    folder: pathlib.Path, runs: int
) -> dict[str, list[Cost]]:
    """Return the costs of an agent's starts by the point they reach."""
    costs = {'creation': [], 'first report': []}
    settings = folder / 'settings-agent.yaml'
    settings.write_text(
        yaml.safe_dump(
            {
                'ip': f'{BASE}.50',
                'portRange': platform_site.LINK_PORTS,
                'seeds': [],
                'service': 'desk',
                'app': ENGINE,
            }
        )
    )
    async with _running_engine():
        for run in range(runs + 1):
            log = folder / f'agent-{run}.log'
            with log.open('wb') as stream:
                process = subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        'cassiashift_platform.main',
                        'agent',
                    ],
                    stdout=stream,
                    stderr=stream,
                    stdin=subprocess.DEVNULL,
                    env=os.environ | {'CASSIASHIFT_CONFIG': str(settings)},
                )
            try:
                await wait_for_line(log, 0, 'event=group_joined')
                reported = cost_of(process.pid)
            finally:
                process.kill()
                process.wait()
            created = measure_creation('agent', settings)
            if run:
                costs['creation'].append(created)
                costs['first report'].append(reported)
    return costs


def _median(costs: list[Cost]) -> dict[str, float]:
    return {
        'cpu_ms': round(statistics.median(cost.cpu_ms for cost in costs), 1),
        'resident_mib': round(
            statistics.median(cost.resident_mib for cost in costs), 1
        ),
    }


async def measure(runs: int) -> dict[str, dict[str, dict[str, float]]]:
    """Return the median costs by role and point."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        os.environ['PYTHONPYCACHEPREFIX'] = str(folder / 'bytecode')
        # An empty value allows the interpreter to write bytecode.
        os.environ['PYTHONDONTWRITEBYTECODE'] = ''
        rows = {
            'entry': await measure_entry_starts(folder, runs),
            'agent': await measure_agent_starts(folder, runs),
        }
    return {
        role: {point: _median(costs) for point, costs in points.items()}
        for role, points in rows.items()
    }


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--runs', type=int, default=9)
    print(json.dumps(asyncio.run(measure(parser.parse_args().runs)), indent=1))
