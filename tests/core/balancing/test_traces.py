"""Tests of the generator and the reader of traces."""

import json

import numpy as np
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.balancing import traces


def line(window, layer, tokens):
    row = {'window': window, 'layer': layer, 'tokens': tokens}
    return json.dumps(row).encode()


def test_drift_has_the_specified_deviation_and_correlation():
    logs = np.log(traces.generate(traces.TraceKind.DRIFT, 3))
    logs -= logs.mean(axis=2, keepdims=True)
    assert_that(abs(logs.std() - 0.8), matchers.LessThan(0.05))
    correlation = (logs[1:] * logs[:-1]).mean() / (logs**2).mean()
    assert_that(abs(correlation - 0.97), matchers.LessThan(0.01))


def test_shift_changes_every_32_windows_and_never_between():
    logs = np.log(traces.generate(traces.TraceKind.SHIFT, 3))
    change = np.abs(np.diff(logs, axis=0)).mean(axis=(1, 2))
    assert_that(
        list(np.flatnonzero(change > 0.3) + 1), matchers.Equals([32, 64])
    )


def test_spike_gives_four_experts_twenty_times_their_share():
    trace = traces.generate(traces.TraceKind.SPIKE, 3)
    median = np.median(trace, axis=2, keepdims=True)
    hot = (trace > 10 * median).sum(axis=2)
    expected = [4 if window % 8 == 7 else 0 for window in range(96)]
    assert_that(list(hot[:, 0]), matchers.Equals(expected))


def test_reader_accepts_lines_in_any_order():
    lines = [line(1, 0, [3, 4]), line(0, 0, [1, 2])]
    trace = traces.read(lines)
    assert_that(trace.tolist(), matchers.Equals([[[1, 2]], [[3, 4]]]))


@pytest.mark.parametrize(
    ('lines', 'invalid_line'),
    [
        ([], 1),
        ([b'{'], 1),
        ([line(0, 0, [1, 2]), b'[]'], 2),
        ([line(0, 0, [1, 2]), line(1, 0, [1, 2, 3])], 2),
        ([line(0, 0, [1, 2]), line(0, 0, [1, 2])], 2),
        ([line(0, 0, [1, -2])], 1),
        ([line(0, 0, [0, 0])], 1),
        ([line(0, 0, [])], 1),
        ([line(-1, 0, [1])], 1),
        ([line(0, 0, ['a'])], 1),
        ([line(0, 0, [1]), line(2, 0, [1])], 2),
        ([line(0, 0, [1]), b'{"window": 1, "x": "\xff"}'], 2),
        ([line(0, 0, [1]), line(0, 1, [1])], 2),
    ],
)
def test_reader_reports_the_number_of_the_invalid_line(lines, invalid_line):
    with pytest.raises(traces.TraceError) as caught:
        traces.read(lines)
    assert_that(caught.value.line, matchers.Equals(invalid_line))
