"""Tests of the client of model runners."""

import json

from aiohttp import test_utils
from aiohttp import web
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import rankmaps
from cassiashift_daemon.ranks import engine
from cassiashift_platform import engines

REPORT = {
    'group': {'name': 'g0', 'epoch': 2, 'rank': 3, 'state': 'open'},
    'size': 8,
    'step': 41,
    'expertMap': 8,
    'prepared': 16,
    'armed': {'version': 16, 'step': 44},
    'held': 44,
    'running': 2,
    'kvUsed': 41000,
    'pace': 4.5,
}


@pytest.fixture
async def client(request):
    """Return a client of a runner that answers with one report."""
    body = getattr(request, 'param', REPORT)

    async def report(_):
        text = body if isinstance(body, str) else json.dumps(body)
        return web.Response(text=text, content_type='application/json')

    app = web.Application()
    app.router.add_get('/cassiashift/report', report)
    app.router.add_get('/cassiashift/picked', report)
    server = test_utils.TestServer(app)
    await server.start_server()
    runner_client = engines.RunnerClient(f'{server.host}:{server.port}')
    yield runner_client
    await runner_client.close()
    await server.close()


def _nested(depth):
    return '{"group": ' + '[' * depth + ']' * depth + '}'


@pytest.mark.parametrize(
    'client', [{**REPORT, 'step': 10**30}, _nested(100_000)], indirect=True
)
async def test_an_odd_report_does_not_end_the_reports_of_an_agent(client):
    # Anything but this error ends the task that reports the rank's state.
    for read in (client.report, client.choice_counts, client.held_experts):
        with pytest.raises(engine.EngineError):
            await read()


async def test_a_report_is_decoded(client):
    expected = rankmaps.RankReport(
        group='g0',
        epoch=2,
        rank=3,
        size=8,
        is_open=True,
        step=41,
        map_version=8,
        prepared=16,
        armed=rankmaps.Armed(16, 44),
        held=44,
        running=2,
        slowdown=4.5,
    )
    assert_that(await client.report(), matchers.Equals(expected))


@pytest.mark.parametrize(
    'client',
    [{}, {**REPORT, 'group': None}],
    indirect=True,
)
async def test_a_malformed_report_is_an_error(client):
    with pytest.raises(engine.EngineError):
        await client.report()


USELESS = ('4', None, [], True, 0, -2, float('nan'), float('inf'))


@pytest.mark.parametrize(
    'client', [{**REPORT, 'pace': pace} for pace in USELESS], indirect=True
)
async def test_a_useless_pace_counts_as_1(client):
    assert_that((await client.report()).slowdown, matchers.Equals(1.0))
