"""Measures the latency that entry and agent add to a direct call.

Usage: tools/run python -m tools.bench [--json] [--calls N]

One entry, one agent and one stand-in engine run on loopback. Direct calls
and calls through the system alternate, so that load from elsewhere on the
machine affects both alike. From the processor time of entry and agent follow
the calls and tokens a second on one core of each; the lower rate of the two
bounds what a pair of cores can serve.
"""

import argparse
import asyncio
import hashlib
import pathlib
import tempfile
import time

import aiohttp
import attrs
from hdrh import histogram
import msgspec
import psutil
import uvloop

from tools.cluster import Cluster
from tools.cluster import Operator
from tools.cluster import Placement

KEY = 'bench-key'
MODEL = 'drafting'
UPSTREAM = 'drafting-01'
MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECORDED_US = 60 * MICROSECONDS_PER_SECOND
WARM_UP_CALLS = 50
CALLERS = 16
POLL_INTERVAL_S = 0.02
ENGINE_DELAYS = {'first_token_s': 0.0, 'token_gap_s': 0.0}


@attrs.frozen
class Shape:
    """One kind of call; ``share`` scales the number of calls."""

    name: str
    tokens: int
    stream: bool
    share: float


SHAPES = (
    Shape('whole answer', 16, False, 1.0),
    Shape('short stream', 16, True, 1.0),
    Shape('long stream', 512, True, 0.1),
)


@attrs.frozen
class Latency:
    """Times of direct calls and of calls through the system, in ms."""

    shape: str
    calls: int
    direct_p50: float
    direct_p99: float
    through_p50: float
    through_p99: float

    @property
    def added_p50(self) -> float:
        """Return the difference of the medians."""
        return self.through_p50 - self.direct_p50

    @property
    def added_p99(self) -> float:
        """Return the difference of the 99th percentiles."""
        return self.through_p99 - self.direct_p99


@attrs.frozen
class Cost:
    """Processor time that entry and agent spent on concurrent calls."""

    shape: str
    calls: int
    tokens: int
    seconds: float
    entry_cpu_s: float
    agent_cpu_s: float

    def per_core(self, count: int) -> tuple[float, float]:
        """Return a count by processor second of entry and of agent."""
        return count / self.entry_cpu_s, count / self.agent_cpu_s


@attrs.define(eq=False)
class Bench:
    """A running deployment and the URLs to call it at."""

    cluster: Cluster
    session: aiohttp.ClientSession
    direct_url: str = ''
    entry_url: str = ''

    async def start(self) -> None:
        """Start the processes; apply a manifest with limits out of reach."""
        self.cluster.add_entries({'entry-1': 'trnava'}, voters=1)
        await self.cluster.add_upstream(
            Placement('runner-01', 'trnava', UPSTREAM, True), **ENGINE_DELAYS
        )
        self.cluster.start_all()
        operator = Operator(self.session, self.cluster)
        await operator.wait_in_force(0)
        status, answer = await operator.apply(_manifest(), 0, 'bench')
        if status != 200:
            raise RuntimeError(f'the manifest was refused: {answer}')
        await operator.wait_in_force(answer['revision'])
        await operator.wait_healthy([UPSTREAM])
        agent = self.cluster.daemons['runner-01']
        self.direct_url = f'http://{agent.ip}:8000'
        self.entry_url = self.cluster.url_of('entry-1')
        while not await self._is_ready():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self) -> bool:
        async with self.session.get(f'{self.entry_url}/readyz') as resp:
            return resp.status == 200

    async def latency(self, shape: Shape, calls: int) -> Latency:
        """Measure single calls, alternately direct and through the entry."""
        count = max(1, round(calls * shape.share))
        times = {
            self.direct_url: _new_histogram(),
            self.entry_url: _new_histogram(),
        }
        for number in range(WARM_UP_CALLS + count):
            for base_url, measured in times.items():
                seconds = await self._run_call(base_url, shape)
                if number >= WARM_UP_CALLS:
                    measured.record_value(
                        max(1, int(seconds * MICROSECONDS_PER_SECOND))
                    )
        return Latency(
            shape.name,
            count,
            *_percentiles_ms(times[self.direct_url]),
            *_percentiles_ms(times[self.entry_url]),
        )

    async def cost(self, shape: Shape, calls: int) -> Cost:
        """Measure the processor time of concurrent calls."""
        count = max(CALLERS, round(calls * shape.share))
        entry, agent = (
            psutil.Process(self.cluster.daemons[name].process.pid)
            for name in ('entry-1', 'runner-01')
        )
        before = _cpu_s(entry), _cpu_s(agent)
        start_s = time.perf_counter()
        share = count // CALLERS
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._run_calls(shape, share))
        done = share * CALLERS
        return Cost(
            shape.name,
            done,
            done * shape.tokens,
            time.perf_counter() - start_s,
            _cpu_s(entry) - before[0],
            _cpu_s(agent) - before[1],
        )

    async def _run_calls(self, shape: Shape, count: int) -> None:
        for _ in range(count):
            await self._run_call(self.entry_url, shape)

    async def _run_call(self, base_url: str, shape: Shape) -> float:
        body = msgspec.json.encode(
            {
                'model': MODEL,
                'stream': shape.stream,
                'max_tokens': shape.tokens,
                'messages': [{'role': 'user', 'content': 'a quote'}],
            }
        )
        start_s = time.perf_counter()
        async with self.session.post(
            f'{base_url}/v1/chat/completions',
            data=body,
            headers={
                'Authorization': f'Bearer {KEY}',
                'Content-Type': 'application/json',
            },
        ) as resp:
            answer = await resp.read()
        seconds = time.perf_counter() - start_s
        if resp.status != 200 or not _is_whole(answer, shape):
            raise RuntimeError(f'not a whole answer: {answer[:300]!r}')
        return seconds


def _is_whole(answer: bytes, shape: Shape) -> bool:
    if not shape.stream:
        return answer.count(b'#') == shape.tokens
    events = answer.count(b'data: ')
    return events == shape.tokens + 1 and b'[DONE]' in answer


def _manifest() -> dict:
    limits = {
        'requests_per_second': 1e6,
        'tokens_per_second': 1e9,
        'concurrency': 10_000,
    }
    return {
        'name': 'bench',
        'regions': [{'id': 'zapad', 'data_centres': [{'id': 'trnava'}]}],
        'models': [{'id': MODEL}],
        'upstreams': [
            {
                'id': UPSTREAM,
                'host': 'runner-01',
                'data_centre': 'trnava',
                'offers': [{'model': MODEL}],
                'concurrency': 1_000,
            }
        ],
        'workspaces': [
            {
                'id': 'bench',
                'limits': limits,
                'key_hashes': [hashlib.sha256(KEY.encode()).hexdigest()],
            }
        ],
    }


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_RECORDED_US, 3)


def _percentiles_ms(times: histogram.HdrHistogram) -> tuple[float, float]:
    return tuple(
        times.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99)
    )


def _cpu_s(process: psutil.Process) -> float:
    measured = process.cpu_times()
    return measured.user + measured.system


def _show(latencies: list[Latency], costs: list[Cost]) -> None:
    print('one call at a time, ms            direct          through')
    print('                          p50     p99     p50     p99   added p50')
    for item in latencies:
        print(
            f'{item.shape:14} x{item.calls:6} {item.direct_p50:7.2f}'
            f' {item.direct_p99:7.2f} {item.through_p50:7.2f}'
            f' {item.through_p99:7.2f} {item.added_p50:9.2f}'
        )
    print(f'{CALLERS} callers, for each second of one core')
    print('                  entry: calls  tokens    agent: calls  tokens')
    for item in costs:
        calls = item.per_core(item.calls)
        tokens = item.per_core(item.tokens)
        print(
            f'{item.shape:14} x{item.calls:6} {calls[0]:7.0f} {tokens[0]:7.0f}'
            f'         {calls[1]:7.0f} {tokens[1]:7.0f}'
        )


async def main(options: argparse.Namespace) -> None:
    """Run all measurements and print a table or JSON."""
    with tempfile.TemporaryDirectory(prefix='cassiashift-bench-') as folder:
        cluster = Cluster.in_folder(pathlib.Path(folder))
        connector = aiohttp.TCPConnector(limit=0)
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                bench = Bench(cluster, session)
                await bench.start()
                latencies = [
                    await bench.latency(shape, options.calls)
                    for shape in SHAPES
                ]
                costs = [
                    await bench.cost(shape, options.calls) for shape in SHAPES
                ]
        finally:
            await cluster.close()
    if options.json:
        result = {'latencies': latencies, 'costs': costs}
        print(msgspec.json.encode(result).decode())
    else:
        _show(latencies, costs)


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=1_000)
    parser.add_argument('--json', action='store_true')
    uvloop.install()
    asyncio.run(main(parser.parse_args()))
