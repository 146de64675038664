"""Measures the times of commits and of recovery on a disk.

Usage: tools/run python -m tools.bench_commit commits|recovery
       [--folder DIR] [--seconds N] [--sync-delay-ms N]

``commits`` runs three replicas in this process, each with its own thread for
its storage, and compares them with a plain append and sync on the same disk.
"""

import argparse
import collections
from concurrent import futures
import multiprocessing
import os
import pathlib
import queue
import random
import resource
import shutil
import statistics
import tempfile
import time

import attrs
import psutil

from cassiashift_core import consensus
from cassiashift_daemon import storage

PAYLOAD_BYTES = 200
CONCURRENCIES = (1, 10, 100)
LOG_LENGTHS = (1_000, 10_000, 100_000)


class SlowFile(storage.File):
    """A file with slower syncs, as on a disk without a write cache."""

    delay_s = 0.0

    def sync(self) -> None:
        """Sync, then sleep for ``delay_s``."""
        super().sync()
        time.sleep(self.delay_s)


class SlowFiles(storage.FileSystem):
    """A file system that opens slow files."""

    def create(self, path: pathlib.Path) -> storage.File:
        """Open a slow file for writing, emptied."""
        return SlowFile(path.open('wb', buffering=0))

    def append(self, path: pathlib.Path) -> storage.File:
        """Open a slow file for appending."""
        return SlowFile(path.open('ab', buffering=0))


@attrs.define
class LoadResult:
    """Measurements of one run."""

    latencies_s: list[float] = attrs.field(factory=list)
    seconds: float = 0.0
    cpu_s: float = 0.0
    syncs: int = 0
    sent: int = 0


class LocalReplicas:
    """Replicas in one process, with real storage and real time."""

    def __init__(self, folder: pathlib.Path, hosts: str) -> None:
        """Open a folder and start a replica and a thread for each host."""
        self._inbox: collections.deque = collections.deque()
        self._synced: queue.SimpleQueue = queue.SimpleQueue()
        self._storages = {}
        self._replicas = {}
        self._threads = {}
        self._unsynced: dict[str, list[consensus.Persist]] = {}
        self._syncing: set[str] = set()
        self._next_tick = 0.0
        self._start_s_by_token: dict[str, float] = {}
        self._tokens_by_position: dict[tuple[int, int], str] = {}
        self._result = LoadResult()
        for host in hosts:
            opened = storage.Storage.open(
                folder / host, 'bench', host, SlowFiles()
            )
            cfg = consensus.ReplicaConfig(host=host, voters=tuple(hosts))
            self._storages[host] = opened
            self._replicas[host] = consensus.Replica.from_config(
                cfg, opened.load(), random.Random(host)
            )
            self._unsynced[host] = []
            self._threads[host] = futures.ThreadPoolExecutor(1)

    def close(self) -> None:
        """Stop the threads and close the folders."""
        for host, thread in self._threads.items():
            thread.shutdown()
            self._storages[host].close()

    def run_load(
        self, concurrency: int, data: bytes, seconds: float
    ) -> LoadResult:
        """Elect a leader, then keep a number of proposals in progress."""
        leader = self._elect()
        self._result = LoadResult()
        syncs = self._count_syncs()
        cpu_s = time.process_time()
        start = time.monotonic()
        number = 0
        while time.monotonic() < start + seconds:
            while len(self._start_s_by_token) < concurrency:
                number += 1
                token = str(number)
                self._start_s_by_token[token] = time.monotonic()
                self._handle(leader, consensus.Propose(token, data))
            self._run_once()
        self._result.seconds = time.monotonic() - start
        self._result.cpu_s = time.process_time() - cpu_s
        self._result.syncs = self._count_syncs() - syncs
        return self._result

    def _count_syncs(self) -> int:
        return sum(item.syncs for item in self._storages.values())

    def _elect(self) -> str:
        while True:
            self._run_once()
            for host, replica in self._replicas.items():
                if replica.has_lease(time.monotonic()):
                    return host

    def _run_once(self) -> None:
        now = time.monotonic()
        if now >= self._next_tick:
            self._next_tick = now + 0.05
            for host in self._replicas:
                self._handle(host, consensus.Tick())
        for _ in range(len(self._inbox)):
            receiver, event = self._inbox.popleft()
            self._handle(receiver, event)
        for host, unsynced in self._unsynced.items():
            if unsynced and host not in self._syncing:
                self._unsynced[host] = []
                self._syncing.add(host)
                self._threads[host].submit(self._persist, host, unsynced)
        self._handle_next_sync()

    def _persist(self, host: str, changes: list[consensus.Persist]) -> None:
        self._storages[host].persist(changes)
        self._synced.put((host, changes[-1].sequence))

    def _handle_next_sync(self) -> None:
        try:
            wait_s = 0 if self._inbox else 0.01
            host, sequence = self._synced.get(wait_s > 0, wait_s)
        except queue.Empty:
            return
        self._syncing.discard(host)
        self._handle(host, consensus.Synced(sequence))

    def _handle(self, host: str, event: consensus.Event) -> None:
        effects = self._replicas[host].handle(event, time.monotonic())
        for effect in effects:
            match effect:
                case consensus.Send():
                    self._result.sent += 1
                    received = consensus.Received(host, effect.message)
                    self._inbox.append((effect.receiver, received))
                case consensus.Persist():
                    self._unsynced[host].append(effect)
                case consensus.ProposalAppended():
                    self._tokens_by_position[effect.index, effect.term] = (
                        effect.token
                    )
                case consensus.Apply():
                    self._record_latencies(effect)

    def _record_latencies(self, effect: consensus.Apply) -> None:
        now = time.monotonic()
        for entry in effect.entries:
            token = self._tokens_by_position.pop(
                (entry.index, entry.term), None
            )
            if token is not None:
                self._result.latencies_s.append(
                    now - self._start_s_by_token.pop(token)
                )


def main() -> None:
    """Run one of the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('what', choices=sorted(MEASUREMENTS))
    parser.add_argument('--folder', default=None)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--sync-delay-ms', type=float, default=0.0)
    args = parser.parse_args()
    SlowFile.delay_s = args.sync_delay_ms / 1000
    folder = pathlib.Path(tempfile.mkdtemp(dir=args.folder))
    try:
        MEASUREMENTS[args.what](folder, args.seconds)
    finally:
        shutil.rmtree(folder)


def measure_commits(folder: pathlib.Path, seconds: float) -> None:
    """Print rates and latencies of commits relative to a plain append."""
    for concurrency in CONCURRENCIES:
        plain_s = plain_appends(folder / 'plain', seconds / 2)
        replicas = LocalReplicas(folder / f'c{concurrency}', 'abc')
        run = replicas.run_load(concurrency, bytes(PAYLOAD_BYTES), seconds)
        replicas.close()
        rate = len(run.latencies_s) / run.seconds
        median = statistics.median(run.latencies_s)
        p99 = statistics.quantiles(run.latencies_s, n=100)[98]
        print(
            f'concurrency={concurrency} commits_per_s={rate:.0f} '
            f'rate_to_plain={rate * plain_s:.2f} '
            f'p50_to_plain={median / plain_s:.2f} '
            f'p99_to_plain={p99 / plain_s:.2f} '
            f'plain_ms={plain_s * 1000:.3f} '
            f'syncs_per_commit={run.syncs / len(run.latencies_s):.2f} '
            f'messages_per_commit={run.sent / len(run.latencies_s):.2f} '
            f'cpu_us_per_commit={run.cpu_s / len(run.latencies_s) * 1e6:.0f}'
        )


def plain_appends(path: pathlib.Path, seconds: float) -> float:
    """Return the median time of one append with a sync, in seconds."""
    times = []
    handle = SlowFiles().create(path)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        start = time.perf_counter()
        handle.write(bytes(PAYLOAD_BYTES))
        handle.sync()
        times.append(time.perf_counter() - start)
    handle.close()
    return statistics.median(times)


def measure_recovery(folder: pathlib.Path, seconds: float) -> None:
    """Print the time and memory of a recovery by the length of the log."""
    for length in LOG_LENGTHS:
        path = folder / str(length)
        write_log(path, length)
        context = multiprocessing.get_context('spawn')
        results = context.SimpleQueue()
        child = context.Process(target=recover, args=(path, results))
        child.start()
        child.join()
        opened_s, applied_s, grown_bytes, peak = results.get()
        size = sum(item.stat().st_size for item in path.iterdir())
        print(
            f'entries={length} disk_bytes_per_entry={size / length:.0f} '
            f'open_ms={opened_s * 1000:.1f} apply_ms={applied_s * 1000:.1f} '
            f'us_per_entry={(opened_s + applied_s) / length * 1e6:.2f} '
            f'memory_bytes_per_entry={grown_bytes / length:.0f} '
            f'peak_bytes_per_entry={peak / length:.0f}'
        )


def write_log(path: pathlib.Path, length: int) -> None:
    """Write a log of committed entries, persisted 100 at a time."""
    target = storage.Storage.open(path, 'bench', 'a')
    data = bytes(PAYLOAD_BYTES)
    for first in range(1, length + 1, 100):
        entries = tuple(
            consensus.Entry(index, 1, data=data)
            for index in range(first, first + 100)
        )
        hard_state = consensus.HardState(1, 'a', first + 99)
        target.persist([consensus.Persist(1, hard_state, entries)])
    target.close()


def recover(path: pathlib.Path, results) -> None:
    """Recover from a folder; put the times and the memory in results."""
    memory = psutil.Process(os.getpid()).memory_info
    before = memory().rss
    start = time.perf_counter()
    opened = storage.Storage.open(path, 'bench', 'a')
    saved = opened.load()
    opened_s = time.perf_counter() - start
    cfg = consensus.ReplicaConfig(host='a', voters=('a', 'b', 'c'))
    replica = consensus.Replica.from_config(cfg, saved, random.Random(1))
    del saved
    replica.handle(consensus.Tick(), 0.0)
    applied_s = time.perf_counter() - start - opened_s
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    results.put((opened_s, applied_s, memory().rss - before, peak - before))
    opened.close()


MEASUREMENTS = {
    'commits': measure_commits,
    'recovery': measure_recovery,
}


if __name__ == '__main__':
    main()
