"""Tests that overloaded workspaces get 90% of their fair share."""

import heapq
import itertools
import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission

CAPACITY = 8
TOKENS_PER_S = 200.0
DURATION_S = 120.0
MIN_FAIR_SHARE = 0.9


def serve(seed, demands, weights, underestimated=()):
    """Return the tokens that an overloaded gate serves per workspace.

    Args:
        seed: seed of the arrival times and call sizes.
        demands: tokens per second that each workspace requests.
        weights: weight of each workspace.
        underestimated: workspaces that use three times the announced
            tokens.
    """
    rng = random.Random(seed)
    gate = admission.AdmissionGate.from_config()
    gate.set_capacity('m@1', CAPACITY, 0.0)
    for name, weight in weights.items():
        gate.set_limits(name, admission.WorkspaceLimits(weight), 0.0)
    events = []
    for name, demand in demands.items():
        now = 0.0
        while now < DURATION_S:
            tokens = rng.randrange(50, 150)
            now += rng.expovariate(demand / 100.0)
            call = (now, 0, f'{name}-{len(events)}', name, tokens)
            events.append(call)
    heapq.heapify(events)
    served = dict.fromkeys(demands, 0)
    used = {}

    def start(admitted, now):
        for item in admitted:
            name, tokens = used[item.request_id]
            end = now + tokens / TOKENS_PER_S
            heapq.heappush(events, (end, 1, item.request_id, name, tokens))

    while events and events[0][0] < DURATION_S:
        now, kind, request_id, name, tokens = heapq.heappop(events)
        if kind == 1:
            served[name] += tokens
            start(gate.release(request_id, tokens, now), now)
            continue
        announced = tokens // 3 if name in underestimated else tokens
        used[request_id] = (name, tokens)
        req = admission.AdmissionRequest(request_id, name, 'm@1', announced)
        decision = gate.offer(req, now)
        if isinstance(decision, admission.Admitted):
            start([decision], now)
        gate.expire(now)
    return served


def fair_shares(demands, weights, total):
    """Return the weighted max-min fair share of each workspace."""
    shares = {}
    left = dict(demands)
    while left:
        share_per_weight = total / sum(weights[name] for name in left)
        small = {
            n: d for n, d in left.items() if d <= share_per_weight * weights[n]
        }
        if not small:
            shares.update(
                {name: share_per_weight * weights[name] for name in left}
            )
            break
        for name, demand in small.items():
            shares[name] = demand
            total -= demand
            del left[name]
    return shares


CASES = {
    'flood': ({'flood': 8000.0, 'a': 300.0, 'b': 300.0, 'c': 300.0}, {}),
    'equal': ({'a': 2000.0, 'b': 2000.0, 'c': 2000.0}, {}),
    'weights': ({'a': 4000.0, 'b': 4000.0}, {'a': 3.0}),
    'misjudged': ({'a': 3000.0, 'b': 3000.0}, {}),
}


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('case', CASES)
def test_no_workspace_gets_under_its_fair_share(case, seed):
    demands, weight_by_name = CASES[case]
    weights = {name: weight_by_name.get(name, 1.0) for name in demands}
    underestimated = ('a',) if case == 'misjudged' else ()
    served = serve(seed, demands, weights, underestimated)
    total = sum(served.values())
    wanted = {name: rate * DURATION_S for name, rate in demands.items()}
    shares = fair_shares(wanted, weights, total)
    for name, share in shares.items():
        part = served[name] / share
        assert_that(part, matchers.GreaterThan(MIN_FAIR_SHARE), name)


def test_five_times_the_load_keeps_the_goodput():
    served = {}
    for load in (0.5, 1.0, 2.0, 5.0):
        rate = CAPACITY * TOKENS_PER_S * load
        tokens = serve(4, {'a': rate / 2, 'b': rate / 2}, {'a': 1, 'b': 1})
        served[load] = sum(tokens.values())
    peak = max(served.values())
    assert_that(served[5.0], matchers.GreaterThan(0.9 * peak))


def test_change_of_weight_leaves_no_lasting_debt():
    gate = admission.AdmissionGate.from_config()
    gate.set_capacity('m@1', 1, 0.0)
    gate.set_limits('a', admission.WorkspaceLimits(weight=0.01), 0.0)
    numbers = itertools.count()

    def offer(name):
        req = admission.AdmissionRequest(
            f'{name}{next(numbers)}', name, 'm@1', 100
        )
        return gate.offer(req, 0.0)

    running = offer('a').request_id
    for name in 'aabb':
        offer(name)
    served = []
    for step in range(130):
        if step == 30:
            gate.set_limits('a', admission.WorkspaceLimits(1.0), 0.0)
            served.clear()
        served.append(running[0])
        offer(running[0])
        running = gate.release(running, 100, 0.0)[0].request_id
    assert_that(served.count('a') >= 45, matchers.Equals(True))
    assert_that(served.count('b') >= 45, matchers.Equals(True))
