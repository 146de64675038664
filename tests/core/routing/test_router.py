"""Tests of the router's choices."""

import collections
import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import ErrorCode
from cassiashift_core import manifest
from cassiashift_core import routing

OK = routing.Outcome.OK
FAILED = routing.Outcome.FAILED


def view(name, **more):
    more.setdefault('offers', (manifest.Offer('m', '1', ('lora',)),))
    return routing.UpstreamView(name, **more)


def request(number=0, **more):
    return routing.RouteRequest(f'r{number}', model='m', **more)


@pytest.fixture
def views():
    return [view(f'u{number}') for number in range(4)]


@pytest.fixture
def router(views):
    return make_router(views)


def make_router(views, **more):
    cfg = routing.RoutingConfig(**more)
    router = routing.Router.from_config(cfg, random.Random(5))
    router.update_upstreams(views, 0.0)
    return router


def chosen(router, now=0.0, count=40, **more):
    choices = [router.choose(request(n, **more), now) for n in range(count)]
    return {choice.upstream_id for choice in choices}


def run_call(router, upstream, number, now, first_s, outcome=OK):
    attempt = f'{upstream}-{number}'
    router.record_start(upstream, attempt, 100, now)
    if outcome is OK:
        router.record_first_token(attempt, now + first_s)
    router.record_finish(attempt, outcome, now + first_s)


@pytest.mark.parametrize('state', [{'draining': True}, {'alive': False}])
def test_draining_or_dead_upstream_gets_no_calls(router, views, state):
    changed = [attrs.evolve(views[0], **state), *views[1:]]
    router.update_upstreams(changed, 1.0)
    assert_that('u0' in chosen(router, 1.0), matchers.Equals(False))


def test_model_version_and_adapter_must_be_offered(router):
    unknown = router.choose(routing.RouteRequest('r', model='x'), 0.0)
    assert_that(unknown.code, matchers.Is(ErrorCode.NO_UPSTREAM))
    other = router.choose(request(version='2'), 0.0)
    assert_that(other.code, matchers.Is(ErrorCode.NO_UPSTREAM))
    none = router.choose(request(adapter='none'), 0.0)
    assert_that(none.code, matchers.Is(ErrorCode.NO_UPSTREAM))
    result = router.choose(request(adapter='lora'), 0.0)
    assert_that(result, matchers.IsInstance(routing.Choice))


def test_service_is_routed_beside_models(views):
    kind = manifest.UpstreamKind.SERVICE
    booking = view('s1', offers=(), service='booking', kind=kind)
    router = make_router([*views, booking])
    req = routing.RouteRequest('r1', service='booking')
    result = router.choose(req, 0.0)
    assert_that(result.upstream_id, matchers.Equals('s1'))


def test_excluded_upstreams_are_not_tried_again(router):
    tried = {'u0', 'u1', 'u2'}
    result = router.choose(request(), 0.0, tried)
    assert_that(result.upstream_id, matchers.Equals('u3'))
    result = router.choose(request(), 0.0, {*tried, 'u3'})
    assert_that(result, matchers.IsInstance(routing.Refusal))


def test_cached_prefix_attracts_calls_unless_upstream_is_busy(views):
    router = make_router(views, move_latency_s=9.0)
    more = {'prompt_tokens': 1000, 'prefix_blocks': tuple(range(15))}
    first = router.choose(request(**more), 0.0)
    router.record_start(first.upstream_id, 'a', 0, 0.0, first)
    router.record_first_token('a', 0.1)
    assert_that(chosen(router, **more), matchers.Equals({first.upstream_id}))
    for number in range(4):
        router.record_start(first.upstream_id, f'b{number}', 2000, 0.2)
    chosen_ids = chosen(router, 0.2, **more)
    assert_that(first.upstream_id in chosen_ids, matchers.Equals(False))


def test_blocks_are_moved_when_that_is_cheaper(router):
    more = {'prompt_tokens': 1000, 'prefix_blocks': tuple(range(15))}
    first = router.choose(request(**more), 0.0)
    router.record_start(first.upstream_id, 'a', 0, 0.0, first)
    router.record_start(first.upstream_id, 'b', 9000, 0.0)
    result = router.choose(request(**more), 0.1)
    assert_that(result.move_from, matchers.Equals(first.upstream_id))
    assert_that(result.move_blocks, matchers.Equals(15))
    assert_that(result.uncached_tokens, matchers.Equals(1000 - 15 * 64))


def test_own_calls_are_added_to_an_outdated_report(router):
    for number in range(4):
        busy = 0 if number == 0 else 5
        report = routing.LoadReport(f'u{number}', 0.0, busy, busy * 1000)
        router.apply_report(report, 1.0)
    assert_that(chosen(router, 1.0), matchers.Equals({'u0'}))
    for number in range(10):
        router.record_start('u0', f'a{number}', 1000, 1.0)
    assert_that('u0' in chosen(router, 1.0), matchers.Equals(False))


def test_report_does_not_count_own_calls_twice(router):
    router.record_start('u0', 'a', 1000, 0.0)
    report = routing.LoadReport('u0', 0.05, 1, 1000)
    router.apply_report(report, 0.1)
    router.record_first_token('a', 0.13)
    router.record_finish('a', OK, 0.2)
    assert_that('u0' in chosen(router, 0.2), matchers.Equals(True))


def test_entries_spread_calls_over_equal_upstreams(views):
    cfg = routing.RoutingConfig()
    counts = collections.Counter()
    for entry in range(50):
        rng = random.Random(entry)
        router = routing.Router.from_config(cfg, rng)
        router.update_upstreams(views, 0.0)
        counts[router.choose(request(), 0.0).upstream_id] += 1
    assert_that(len(counts), matchers.Equals(4))
    assert_that(max(counts.values()), matchers.LessThan(25))


def test_failing_upstream_trips_and_is_probed_with_one_call(router):
    for number in range(3):
        run_call(router, 'u0', number, 0.0, 0.1, FAILED)
    assert_that('u0' in chosen(router, 0.5), matchers.Equals(False))
    assert_that('u0' in chosen(router, 2.0), matchers.Equals(True))
    router.record_start('u0', 'probe', 0, 2.0)
    assert_that('u0' in chosen(router, 2.0), matchers.Equals(False))
    router.record_finish('probe', FAILED, 2.1)
    assert_that('u0' in chosen(router, 3.5), matchers.Equals(False))
    assert_that('u0' in chosen(router, 4.5), matchers.Equals(True))


def test_recovered_upstream_starts_slowly(router):
    for number in range(3):
        run_call(router, 'u0', number, 0.0, 0.1, FAILED)
    run_call(router, 'u0', 'probe', 2.0, 0.03)
    for number in range(4):
        router.record_start('u0', f'a{number}', 0, 2.5)
        router.record_first_token(f'a{number}', 2.53)
    assert_that('u0' in chosen(router, 2.6), matchers.Equals(False))
    assert_that('u0' in chosen(router, 14.0), matchers.Equals(True))


def test_breakers_that_leave_no_upstream_are_ignored(router):
    for upstream in ('u0', 'u1', 'u2', 'u3'):
        for number in range(3):
            run_call(router, upstream, number, 0.0, 0.1, FAILED)
    assert_that(chosen(router, 0.2), matchers.HasLength(4))


def test_overdue_first_token_marks_a_straggler(router):
    for number in range(4):
        run_call(router, f'u{number}', 0, 0.0, 0.04)
    router.record_start('u0', 'stuck', 100, 1.0)
    assert_that('u0' in chosen(router, 3.0), matchers.Equals(False))


def test_straggler_is_used_again_once_it_has_recovered(router):
    now = 0.0
    used = []
    for number in range(400):
        choice = router.choose(request(number, expected_tokens=50), now)
        name = choice.upstream_id
        slow = 20.0 if name == 'u0' and 5.0 < now < 40.0 else 1.0
        router.record_start(name, f'a{number}', 0, now)
        router.record_first_token(f'a{number}', now + 0.03 * slow)
        router.record_progress(f'a{number}', 10, now + 0.13 * slow)
        router.record_finish(f'a{number}', OK, now + 0.13 * slow)
        used.append((now, name))
        now += 0.2 * slow if slow > 1 else 0.2
    during = [name for at, name in used if 10.0 < at < 40.0]
    after = [name for at, name in used if at > 72.0]
    assert_that(during.count('u0'), matchers.LessThan(5))
    assert_that(after.count('u0'), matchers.GreaterThan(len(after) // 10))


def test_attempts_at_a_straggler_are_to_be_moved_but_not_a_probe(router):
    for number in range(4):
        run_call(router, f'u{number}', 0, 0.0, 0.04)
    for number in range(3):
        router.record_start('u0', f'stuck{number}', 0, 1.0)
    assert_that(router.attempts_to_move(1.1), matchers.Equals([]))
    router.choose(request(), 3.0)
    to_move = router.attempts_to_move(3.0)
    assert_that(to_move, matchers.Equals(['stuck0', 'stuck1', 'stuck2']))
    for name in to_move:
        router.record_finish(name, routing.Outcome.CANCELLED, 3.0)
    router.record_start('u0', 'probe', 0, 9.0)
    assert_that(router.attempts_to_move(9.1), matchers.Equals([]))


@pytest.mark.parametrize(
    ('outcome', 'pause_s'),
    [(routing.Outcome.REFUSED, 0.1), (routing.Outcome.DRAINING, 5.0)],
)
def test_refusal_pauses_new_calls(router, outcome, pause_s):
    run_call(router, 'u0', 0, 0.0, 0.0, outcome)
    during_pause = chosen(router, 0.9 * pause_s)
    assert_that('u0' in during_pause, matchers.Equals(False))
    assert_that('u0' in chosen(router, pause_s), matchers.Equals(True))


def test_full_upstreams_refuse(views):
    small = [attrs.evolve(item, concurrency=2) for item in views]
    router = make_router(small)
    for number in range(8):
        result = router.choose(request(number), 0.0)
        router.record_start(result.upstream_id, f'a{number}', 10, 0.0)
    assert_that(router.capacity('m@1', 0.0), matchers.Equals(8))
    result = router.choose(request(9), 0.0)
    assert_that(result.code, matchers.Is(ErrorCode.OVERLOADED))
    assert_that(result.retry_after_s, matchers.GreaterThan(0.0))


def test_slots_of_the_agent_bound_the_calls(router):
    for number in range(4):
        slots = 1 if number == 0 else 0
        report = routing.LoadReport(f'u{number}', 0.0, 0, 0, slots)
        router.apply_report(report, 0.0)
    assert_that(router.capacity('m@1', 0.0), matchers.Equals(1))
    assert_that(chosen(router), matchers.Equals({'u0'}))


def test_missed_targets_lower_the_limit(router):
    before = router.capacity('m@1', 0.0)
    for number in range(40):
        run_call(router, 'u0', number, number * 0.1, 2.5)
    assert_that(router.capacity('m@1', 9.0), matchers.LessThan(before))


def test_decoding_upstream_gets_another_for_the_prefill():
    decode = view('d', role=manifest.Role.DECODE)
    prefill = view('p', role=manifest.Role.PREFILL)
    router = make_router([decode, prefill])
    result = router.choose(request(prompt_tokens=500), 0.0)
    assert_that(result.upstream_id, matchers.Equals('d'))
    assert_that(result.prefill_on, matchers.Equals('p'))


def test_unknown_attempts_change_nothing(router):
    router.record_first_token('x', 0.0)
    router.record_progress('x', 3, 0.0)
    router.record_finish('x', OK, 0.0)
    router.apply_report(routing.LoadReport('gone', 0.0, 3), 0.0)


def test_dead_aperture_is_widened():
    views = [view(f'u{number}') for number in range(200)]
    router = make_router(views)
    router.set_entries(3, 50)
    usual = chosen(router, count=200)
    assert_that(len(usual), matchers.LessThan(17))
    changed = [
        attrs.evolve(item, alive=item.id not in usual) for item in views
    ]
    router.update_upstreams(changed, 1.0)
    chosen_ids = chosen(router, 1.0)
    assert_that(chosen_ids & usual, matchers.Equals(set()))
    assert_that(len(chosen_ids), matchers.GreaterThan(7))


@pytest.mark.parametrize(('entries', 'upstreams'), [(7, 100), (40, 90)])
def test_aperture_covers_evenly(entries, upstreams):
    ring = [f'u{number}' for number in range(upstreams)]
    counts = collections.Counter()
    for index in range(entries):
        aperture = routing.Aperture(index, entries, min_upstreams=16)
        width = aperture.width(upstreams)
        counts.update(aperture.select(ring, width))
        assert_that(width, matchers.LessThan(upstreams))
    uses = [counts[name] for name in ring]
    assert_that(max(uses) - min(uses), matchers.LessThan(2))
    assert_that(min(uses), matchers.GreaterThan(0))
