"""Measures the memory of the state and times of the time line."""

from collections.abc import Callable
import random
import time
import tracemalloc
from typing import Any

import msgspec

from cassiashift_core import manifest
from cassiashift_core import membership
from cassiashift_core import timeline
from tests.core.membership import builders as members
from tools.slope_series import Series


def heap_series(
    name: str, x: str, sizes: tuple[int, ...], build: Callable[[int], Any]
) -> Series:
    """Return the heap bytes of the result of ``build``, by its size."""
    points = []
    build(sizes[0])
    for size in sizes:
        tracemalloc.start()
        built = build(size)
        points.append((size, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del built
    return Series.fit(name, x, 'heap bytes', points)


def build_entry(rows: int) -> membership.Membership:
    """Return the membership of an entry with a number of agents."""
    cfg = members.config('entry', ())
    entry = membership.Membership.from_config(cfg, random.Random(1))
    for index in range(rows):
        host = f'host-{index:05d}'
        record = membership.Record(
            host=host,
            kind=membership.Kind.AGENT,
            incarnation=1_700_000_000_000 + index,
            address=f'10.1.{index // 250}.{index % 250}:7001',
            upstreams=(members.upstream_of(host),),
        )
        entry.rows.merge(record, 0.0)
    return entry


def build_workspaces(count: int) -> tuple[manifest.Workspace, ...]:
    """Return workspaces with one key and two models each."""
    return tuple(
        manifest.Workspace(
            id=f'workspace-{index:05d}',
            key_hashes=(f'{index:064x}',),
            models=(f'model-{index % 13}', f'model-{index % 11}'),
        )
        for index in range(count)
    )


def build_upstreams(count: int) -> tuple[manifest.Upstream, ...]:
    """Return upstreams with one offer each."""
    return tuple(
        manifest.Upstream(
            id=f'upstream-{index:05d}',
            host=f'host-{index:05d}',
            data_centre=f'data-centre-{index % 29}',
            offers=(manifest.Offer(f'model-{index % 13}'),),
        )
        for index in range(count)
    )


def build_timeline(count: int) -> timeline.Recorder:
    """Return a recorder with a number of events."""
    recorder = timeline.Recorder('host', 'entry', capacity=count)
    for index in range(count):
        recorder.record(
            'send',
            1_700_000_000_000_000 + index,
            request=f'request-{index:08d}',
            workspace=f'workspace-{index % 50}',
            message=f'{index:08d}',
            fields={'to': f'host-{index % 100}'},
        )
    return recorder


def memory_series() -> list[Series]:
    """Measure heap bytes and encoded bytes of the parts of the state."""
    sizes = (500, 1000, 2000, 4000)
    series = [
        heap_series('membership.table', 'rows', sizes, build_entry),
        heap_series('manifest', 'workspaces', sizes, build_workspaces),
        heap_series('manifest', 'upstreams', sizes, build_upstreams),
        heap_series('timeline.ring', 'events', sizes, build_timeline),
    ]
    builders = {'workspaces': build_workspaces, 'upstreams': build_upstreams}
    for name, build in builders.items():
        points = [
            (size, len(msgspec.msgpack.encode(build(size)))) for size in sizes
        ]
        series.append(
            Series.fit('manifest.encoded', name, 'encoded bytes', points)
        )
    return series


def timeline_times() -> list[Series]:
    """Measure the time to record events and to merge eight sources."""
    record_times, merge_times = [], []
    for count in (2000, 4000, 8000):
        start = time.process_time()
        recorder = build_timeline(count)
        record_times.append((count, 1e6 * (time.process_time() - start)))
        parts = [recorder.events()[index::8] for index in range(8)]
        start = time.process_time()
        timeline.as_json_lines(timeline.merge(parts))
        merge_times.append((count, 1e6 * (time.process_time() - start)))
    unit = 'microseconds'
    return [
        Series.fit('timeline.record', 'events', unit, record_times),
        Series.fit('timeline.merge', 'events', unit, merge_times),
    ]
