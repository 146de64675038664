"""Planned stops of entries as real processes, under callers that stay.

``tools/run python -m tests.process.stop_soak --seeds 50`` runs many seeds; a
test runs two. Entries are stopped in series and at once, while callers go on
using their connections until the process is gone, some of them with two
requests at a time. Further stop signals, SIGHUP, configurations and
evacuations come meanwhile; an entry that is still there at the end of its
grace period is killed, and all are started again, some to be stopped before
they are ready. Checked are, beside what ``stop_checks`` states: a process ends
by itself, with status 0, unless it has requests to answer; it isn't ready 4 s
after the SIGTERM; the newest acknowledged configuration is in force at the
end; and upstreams of a zone whose evacuation was acknowledged get no requests.
"""

import argparse
import asyncio
import collections
import contextlib
import itertools
import math
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import attrs

from tests.process import platform_site
from tests.process import stop_callers
from tests.process import stop_checks
from tests.process import stop_plans
from tests.process import stop_upstreams
from tools.cluster import addresses

NOT_READY_AFTER_S = 4.0
IN_FORCE_AFTER_S = 3.0
EVACUATED_AFTER_S = 5.0
# Most time from the line of its end to a request that crosses the end.
ENDING_S = 0.08
PIPELINED_SHARE = 0.1
WAITS_EVERY_S = 0.05
# A process without requests for this long before the end of its grace period
# should have ended.
IDLE_S = 1.0
START_S = 60.0
WARM_UP_S = 3.0


@attrs.define(eq=False)
class StopSoak:
    """One run of a plan.

    Attributes:
        problems: descriptions by kind.
        calls: all requests that were sent.
        outcomes: these with their runs and stops, after the end.
        acknowledged: the highest version that was acknowledged.
        lags: end and length of the delays of this process itself.
        waits: times and seconds by entry for which it has waited for a
            processor since its start.
        evacuated: spans in which the acknowledged evacuation is in force.
    """

    site: platform_site.Site
    upstreams: list[stop_upstreams.Upstream]
    plan: stop_plans.Plan
    rng: random.Random
    problems: dict[str, list[str]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    calls: list[stop_callers.Call] = attrs.field(factory=list)
    outcomes: list[stop_checks.Outcome] = attrs.field(factory=list)
    acknowledged: int = 1
    lags: list[tuple[float, float]] = attrs.field(factory=list)
    waits: dict[int, list[tuple[float, float]]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    evacuated: list[tuple[float, float]] = attrs.field(factory=list)
    _newest: int = 1
    _is_over: bool = False
    _call_count: int = 0
    _open_calls: collections.Counter = attrs.field(factory=collections.Counter)
    _busy_at: dict[int, float] = attrs.field(factory=dict)

    async def run(self):
        """Run the plan and check what was seen."""
        count = 20 + len(self.site.entries)
        tasks = [
            asyncio.ensure_future(item)
            for item in [
                *(self._call_forever(n % 8 == 0) for n in range(count)),
                self._change_forever(),
                self._evacuate_forever(),
                self._hang_up_forever(),
                self._measure_lag_forever(),
                self._measure_waits_forever(),
            ]
        ]
        idle = [
            asyncio.ensure_future(self._call_late(stop))
            for stop in self.plan.stops
            for _ in range(self.plan.idle_callers)
        ]
        idle += [
            asyncio.ensure_future(self._call_long(stop))
            for stop in self.plan.stops
            if stop.is_long
            for _ in range(2)
        ]
        await asyncio.sleep(WARM_UP_S)
        stops = list(self.plan.stops)
        await asyncio.gather(*(self._stop(stop) for stop in stops))
        self._is_over = True
        # Their last requests end by themselves.
        await asyncio.gather(*tasks, *idle)
        self._check_calls()
        self._check_evacuations()
        await self._check_configuration()

    def report(self, seed):
        """Return one line on the run."""
        plan = self.plan
        late = [item for item in self.outcomes if item.stop is not None]
        refused = sum(item.is_refused() for item in late)
        served = sum(call.status == 200 for call in self.calls)
        lag_s = max(lag_s for _, lag_s in self.lags)
        kinds = {kind: len(items) for kind, items in self.problems.items()}
        return (
            f'seed {seed}: {plan.entries} entries, {len(plan.stops)} stops, '
            f'{"heavy tail" if plan.is_heavy else "log-normal"}, '
            f'slowdown {plan.slowdown:g}, {plan.slots} slots, '
            f'{len(self.evacuated)} evacuations, '
            f'{len(self.calls)} calls, {served} served, {len(late)} around '
            f'stops, {refused} of these refused, lag {lag_s:.2f} s, '
            f'load {os.getloadavg()[0]:.1f}, problems {kinds}'
        )

    def _new_call(self, entry, is_slow):
        rng = self.rng
        manners = ['PLAIN'] * 7 + ['CHUNKED', 'SLOW_BODY', 'LEAVER']
        manner = getattr(stop_callers, rng.choice(manners))
        if is_slow:
            manner = stop_callers.SLOW_READER
        route = rng.choice(list(stop_plans.ROUTES))
        deadline_s = rng.randint(2000, 8000) / 1000
        self._call_count += 1
        return stop_callers.Call(
            id=f'c{self._call_count}',
            route=route,
            entry=entry.number,
            work_s=self.plan.draw_work_s(rng),
            deadline_s=deadline_s,
            limit_s=min(deadline_s, self.plan.timeouts_s[route]),
            manner=manner,
            size=800_000 if is_slow else 400,
            leaves_after_s=rng.uniform(0.05, 1.0),
        )

    async def _send(self, connection, call=None):
        calls = [call]
        if call is None:
            call = self._new_call(connection.entry, connection.is_slow)
            calls = [call]
            is_left = call.manner == stop_callers.LEAVER
            if not is_left and self.rng.random() < PIPELINED_SHARE:
                second = self._new_call(connection.entry, connection.is_slow)
                second.manner = stop_callers.PLAIN
                calls.append(second)
        self._open_calls[call.entry] += 1
        try:
            await connection.send(*calls)
        finally:
            self._open_calls[call.entry] -= 1
            self._busy_at[call.entry] = time.monotonic()
        self.calls += calls

    async def _call_forever(self, is_slow):
        await asyncio.sleep(self.rng.uniform(0.0, WARM_UP_S / 2))
        while not self._is_over:
            # Callers that ask the directory don't learn of stopping entries.
            running = [
                entry
                for entry in self.site.entries
                if self.rng.random() < 0.1 or not self._is_stopping(entry)
            ]
            with contextlib.suppress(OSError):
                entry = self.rng.choice(running or self.site.entries)
                async with stop_callers.Connection.open(
                    entry, is_slow
                ) as connection:
                    while connection.is_usable() and not self._is_over:
                        await self._send(connection)
                        await asyncio.sleep(self.rng.uniform(0.0, 0.4))
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def _call_late(self, stop):
        entry = self.site.entries[stop.number - 1]
        started = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.0, WARM_UP_S / 2))
        with contextlib.suppress(OSError):
            async with stop_callers.Connection.open(entry) as connection:
                if self.rng.random() < 0.8:
                    await self._send(connection)
                wait_s = WARM_UP_S + stop.at_s - (time.monotonic() - started)
                wait_s += self.rng.uniform(0.0, stop_plans.GRACE_S)
                if self.rng.random() < 0.3:
                    # Sent as the process ends.
                    await stop.ending.wait()
                    wait_s = self.rng.uniform(0.0, ENDING_S)
                await asyncio.sleep(wait_s)
                while connection.is_usable():
                    await self._send(connection)
                    await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def _call_long(self, stop):
        """Keep an entry busy from about its SIGTERM to the kill."""
        entry = self.site.entries[stop.number - 1]
        await asyncio.sleep(WARM_UP_S + stop.at_s + self.rng.uniform(-0.5, 2))
        timeouts_s = self.plan.timeouts_s
        route = max(timeouts_s, key=timeouts_s.get)
        with contextlib.suppress(OSError):
            async with stop_callers.Connection.open(entry) as connection:
                while connection.is_usable() and not self._is_over:
                    call = self._new_call(entry, False)
                    call.route = route
                    call.manner = stop_callers.PLAIN
                    call.work_s = call.deadline_s = stop_plans.GRACE_S
                    call.limit_s = min(stop_plans.GRACE_S, timeouts_s[route])
                    await self._send(connection, call)

    async def _watch_ending(self, stop):
        """Note the line that the process ends."""
        entry = self.site.entries[stop.number - 1]
        with entry.log_path.open('rb') as log:
            log.seek(0, os.SEEK_END)
            text = b''
            while b'event=stopped' not in text:
                await asyncio.sleep(0.001)
                text = text[-20:] + log.read()
        stop.ending.set()

    def _is_stopping(self, entry):
        return any(
            stop.number == entry.number
            and stop.sigterm_at < math.inf
            and stop.ended_at == math.inf
            for stop in self.plan.stops
        )

    async def _stop(self, stop):
        entry = self.site.entries[stop.number - 1]
        await asyncio.sleep(stop.at_s)
        watch = asyncio.ensure_future(self._watch_ending(stop))
        await asyncio.sleep(0)
        statuses = [0]
        if not await entry.handles_signal(signal.SIGTERM):
            statuses.append(-signal.SIGTERM)
        entry.signal(signal.SIGTERM)
        stop.sigterm_at = time.monotonic()
        for upstream in self.upstreams:
            upstream.slowdown = self.plan.slowdown
        signals = asyncio.ensure_future(self._send_signals(stop, entry))
        readiness = asyncio.ensure_future(self._check_readiness(stop, entry))
        while entry.process.poll() is None:
            if time.monotonic() >= stop.sigterm_at + stop_plans.GRACE_S:
                self._check_is_busy(stop)
                entry.kill()
                break
            await asyncio.sleep(0.005)
        else:
            if entry.process.returncode not in statuses:
                self._note('end', f'status {entry.process.returncode}', stop)
        stop.ended_at = time.monotonic()
        for task in (watch, signals, readiness):
            task.cancel()
        await asyncio.gather(watch, signals, readiness, return_exceptions=True)
        stop.ending.set()
        await asyncio.sleep(stop.restart_after_s)
        entry.start()
        if stop.again_after_s is not None:
            await asyncio.sleep(stop.again_after_s)
            again = stop.again()
            self.plan.stops.append(again)
            await self._stop(again)
            return
        started = time.monotonic()
        while not await self.site.is_ready(entry):
            if time.monotonic() > started + platform_site.TIMEOUT_S:
                self._note('start', 'is not ready after its restart', stop)
                return
            await asyncio.sleep(0.05)

    async def _send_signals(self, stop, entry):
        for at_s, number in stop.signals:
            await asyncio.sleep(stop.sigterm_at + at_s - time.monotonic())
            entry.signal(number)

    async def _check_readiness(self, stop, entry):
        await asyncio.sleep(NOT_READY_AFTER_S)
        while True:
            if await self.site.is_ready(entry):
                self._note('ready', 'is ready late', stop)
            await asyncio.sleep(0.5)

    def _check_is_busy(self, stop):
        idle_s = time.monotonic() - self._busy_at.get(stop.number, 0.0)
        if not self._open_calls[stop.number] and idle_s > IDLE_S:
            self._note('end', f'idle for {idle_s:.1f} s, not ended', stop)

    async def _change_forever(self):
        while not self._is_over:
            self._newest += self.rng.randint(1, 3)
            entry = self.rng.choice(self.site.entries)
            config = self.plan.document(self._newest, f'v{self._newest}')
            status = await self.site.put(entry, config)
            if status == 200:
                self.acknowledged = max(self.acknowledged, self._newest)
            elif status in (400, 409):
                self._note('configuration', f'{self._newest} got {status}')
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))

    async def _evacuate_forever(self):
        action = 'start'
        while self.plan.has_evacuations and not self._is_over:
            await asyncio.sleep(self.rng.uniform(0.3, 8.0))
            entry = self.rng.choice(self.site.entries)
            if action == 'end' and self.evacuated[-1][1] == math.inf:
                self.evacuated[-1] = self.evacuated[-1][0], time.monotonic()
            status = await self.site.evacuate(
                entry, stop_plans.EVACUATED, action
            )
            if status not in (0, 200, 409, 503):
                self._note('evacuation', f'{action} got {status}')
            if status != 200:
                continue
            if action == 'start':
                from_ = time.monotonic() + EVACUATED_AFTER_S
                self.evacuated.append((from_, math.inf))
            action = 'end' if action == 'start' else 'start'

    async def _hang_up_forever(self):
        mean_s = self.plan.hang_up_every_s
        while not self._is_over:
            await asyncio.sleep(self.rng.expovariate(1 / mean_s))
            entry = self.rng.choice(self.site.entries)
            if entry.process.poll() is None and await entry.handles_signal(
                signal.SIGHUP
            ):
                entry.signal(signal.SIGHUP)

    async def _measure_lag_forever(self):
        while not self._is_over:
            started = time.monotonic()
            await asyncio.sleep(0.01)
            now = time.monotonic()
            self.lags.append((now, now - started - 0.01))

    async def _measure_waits_forever(self):
        while not self._is_over:
            for entry in self.site.entries:
                self.waits[entry.number].append(
                    (time.monotonic(), entry.waited_s())
                )
            await asyncio.sleep(WAITS_EVERY_S)

    def _waited_s(self, number, since, until):
        """Return how long an entry waited for a processor in a span."""
        return sum(
            max(0.0, later - sooner)
            for (_, sooner), (at, later) in itertools.pairwise(
                self.waits[number]
            )
            if since < at < until + WAITS_EVERY_S
        )

    async def _check_configuration(self):
        await asyncio.sleep(IN_FORCE_AFTER_S)
        for entry in self.site.entries:
            version = 0
            with contextlib.suppress(AssertionError):
                version = await self.site.wait_until(self.site.get, entry)
            # A change without an acknowledgement may have overtaken it.
            route = f'v{version}'
            status, _ = await self.site.call(entry, route, f'e{entry.number}')
            is_known = version == 1 or status != 404
            if version < self.acknowledged or not is_known:
                self._note(
                    'configuration',
                    f'{version} at entry {entry.number}, not '
                    f'{self.acknowledged}; {route} got {status}',
                )

    def _check_calls(self):
        self.outcomes = [self._outcome(call) for call in self.calls]
        for item in self.outcomes:
            for kind in item.problems():
                self._note(kind, str(item))
        for item in stop_checks.late_outcomes(self.outcomes):
            self._note('late', str(item))
        if not any(item.stop for item in self.outcomes):
            self._note('no calls', 'none was sent to an entry that stopped')
        if not any(call.status == 200 for call in self.calls):
            self._note('no calls', 'none was served')

    def _check_evacuations(self):
        for upstream in self.upstreams:
            if upstream.zone != stop_plans.EVACUATED:
                continue
            for id_, runs in upstream.ran.items():
                for run in runs:
                    if any(a < run.started_at < b for a, b in self.evacuated):
                        self._note('evacuation', f'{id_} ran there')

    def _outcome(self, call):
        runs = [
            run
            for upstream in self.upstreams
            for run in upstream.ran.get(call.id, [])
        ]
        stops = [
            stop
            for stop in self.plan.stops
            if stop.number == call.entry
            and call.ended_at >= stop.sigterm_at
            and call.sent_from <= stop.ended_at
        ]
        sent_at = math.inf if call.sent_at is None else call.sent_at
        own_delay_s = sum(
            lag_s
            for at, lag_s in self.lags
            if sent_at < at < call.ended_at + lag_s
        )
        stop = stops[0] if stops else None
        waited_s = self._waited_s(call.entry, call.sent_from, call.ended_at)
        return stop_checks.Outcome(call, runs, stop, own_delay_s, waited_s)

    def _note(self, kind, text, stop=None):
        if stop is not None:
            text = f'entry {stop.number} signals {stop.signals}: {text}'
        self.problems[kind].append(text)


async def run_seed(folder, base, seed, max_entries=24):
    """Run one seed; the folder keeps the logs and the problems."""
    plan = stop_plans.Plan.from_seed(seed, max_entries)
    async with contextlib.AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            platform_site.site(
                folder,
                base,
                without=plan.entries - stop_plans.VOTERS,
                upstream_class=stop_upstreams.Upstream,
            )
        )
        services = {99: 'desk', 98: 'desk', 97: 'talks', 96: 'talks'}
        others = [
            stop_upstreams.Upstream(
                f'{base}.{number}:18300',
                service,
                'west' if number % 2 == 0 else 'east',
            )
            for number, service in services.items()
            if number != 99
        ]
        await stack.enter_async_context(
            stop_upstreams.serve(others, site.session, site.entries)
        )
        upstreams = [site.upstream, *others]
        for upstream in upstreams:
            upstream.slots = plan.slots
        first = site.entries[0]
        async with asyncio.timeout(START_S):
            while await site.put(first, plan.document(1)) != 200:
                await asyncio.sleep(0.05)
            for entry in site.entries:
                while not await site.is_ready(entry):
                    await asyncio.sleep(0.05)
        soak = StopSoak(site, upstreams, plan, random.Random(seed))
        await soak.run()
    lines = [
        f'{kind}: {text}'
        for kind, texts in soak.problems.items()
        for text in texts
    ]
    (folder / 'problems.txt').write_text('\n'.join(lines))
    return soak


def main():
    """Run the seeds; return 1 if one of them has problems."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--max-entries', type=int, default=24)
    args = parser.parse_args()
    # Shells start background commands with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    base = addresses.Addresses.for_this_process().prefix
    failed_seeds = 0
    for seed in range(args.first, args.first + args.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'stop-soak-{seed}-'))
        soak = asyncio.run(run_seed(folder, base, seed, args.max_entries))
        failed_seeds += bool(soak.problems)
        line = soak.report(seed)
        if soak.problems:
            line += f', logs in {folder}'
        else:
            shutil.rmtree(folder)
        print(line, flush=True)
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
