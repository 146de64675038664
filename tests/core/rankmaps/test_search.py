"""Short searches for orders of events that begin a pass on two maps."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.core.rankmaps import search

# Far more than the searches take, so that load does not end them early.
SECONDS = 600.0


@pytest.mark.parametrize(
    ('size', 'bounds'),
    [
        (2, search.Bounds(late=2, toggles=1, rounds=12)),
        (2, search.Bounds(late=1, toggles=1, stops=1, rounds=12)),
        (2, search.Bounds(late=1, toggles=1, restarts=1, rounds=12)),
        (3, search.Bounds(late=2, toggles=1, rounds=11)),
        (2, search.Bounds(late=2, toggles=1, rounds=12, lead=1)),
        (2, search.Bounds(late=1, toggles=1, stops=1, rounds=12, lead=1)),
    ],
)
def test_no_order_of_events_begins_a_pass_on_two_maps(size, bounds):
    found = search.search(size, bounds, SECONDS)
    assert_that(found.is_complete, matchers.Is(True))
    assert_that(found.states, matchers.GreaterThan(1000))
