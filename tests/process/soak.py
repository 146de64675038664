"""Random faults injected into the platform's programs as real processes.

``tools/run python -m tests.process.soak --seeds 50`` runs many seeds; the
tests run a few. These properties are checked from what callers, operators and
the upstream see: an unsafe request runs at most once; a refused request has
not run; a response belongs to its request; a read returns no older version
than the last one acknowledged before it; no acknowledged version is lost; an
upstream that asks for a pause gets two requests of each entry at most, half a
second later; one whose answers say that it leaves gets none two seconds
later, but one for each other fault after that, and what an entry that was
frozen sends; and once all processes run again, the newest acknowledged
configuration is in force at every entry.
"""

import argparse
import asyncio
import math
import pathlib
import random
import signal
import sys
import tempfile
import time

import attrs

from tests.process import platform_site

CALLERS = 6
DISK_RECOVERY_S = 4.0
# Without faults, a change is in force after this time (`contactMs` of the
# sites that the program is made for).
IN_FORCE_AFTER_S = 3.0
# Longer than the heartbeat timeout of links.
MAX_FREEZE_S = 6.0
# Time for which an entry that was frozen is not in touch (`contactMs`).
CONTACT_S = 3.0
# Entries with a disk that may be faulty at the same time.
MAX_FAULTY_DISKS = 1
# A pause that the upstream asks for, and the requests that an entry, or a new
# start of one, may still send after the first part of it.
PAUSE_S = 1.5
PAUSE_NOTICED_S = 0.5
REQUESTS_IN_PAUSE = 2
# Time for which the upstream leaves before it starts again, and time after
# which no entry sends to it (`drainTimeoutMs` of the sites).
LEAVE_S = 3.0
LEAVE_NOTICED_S = 2.0
REFUSED_STATUSES = (429, 503)
STATUS_NOT_FOUND = 404


@attrs.define(eq=False)
class Freeze:
    """An entry that does not run for some time; it may last still."""

    entry: int
    began_at: float
    ended_at: float = math.inf

    def explains(self, entry: int, at: float) -> bool:
        """Return whether an entry that was frozen isn't in touch at a time."""
        ends_at = self.ended_at + CONTACT_S
        return entry == self.entry and self.began_at <= at <= ends_at


@attrs.define(eq=False)
class Soak:
    """One run of a seed.

    Attributes:
        problems: descriptions of the violated properties.
        acknowledged: the highest version that was acknowledged.
        calls: route and status by request id.
        faults: the injected faults.
        entry_of: number of the entry that each request was sent to.
        freezes: the injected freezes.
    """

    site: platform_site.Site
    rng: random.Random
    seconds: float
    problems: list[str] = attrs.field(factory=list)
    acknowledged: int = 1
    calls: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)
    entry_of: dict[str, int] = attrs.field(factory=dict)
    freezes: list[Freeze] = attrs.field(factory=list)
    _newest_version: int = 1
    _call_count: int = 0
    _routes: list[tuple[str, str]] = attrs.field(factory=list)
    _faulty: set[int] = attrs.field(factory=set)

    async def run(self) -> list[str]:
        """Run the load and the faults; return the problems."""
        ends_at = time.monotonic() + self.seconds
        tasks = [self._call_until(ends_at) for _ in range(CALLERS)]
        tasks += [self._change_until(ends_at), self._read_until(ends_at)]
        tasks += [
            self._inject_faults_until(ends_at),
            self._pause_until(ends_at),
            self._leave_until(ends_at),
        ]
        await asyncio.gather(*tasks)
        await self._settle()
        self._check_calls()
        return self.problems

    async def _call_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            self._call_count += 1
            request_id = f'c{self._call_count}'
            route = self.rng.choice(['read', 'book'])
            entry = self.rng.choice(self.site.entries)
            self.entry_of[request_id] = entry.number
            status, body = await self.site.call(entry, route, request_id)
            self.calls[request_id] = (route, status)
            if status == 200 and body != request_id.encode():
                self.problems.append(f'{request_id} got the response {body!r}')
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _change_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            self._newest_version += self.rng.randint(1, 3)
            self._routes.append((f'v{self._newest_version}', 'safe'))
            config = platform_site.document(
                self._newest_version, *self._routes
            )
            for _ in range(self.rng.randint(1, 3)):
                entry = self.rng.choice(self.site.entries)
                status = await self.site.put(entry, config)
                if status == 200:
                    self.acknowledged = max(
                        self.acknowledged, self._newest_version
                    )
                elif status in (400, 409):
                    self.problems.append(
                        f'{self._newest_version} got {status}'
                    )
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    async def _read_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            acknowledged = self.acknowledged
            entry = self.rng.choice(self.site.entries)
            version = await self.site.get(entry)
            if version is not None and version < acknowledged:
                self.problems.append(f'{version} read after {acknowledged}')
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def _inject_faults_until(self, ends_at: float) -> None:
        injections = []
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            entry = self.rng.choice(self.site.entries)
            fault = self.rng.choice(
                [self._kill, self._freeze, self._stop, self._reload]
            )
            if not self._may_inject(entry):
                continue
            self.faults.append(f'{fault.__name__} {entry.number}')
            injections.append(
                asyncio.ensure_future(self._inject_fault(entry, fault))
            )
        await asyncio.gather(*injections)

    async def _pause_until(self, ends_at: float) -> None:
        upstream = self.site.upstream
        while time.monotonic() < ends_at - 2 * PAUSE_S:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            started = time.monotonic()
            faults = len(self.faults)
            upstream.pause_ends_at = started + PAUSE_S
            await asyncio.sleep(PAUSE_S)
            # An entry that had no request before is refused later.
            late = [
                at
                for at in upstream.refused_at
                if at > started + 2 * PAUSE_NOTICED_S
            ]
            upstream.refused_at.clear()
            starts = len(self.site.entries) + len(self.faults) - faults
            if len(late) > REQUESTS_IN_PAUSE * starts:
                self.problems.append(f'{len(late)} requests in a pause')

    async def _leave_until(self, ends_at: float) -> None:
        upstream = self.site.upstream
        while time.monotonic() < ends_at - 2 * LEAVE_S:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            started = time.monotonic()
            faults = len(self.faults)
            upstream.is_leaving = True
            await asyncio.sleep(LEAVE_S)
            arrived = [at for at in upstream.arrived_at if at >= started]
            # A pause may have kept requests, and so its answers, away.
            told_at = min(arrived, default=started)
            late = self._late_requests(told_at + LEAVE_NOTICED_S)
            others = [
                fault
                for fault in self.faults[faults:]
                if not fault.startswith(self._freeze.__name__)
            ]
            if len(late) > len(others):
                self.problems.append(f'{len(late)} requests while it leaves')
            upstream.born += 1
            upstream.is_leaving = False

    def _late_requests(self, since: float) -> list[str]:
        """Return the later requests of entries that were not frozen."""
        upstream = self.site.upstream
        arrivals = zip(upstream.arrived_at, upstream.arrived_ids, strict=True)
        return [
            id_
            for at, id_ in arrivals
            if at > since
            and not any(
                freeze.explains(self.entry_of[id_], at)
                for freeze in self.freezes
            )
        ]

    def _may_inject(self, entry: platform_site.Entry) -> bool:
        if entry.number in self._faulty:
            return False
        disks = [
            item
            for item in self.site.entries
            if item.has_disk and item.number in self._faulty
        ]
        return not entry.has_disk or len(disks) < MAX_FAULTY_DISKS

    async def _inject_fault(self, entry: platform_site.Entry, fault) -> None:
        self._faulty.add(entry.number)
        await fault(entry)
        if entry.has_disk:
            await asyncio.sleep(DISK_RECOVERY_S)
        self._faulty.discard(entry.number)

    async def _kill(self, entry: platform_site.Entry) -> None:
        entry.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        entry.start()

    async def _freeze(self, entry: platform_site.Entry) -> None:
        freeze = Freeze(entry.number, time.monotonic())
        self.freezes.append(freeze)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, MAX_FREEZE_S))
        entry.signal(signal.SIGCONT)
        freeze.ended_at = time.monotonic()

    async def _stop(self, entry: platform_site.Entry) -> None:
        entry.signal(signal.SIGTERM)
        await asyncio.to_thread(entry.process.wait, 12)
        entry.start()

    async def _reload(self, entry: platform_site.Entry) -> None:
        entry.signal(signal.SIGHUP)

    async def _settle(self) -> None:
        for entry in self.site.entries:
            await self.site.wait_until(self.site.is_ready, entry)
            version = await self.site.wait_until(self.site.get, entry)
            if version < self.acknowledged:
                self.problems.append(
                    f'{version} at the end, {self.acknowledged} acknowledged'
                )
        await self._check_in_force()

    async def _check_in_force(self) -> None:
        await asyncio.sleep(IN_FORCE_AFTER_S)
        route = f'v{self.acknowledged}'
        for entry in self.site.entries:
            status, _ = await self.site.call(
                entry, route, f'end{entry.number}'
            )
            if status == STATUS_NOT_FOUND and self._routes:
                self.problems.append(f'{entry.ip} does not know {route}')

    def _check_calls(self) -> None:
        run_counts = self.site.upstream.ran
        for request_id, (route, status) in self.calls.items():
            run_count = run_counts.get(request_id, 0)
            if route == 'book' and run_count > 1:
                self.problems.append(f'{request_id} ran {run_count} times')
            if status in REFUSED_STATUSES and run_count:
                self.problems.append(f'{request_id} got {status} and has run')
        if not any(status == 200 for _, status in self.calls.values()):
            self.problems.append('no call was served')


async def run_seed(
    folder: pathlib.Path, base: str, seed: int, seconds: float
) -> Soak:
    """Run one seed for some seconds; the folder keeps the logs."""
    async with platform_site.site(folder, base) as site:
        await site.put_until_acknowledged(
            site.entries[0], platform_site.document(1)
        )
        for entry in site.entries:
            await site.wait_until(site.is_ready, entry)
        soak = Soak(site, random.Random(seed), seconds)
        await soak.run()
        return soak


def main() -> int:
    """Run the seeds; return 1 if one of them has problems."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12.0)
    args = parser.parse_args()
    failed_seeds = 0
    for seed in range(args.first, args.first + args.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        soak = asyncio.run(run_seed(folder, '127.70.0', seed, args.seconds))
        failed_seeds += bool(soak.problems)
        served = sum(status == 200 for _, status in soak.calls.values())
        print(
            f'seed {seed}: {len(soak.calls)} calls, {served} served, '
            f'version {soak.acknowledged}, {len(soak.faults)} faults, '
            f'problems {soak.problems[:5]}'
            + (f', logs in {folder}' if soak.problems else ''),
            flush=True,
        )
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
