"""Costs of requests relative to their service, and the order they give."""

import math
import random

from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from cassiashift_core.admission import urgency_queue
from cassiashift_core import costs


def served(costs_by_workspace, count=600):
    """Return how many requests of backlogged workspaces are served."""
    rng = random.Random(1)
    scale = costs.RelativeCost()
    queue = urgency_queue.UrgencyQueue()
    counts = dict.fromkeys(costs_by_workspace, 0)

    def add(name):
        draw = costs_by_workspace[name]
        size = draw(rng)
        scale.record(size)
        cost = scale.relative(size)
        queue.add(admission.QueuedRequest(name, 0, cost, math.inf, math.inf))

    for _ in range(20):
        for name in counts:
            add(name)
    for _ in range(count):
        item = queue.pop(0.0)
        queue.charge(item, 0.0)
        counts[item.workspace] += 1
        add(item.workspace)
    return counts


def test_a_workspace_with_requests_twice_as_large_gets_half_as_many():
    counts = served({'a': lambda rng: 0.3, 'b': lambda rng: 0.6})
    ratio = counts['a'] / counts['b']
    assert_that(abs(ratio - 2) < 0.1, matchers.Equals(True))


def test_the_largest_tenth_is_served_at_least_half_as_often():
    """Page: also if all of the largest requests are of one workspace."""
    names = {f'w{number}': lambda rng: 1.0 for number in range(9)}
    counts = served({**names, 'large': lambda rng: 40.0})
    large = counts.pop('large')
    assert_that(large >= 0.5 * sum(counts.values()) / 9, matchers.Equals(True))


def test_the_cost_is_one_while_none_is_known():
    scale = costs.RelativeCost()
    assert_that(scale.relative(3.0), matchers.Equals(1.0))
    scale.record(math.nan)
    scale.record(3.0)
    for cost in (3.0, 0.0, math.inf, math.nan):
        assert_that(scale.relative(cost), matchers.Equals(1.0))
