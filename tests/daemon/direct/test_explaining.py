"""Explanations: they equal the next decision, and change nothing."""

import asyncio
import random
import time

import attrs
import multidict
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import costs
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import explaining
from cassiashift_net import explanations
from tests.daemon.direct import conftest

ENGINE = routes.Engine(
    slots=2,
    capacity_tokens=10_000,
    step_s=0.005,
    step_per_request_s=0.001,
    read_tokens_per_s=50_000,
)
TABLE = attrs.evolve(
    conftest.TABLE,
    routes=(
        *conftest.TABLE.routes,
        attrs.evolve(
            conftest.route('split', routes.Kind.SAFE, is_public=True),
            targets=(routes.Target('model'), routes.Target('read', 2)),
        ),
    ),
    services=tuple(
        attrs.evolve(item, engine=item.engine and ENGINE)
        for item in conftest.TABLE.services
    ),
)
SENT, QUEUED, REFUSED = placing.Outcome


@pytest.fixture
def placement(site):
    """Return a placement whose service model has an engine with timings."""
    placement = site.ingress.placement
    placement.holder.table = TABLE
    return placement


@attrs.define
class Clock:
    """A clock that stands still unless it is moved."""

    now: float

    def read(self):
        """Return the time."""
        return self.now


@pytest.fixture
def clock(placement, monkeypatch):
    """Return the clock that the placement reads."""
    clock = Clock(time.monotonic())
    monkeypatch.setattr(time, 'monotonic', clock.read)
    return clock


def _request(route, **fields):
    return explanations.Request(conftest.HOST, f'/{route}/x', **fields)


def _call(req, rng):
    route = TABLE.find(req.host, req.path)
    now = time.monotonic()
    return calls.Call(
        id='r',
        method='POST',
        path=req.path,
        headers=multidict.CIMultiDictProxy(multidict.CIMultiDict()),
        body=b'',
        route=route,
        workspace=None if route.is_public else TABLE.workspaces[0],
        service=calls.pick_service(route, rng),
        arrived_at=now,
        deadline_at=now + req.deadline_ms / 1000,
        ends_at=now + min(req.deadline_ms / 1000, route.timeout_s),
        size=costs.StatedSize(
            req.prompt_tokens, req.output_tokens, req.length_hint
        ),
    )


def _random_request(rng):
    return _request(
        rng.choice(('chat', 'bulk', 'read', 'split')),
        workspace='acme',
        prompt_tokens=rng.choice((0, 100, 100, 100, 5000, 20_000)),
        output_tokens=rng.choice((0, 500)),
        length_hint=rng.choice((0, 50)),
        deadline_ms=rng.choice((50, 1000, 8000)),
    )


async def _fill(placement, rng):
    """Register upstreams in random conditions and place requests."""
    now = time.monotonic()
    for number in range(rng.randrange(12)):
        upstream = fleet.Upstream(
            f'u{number}',
            rng.choice(('model', 'model', 'read')),
            f'10.0.0.{number}:1',
            rng.choice(('east', 'west')),
            slots=2,
        )
        placement.runner.upstreams.apply(upstream, now)
        condition = placement.runner.upstreams.condition(upstream)
        condition.add_others(
            rng.choice((0, 0, 1, 2)), 300 * rng.random(), 900, now
        )
        condition.failure_share = rng.choice((0.0, 0.0, 0.4))
        condition.full_until = now + rng.choice((0.0, 0.0, 0.0, 60.0))
        condition.slowness = rng.choice((1.0, 1.0, 4.0))
        if rng.random() < 0.2:
            condition.record_failure(now, is_down=True)
    if rng.random() < 0.2:
        placement.runner.upstreams.evacuated = frozenset({'west'})
    tasks = [
        asyncio.ensure_future(
            placement.place(_call(_random_request(rng), rng))
        )
        for _ in range(rng.choice((0, 0, 3, 12)))
    ]
    await asyncio.sleep(0)
    return tasks


def _state(placement):
    """Return all that an explanation could change."""
    metrics = placement.permits.metrics.text()
    return repr(placement), placement.rng.getstate(), metrics


async def _next_outcome(placement, req):
    """Place a request; return the outcome, the upstream and the error."""
    call = _call(req, placement.rng)
    task = asyncio.ensure_future(placement.place(call))
    await asyncio.sleep(0)
    if not task.done():
        task.cancel()
        return QUEUED, None, None
    if task.exception() is not None:
        return REFUSED, None, task.exception()
    return SENT, task.result().id, None


@pytest.mark.parametrize('seed', range(60))
async def test_the_next_request_is_placed_as_explained(placement, clock, seed):
    """A second way to decide would mislead operators once it differs."""
    rng = random.Random(seed)
    placement.rng.seed(seed)
    tasks = await _fill(placement, rng)
    req = _random_request(rng)
    # What is known of upstreams ages, also between the two decisions.
    clock.now += 3.0 * rng.random()
    before = _state(placement)
    answer = explaining.Explainer(placement).explain(req)
    assert_that(_state(placement), matchers.Equals(before))

    outcome, upstream, exc = await _next_outcome(placement, req)
    explained = answer.explanation
    admittance = explained.admittance
    assert_that(admittance.outcome, matchers.Equals(outcome))
    if outcome is SENT:
        assert_that(explained.chosen, matchers.Equals(upstream))
        assert_that(explained.rows[0].upstream, matchers.Equals(upstream))
    elif outcome is REFUSED:
        assert_that(exc.message, matchers.EndsWith(admittance.reason))
        is_told = admittance.retry_after_s is not None
        assert_that(is_told, matchers.Is(exc.retry_after_s is not None))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def test_an_explanation_names_no_key_and_what_is_left_out(placement):
    now = time.monotonic()
    for number, data_centre in enumerate(('east', 'west')):
        placement.runner.upstreams.apply(
            fleet.Upstream(f'u{number}', 'read', f'h{number}:1', data_centre),
            now,
        )
    placement.runner.upstreams.evacuated = frozenset({'west'})
    req = _request('read', workspace='acme')
    answer = explaining.Explainer(placement).explain(req)
    assert_that(
        explanations.encode(answer), matchers.Not(matchers.Contains(b'secret'))
    )
    left_out = [(item.upstream, item.reason) for item in answer.left_out]
    assert_that(left_out, matchers.Equals([('u1', 'evacuated')]))
    assert_that(answer.explanation.chosen, matchers.Equals('u0'))


@pytest.mark.parametrize(
    ('req', 'code', 'text'),
    [
        (_request('none'), ErrorCode.NOT_FOUND, 'no route'),
        (_request('read'), ErrorCode.BAD_REQUEST, 'workspace: is missing'),
        (
            _request('read', workspace='secret'),
            ErrorCode.BAD_REQUEST,
            'workspace: is not the name of any',
        ),
        (
            _request('open', model='book'),
            ErrorCode.BAD_REQUEST,
            "model: 'book' is no service",
        ),
    ],
)
def test_the_error_names_what_is_unknown(placement, req, code, text):
    with pytest.raises(CassiashiftError) as raised:
        explaining.Explainer(placement).explain(req)
    assert_that(raised.value.code, matchers.Is(code))
    message = raised.value.message
    assert_that(message, matchers.Contains(text))
    # A key that is given in place of a name is not repeated either.
    assert_that(message, matchers.Not(matchers.Contains('secret')))
