"""Tests of the measures from which an entry learns its capacity."""

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import buffers
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import load_meter

LIMITS = config.HostLimits(cpu_cores=2.0, cpu_share=0.5, memory_mb=200)


def _meter(limits):
    counts = buffers.Ledger(buffers.BufferLimits.from_memory(200))
    return load_meter.LoadMeter.from_config(limits, counts)


def test_nothing_is_stated_without_a_processor_share():
    """Guards deployments whose settings state no processor share."""
    meter = _meter(config.HostLimits(memory_mb=200))
    meter.record(100)
    assert_that(meter.is_enabled, matchers.Is(False))
    assert_that(meter.estimator.capacity_per_s, matchers.Equals(0.0))


@pytest.fixture
async def meter():
    """Return a meter that measures the delays of the running loop."""
    meter = _meter(LIMITS)
    task = asyncio.ensure_future(meter.measure_lag_forever())
    yield meter
    task.cancel()


async def test_a_blocked_loop_marks_the_entry_as_slow(meter):
    for _ in range(2):
        await asyncio.sleep(0)
        for _ in range(3):
            await asyncio.sleep(0.051)
            time.sleep(0.1)  # noqa: ASYNC251
        meter.record(10)
    assert_that(meter.estimator.is_slow, matchers.Is(True))
    assert_that(meter.estimator.supply.cpu_cores, matchers.Equals(1.0))
    assert_that(meter.estimator.capacity_per_s, matchers.GreaterThan(0.0))
