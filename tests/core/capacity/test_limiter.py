"""The concurrency limit follows the pauses of streams."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import capacity
from cassiashift_core import routes

SLOTS = 5
# Deployment A of docs/design/uneven-load.md.
OBJECTIVE_S = 0.15
STEP_S = 0.00455
STEP_PER_REQUEST_S = 0.00109
STRIDE = 5
HOLD_S = 1.5


def pass_s(in_flight, slowdown):
    """Return the duration of a pass of deployment A, experts included."""
    experts_s = 0.02
    return slowdown * STRIDE * (STEP_S + STEP_PER_REQUEST_S * in_flight) + (
        experts_s
    )


def simulate(limiter, seconds, slowdown, rng, start=0.0, in_flight=SLOTS):
    """Run nine streams in a group that is full; return load and pauses."""
    now, pauses = start, []
    while now < start + seconds:
        pause_s = pass_s(in_flight, slowdown) * rng.uniform(0.95, 1.05)
        now += pause_s
        pauses.append((now, pause_s))
        for stream in range(9):
            limiter.record_pause(stream, pause_s)
        limiter.update(now, HOLD_S)
        left = in_flight * pause_s / HOLD_S
        in_flight = max(limiter.limit, in_flight - left)
        in_flight = min(in_flight, SLOTS)
    return in_flight, pauses


@pytest.mark.parametrize('seed', range(5))
def test_one_slow_rank_does_not_keep_pauses_over_the_objective(seed):
    """A rank four times slower makes every pass longer than the objective."""
    rng = random.Random(seed)
    limiter = capacity.ConcurrencyLimiter(SLOTS, OBJECTIVE_S)
    in_flight, pauses = simulate(limiter, 3.0, 1.0, rng)
    assert_that(limiter.limit, matchers.Equals(SLOTS))
    in_flight, pauses = simulate(limiter, 10.0, 4.0, rng, 3.0, in_flight)
    late = [pause_s for at, pause_s in pauses if at > 5.0]
    assert_that(max(late) <= OBJECTIVE_S, matchers.Equals(True))
    # The page: on time again two seconds after the disturbance.
    simulate(limiter, 2.0, 1.0, rng, 13.0, in_flight)
    assert_that(limiter.limit, matchers.Equals(SLOTS))


def test_one_stalled_stream_does_not_lower_the_limit():
    limiter = capacity.ConcurrencyLimiter(SLOTS, OBJECTIVE_S)
    for tick in range(100):
        limiter.record_pause(0, 3 * OBJECTIVE_S)
        limiter.record_pause(1, 0.04)
        limiter.update(tick * 0.05, HOLD_S)
    assert_that(limiter.limit, matchers.Equals(SLOTS))


def test_interruptions_do_not_lower_the_limit():
    """A group that is formed again after a loss stands still for seconds."""
    limiter = capacity.ConcurrencyLimiter(SLOTS, OBJECTIVE_S)
    for tick in range(100):
        for stream in range(9):
            limiter.record_pause(stream, 2.0)
        limiter.update(tick * 0.05, HOLD_S)
    assert_that(limiter.limit, matchers.Equals(SLOTS))


@pytest.mark.parametrize('streams', [0, 1])
def test_limit_returns_to_the_slots_without_measurements(streams):
    limiter = capacity.ConcurrencyLimiter(SLOTS, OBJECTIVE_S, limit=1.0)
    limits = []
    for tick in range(200):
        for stream in range(streams):
            limiter.record_pause(stream, 2 * OBJECTIVE_S)
        limiter.update(tick * 0.05, HOLD_S)
        limits.append(limiter.limit)
    assert_that(limits, matchers.Equals(sorted(limits)))
    assert_that(limits[40] < SLOTS, matchers.Equals(True))
    assert_that(limits[-1], matchers.Equals(SLOTS))


def test_limit_stays_between_one_and_the_slots():
    rng = random.Random(1)
    limiter = capacity.ConcurrencyLimiter(SLOTS, OBJECTIVE_S)
    for tick in range(5000):
        for stream in range(rng.randrange(4)):
            limiter.record_pause(stream, rng.choice((0.0, 0.1, 0.2, 0.59)))
        limiter.update(tick * 0.05, rng.choice((0.0, 0.5, 4.0)))
        assert_that(1 <= limiter.limit <= SLOTS, matchers.Equals(True))


def table(gap_s, slots=SLOTS):
    route = routes.Route(
        'talk',
        'a.example',
        '/talk/',
        routes.Kind.STREAM,
        (routes.Target('model'), routes.Target('plain')),
        8.0,
        gap_objective_s=gap_s,
    )
    services = (
        routes.Service('model', engine=routes.Engine(slots)),
        routes.Service('plain'),
    )
    return routes.RouteTable(1, (route,), services)


def test_only_services_with_an_engine_and_an_objective_have_a_limit():
    limits = capacity.ServiceLimits()
    limits.apply_table(table(0.0))
    assert_that(limits.limit('model'), matchers.Is(None))
    limits.apply_table(table(OBJECTIVE_S))
    assert_that(limits.limit('model'), matchers.Equals(SLOTS))
    assert_that(limits.limit('plain'), matchers.Is(None))


def test_a_changed_configuration_applies_to_the_limit():
    """A limit above the engine's new slots would overfill the upstreams."""
    limits = capacity.ServiceLimits()
    limits.apply_table(table(OBJECTIVE_S))
    limits.apply_table(table(OBJECTIVE_S, slots=3))
    assert_that(limits.limit('model'), matchers.Equals(3))


def _timed(pause_of, periods=40):
    """Return a limiter whose streams pause as long as a function says."""
    limiter = capacity.ConcurrencyLimiter(5, 0.15)
    limiter.configure(5, 0.15, 0.00455, 0.00218)
    for period in range(periods):
        for stream in range(4):
            limiter.record_pause(stream, pause_of(limiter.limit))
        limiter.update(period * 0.26, 1.0)
    return limiter


def test_a_slow_rank_does_not_cost_the_throughput_of_its_group():
    """Guards against a limit of 1 where no limit makes streams be on time."""
    limiter = _timed(lambda limit: 0.3)
    assert_that(limiter.limit, matchers.Equals(5.0))


def test_a_limit_that_makes_streams_be_on_time_is_kept():
    """Guards against giving up where fewer requests meet the objective."""
    limiter = _timed(lambda limit: 10 * (0.00455 + limit * 0.00218))
    assert_that(limiter.limit, matchers.LessThan(5.0))
    assert_that(
        10 * (0.00455 + limiter.limit * 0.00218), matchers.LessThan(0.15)
    )


def test_a_limit_without_effect_is_not_tried_again_at_once():
    """Guards against half of the throughput while a rank is slow."""
    limiter = capacity.ConcurrencyLimiter(5, 0.15)
    limiter.configure(5, 0.15, 0.00455, 0.00218)
    limits = []
    for period in range(40):
        for stream in range(4):
            limiter.record_pause(stream, 0.25)
        limiter.update(period * 0.26, 1.0)
        limits.append(limiter.limit)
    lowered = sum(limit < 5 for limit in limits)
    assert_that(lowered / len(limits), matchers.LessThan(0.25))
