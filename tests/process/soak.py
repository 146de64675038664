"""Randomized faults on the platform's programs as real processes.

``tools/run python -m tests.process.soak --seeds 50`` plays many seeds; the
tests play a few. Checked all the while, from what callers, operators and the
upstream see: an unsafe request runs once at most, what was refused has not
run, an answer belongs to its request, a read is never older than what was
acknowledged before it, nothing acknowledged is lost, and once all are back the
newest acknowledged configuration is in force at every entry.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

import attrs

from tests.process import platform_site as parts

CALLERS = 6
SETTLE_S = 4.0
# After this long without a fault, changes are in force (`contactMs` of the
# sites that the program is made for).
CONTACT_S = 3.0
# Longer than links wait for a sign of life of their peers.
LONGEST_FREEZE_S = 6.0
# Hosts with a disk that may be lost at once.
TOLERATED = 1
REFUSED = (429, 503)
NOT_FOUND = 404


@attrs.define(eq=False)
class Soak:
    """One run.

    Attributes:
        problems: promises that were broken.
        acknowledged: the highest version that was acknowledged.
    """

    site: parts.Site
    rng: random.Random
    seconds: float
    problems: list[str] = attrs.field(factory=list)
    acknowledged: int = 1
    calls: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)
    _version: int = 1
    _numbers: int = 0
    _routes: list[tuple[str, str]] = attrs.field(factory=list)
    _lost: set[int] = attrs.field(factory=set)

    async def run(self) -> list[str]:
        """Play the run; return the problems."""
        ends_at = time.monotonic() + self.seconds
        work = [self._call_until(ends_at) for _ in range(CALLERS)]
        work += [self._change_until(ends_at), self._read_until(ends_at)]
        work.append(self._hurt_until(ends_at))
        await asyncio.gather(*work)
        await self._settle()
        self._check_calls()
        return self.problems

    async def _call_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            self._numbers += 1
            id_ = f'c{self._numbers}'
            route = self.rng.choice(['read', 'book'])
            entry = self.rng.choice(self.site.entries)
            status, body = await self.site.call(entry, route, id_)
            self.calls[id_] = (route, status)
            if status == 200 and body != id_.encode():
                self.problems.append(f'{id_} got the answer {body!r}')
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _change_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            self._version += self.rng.randint(1, 3)
            self._routes.append((f'v{self._version}', 'safe'))
            config = parts.document(self._version, *self._routes)
            for _ in range(self.rng.randint(1, 3)):
                entry = self.rng.choice(self.site.entries)
                status = await self.site.put(entry, config)
                if status == 200:
                    self.acknowledged = max(self.acknowledged, self._version)
                elif status in (400, 409):
                    self.problems.append(f'{self._version} got {status}')
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    async def _read_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            known = self.acknowledged
            entry = self.rng.choice(self.site.entries)
            found = await self.site.get(entry)
            if found is not None and found < known:
                self.problems.append(f'{found} read after {known}')
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def _hurt_until(self, ends_at: float) -> None:
        running = []
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))
            entry = self.rng.choice(self.site.entries)
            fault = self.rng.choice(
                [self._kill, self._freeze, self._stop, self._reload]
            )
            if not self._may_lose(entry):
                continue
            self.faults.append(f'{fault.__name__} {entry.number}')
            running.append(asyncio.ensure_future(self._lose(entry, fault)))
        await asyncio.gather(*running)

    def _may_lose(self, entry: parts.Entry) -> bool:
        if entry.number in self._lost:
            return False
        disks = [
            item
            for item in self.site.entries
            if item.has_disk and item.number in self._lost
        ]
        return not entry.has_disk or len(disks) < TOLERATED

    async def _lose(self, entry: parts.Entry, fault) -> None:
        self._lost.add(entry.number)
        await fault(entry)
        if entry.has_disk:
            await asyncio.sleep(SETTLE_S)
        self._lost.discard(entry.number)

    async def _kill(self, entry: parts.Entry) -> None:
        entry.kill()
        await asyncio.sleep(self.rng.uniform(0.1, 2.0))
        entry.start()

    async def _freeze(self, entry: parts.Entry) -> None:
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, LONGEST_FREEZE_S))
        entry.signal(signal.SIGCONT)

    async def _stop(self, entry: parts.Entry) -> None:
        entry.signal(signal.SIGTERM)
        await asyncio.to_thread(entry.process.wait, 12)
        entry.start()

    async def _reload(self, entry: parts.Entry) -> None:
        entry.signal(signal.SIGHUP)

    async def _settle(self) -> None:
        for entry in self.site.entries:
            await self.site.until(self.site.is_ready, entry)
            found = await self.site.until(self.site.get, entry)
            if found < self.acknowledged:
                self.problems.append(
                    f'{found} at the end, {self.acknowledged} acknowledged'
                )
        await self._check_in_force()

    async def _check_in_force(self) -> None:
        await asyncio.sleep(CONTACT_S)
        route = f'v{self.acknowledged}'
        for entry in self.site.entries:
            status, _ = await self.site.call(
                entry, route, f'end{entry.number}'
            )
            if status == NOT_FOUND and self._routes:
                self.problems.append(f'{entry.ip} does not know {route}')

    def _check_calls(self) -> None:
        ran = self.site.upstream.ran
        for id_, (route, status) in self.calls.items():
            times = ran.get(id_, 0)
            if route == 'book' and times > 1:
                self.problems.append(f'{id_} ran {times} times')
            if status in REFUSED and times:
                self.problems.append(f'{id_} got {status} and has run')
        if not any(status == 200 for _, status in self.calls.values()):
            self.problems.append('no call was served')


async def play(
    folder: pathlib.Path, base: str, seed: int, seconds: float
) -> Soak:
    """Play one seed in a folder that keeps the logs."""
    async with parts.site(folder, base) as site:
        await site.put_until_acknowledged(site.entries[0], parts.document(1))
        for entry in site.entries:
            await site.until(site.is_ready, entry)
        soak = Soak(site, random.Random(seed), seconds)
        await soak.run()
        return soak


def main() -> int:
    """Play seeds; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12.0)
    args = parser.parse_args()
    broken = 0
    for seed in range(args.first, args.first + args.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        soak = asyncio.run(play(folder, '127.70.0', seed, args.seconds))
        broken += bool(soak.problems)
        served = sum(status == 200 for _, status in soak.calls.values())
        print(
            f'seed {seed}: {len(soak.calls)} calls, {served} served, '
            f'version {soak.acknowledged}, {len(soak.faults)} faults, '
            f'problems {soak.problems[:5]}'
            + (f', logs in {folder}' if soak.problems else ''),
            flush=True,
        )
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
