"""Tests of the measures from which an entry learns its capacity."""

import asyncio
import contextlib

import attrs
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


@attrs.define
class _LateLoop:
    """A loop that runs what is due late, in time that does not pass."""

    late_s: float
    turns: int
    now: float = 0.0

    def get_running_loop(self):
        return self

    def time(self):
        return self.now

    async def sleep(self, delay_s):
        self.turns -= 1
        if self.turns < 0:
            raise asyncio.CancelledError
        self.now += delay_s + self.late_s


@pytest.mark.parametrize(('late_s', 'is_slow'), [(0.1, True), (0.001, False)])
async def test_a_late_loop_marks_the_entry_as_slow(
    monkeypatch, late_s, is_slow
):
    """Guards against callers that are directed to an entry that lags."""
    meter = _meter(LIMITS)
    for _ in range(2):
        loop = _LateLoop(late_s, turns=10)
        monkeypatch.setattr(load_meter, 'asyncio', loop)
        with contextlib.suppress(asyncio.CancelledError):
            await meter.measure_lag_forever()
        meter.record(10)
    assert_that(meter.estimator.is_slow, matchers.Is(is_slow))
    assert_that(meter.estimator.supply.cpu_cores, matchers.Equals(1.0))
    assert_that(meter.estimator.capacity_per_s, matchers.GreaterThan(0.0))
