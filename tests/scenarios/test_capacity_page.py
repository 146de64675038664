"""Tests that the capacity page is made from the measured slopes."""

import copy

from testtools.assertions import assert_that
from testtools import matchers

from tools import capacity


def test_page_is_rendered_from_the_figures():
    page = capacity.PAGE.read_text('utf-8')
    wanted = capacity.render(capacity.Figures.read())
    assert_that(page, matchers.Equals(wanted))


def test_each_series_has_three_points_of_different_sizes():
    for item in capacity.Figures.read().data['series']:
        assert_that(len(item['points']), matchers.GreaterThan(2), item['name'])
        sizes = {size for size, _ in item['points']}
        assert_that(len(sizes), matchers.Equals(len(item['points'])))


def test_higher_slopes_raise_the_loads_and_exceed_the_bounds():
    figures = capacity.Figures.read()
    raised = copy.deepcopy(figures.data)
    for item in raised['series']:
        item['slope'] *= 100
    raised = capacity.Figures(raised)
    base_load = capacity.entry_load(figures)
    raised_load = capacity.entry_load(raised)
    assert_that(
        raised_load.kb_per_s, matchers.GreaterThan(10 * base_load.kb_per_s)
    )
    page_values = capacity.values(raised)
    for name in ('entry_kb_verdict', 'entry_memory_verdict'):
        assert_that(page_values[name], matchers.Contains('falls short'))


def test_no_load_is_extrapolated_to_zero_or_below():
    figures = capacity.Figures.read()
    loads = [
        capacity.entry_load(figures),
        capacity.agent_load(figures),
        capacity.relay_load(figures, capacity.RELAYS),
        capacity.voter_load(figures),
    ]
    for load in loads:
        lowest = min(load.messages, load.payload, load.cpu_us)
        assert_that(lowest, matchers.GreaterThan(0.0))
