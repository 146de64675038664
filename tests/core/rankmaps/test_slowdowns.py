"""Tests of which ranks count as slow."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps


@pytest.mark.parametrize(
    ('reports', 'expected'),
    [
        ([[1.0, 4.0]], (('h1', 4.0),)),
        ([[4.0, 4.0, 4.0]], ()),
        ([[1.0, 1.24, float('nan')]], ()),
        ([[1e-300, 1e300, 1e-300]], (('h1', 100.0),)),
        ([[4.0]], ()),
        # Noise, which could cause a switch with each report.
        ([[1.0, 4.0], [1.0, 4.9], [1.0, 3.3]], (('h1', 4.0),)),
        ([[1.0, 1.3], [1.0, 1.09]], ()),
        # A rank whose agent is silent for 4 and for 8 s.
        ([[1.0, 1.0, 4.0], [1.0, 1.0]], (('h2', 4.0),)),
        ([[1.0, 1.0, 4.0], [1.0, 1.0], [1.0, 1.0]], ()),
    ],
)
def test_only_clear_differences_to_the_median_count(reports, expected):
    slow_ranks = rankmaps.SlowRanks()
    for number, slowdowns in enumerate(reports):
        for rank, slowdown in enumerate(slowdowns):
            slow_ranks.record(f'h{rank}', slowdown, 4.0 * number)
        slow_ranks.update(3, 4.0 * number)
    assert_that(slow_ranks.rows(), matchers.Equals(expected))
