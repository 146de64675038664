"""Explanations over HTTP, and the command that asks for them."""

import asyncio
import json

from aiohttp import test_utils
from aiohttp import web
import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_cli import main
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_net import explanations
from cassiashift_platform import surfaces

REQUEST = {'host': 'a', 'path': '/b', 'promptTokens': 9, 'deadlineMs': 50}


@attrs.define
class _Control:
    """Explains each request by one upstream; records the requests."""

    upstream: str
    requests: list = attrs.field(factory=list)

    def explain(self, req):
        """Return a decision for the upstream."""
        self.requests.append(req)
        upstream = fleet.Upstream(self.upstream, 's', 'h:1', 'east')
        decision = placing.decide(
            placing.Snapshot([(upstream, fleet.Condition())], 2, 1.0, 'west')
        )
        refused = placing.Admittance(
            placing.Outcome.REFUSED, 'too long', retry_after_s=1.25
        )
        return explanations.Answer(
            entry=f'entry-{self.upstream}',
            data_centre='west',
            configuration=7,
            configuration_age_s=1.0,
            evacuated=(),
            route='r',
            service='s',
            workspace='w',
            priority=2,
            explanation=placing.explain(decision, refused, {'u1': 0.5}),
        )


@pytest.fixture
async def entries():
    """Return the clients of two entries that choose different upstreams."""
    clients = []
    for upstream in ('u1', 'u2'):
        control = _Control(upstream)
        app = web.Application()
        app.add_routes(surfaces.Control(control).routes())
        client = test_utils.TestClient(test_utils.TestServer(app))
        await client.start_server()
        clients.append((control, client))
    yield clients
    for _, client in clients:
        await client.close()


async def _run(entries, *arguments):
    addresses = [f'{client.host}:{client.port}' for _, client in entries]
    flags = [flag for item in addresses for flag in ('--entry', item)]
    return await asyncio.to_thread(
        main.main, ['explain', *flags, *map(str, arguments)]
    )


async def test_an_entry_explains_a_request(entries):
    control, client = entries[0]
    response = await client.post('/cassiashift/explain', json=REQUEST)
    body = await response.json()
    assert_that(response.status, matchers.Equals(200))
    assert_that(body['explanation']['chosen'], matchers.Equals('u1'))
    assert_that(control.requests[0].prompt_tokens, matchers.Equals(9))


@pytest.mark.parametrize(
    ('body', 'text'),
    [
        (b'', 'truncated'),
        (b'[' * 100_000, ''),
        (b'{"host": "a", "path": "\xff"}', 'utf'),
        (b'{"host": "a"}', 'path'),
        (b'{"host": "a", "path": "b"}', '$.path'),
        (b'{"host": "a", "path": "/", "key": "k"}', 'key'),
        (b'{"host": "a", "path": "/", "promptTokens": -1}', '$.promptTokens'),
        (b'{"host": "a", "path": "/", "deadlineMs": 1e99}', '$.deadlineMs'),
    ],
)
async def test_a_malformed_request_gets_400_and_the_reason(
    entries, body, text
):
    control, client = entries[0]
    response = await client.post('/cassiashift/explain', data=body)
    answer = await response.json()
    assert_that(response.status, matchers.Equals(400))
    message = answer['error']['message'].lower()
    assert_that(message, matchers.Contains(text.lower()))
    assert_that(control.requests, matchers.Equals([]))


async def test_the_table_shows_the_reasons_and_what_differs(entries, capsys):
    status = await _run(entries, '--host', 'a', '--path', '/b')
    out = ' '.join(capsys.readouterr().out.split())
    assert_that(status, matchers.Equals(0))
    for text in ('Retry-After 1.25', 'DISTANCE', 'chosen u1 u2'):
        assert_that(out, matchers.Contains(text))


async def test_flags_override_the_fields_of_the_file(
    entries, capsys, tmp_path
):
    file = tmp_path / 'request.json'
    file.write_text(json.dumps(REQUEST))
    status = await _run(entries, '--file', file, '--path', '/c', '--json')
    document = json.loads(capsys.readouterr().out)
    assert_that(status, matchers.Equals(0))
    assert_that(document['entries'], matchers.HasLength(2))
    differing = [item['values'] for item in document['differences']]
    assert_that(differing, matchers.Contains(['u1', 'u2']))
    req = entries[0][0].requests[0]
    sent = req.path, req.prompt_tokens, req.deadline_ms
    assert_that(sent, matchers.Equals(('/c', 9, 50)))


@pytest.mark.parametrize(
    ('arguments', 'text'),
    [
        ((), 'host'),
        (('--host', 'a', '--path', 'b'), '$.path'),
        (('--host', 'a', '--path', '/', '--prompt-tokens', 'x'), 'x'),
        (('--host', 'a', '--path', '/', '--output-tokens', '-1'), 'output'),
        (('--host', 'a', '--path', '/', '--rows', '0'), '--rows'),
        (('--host', 'a', '--path', '/', '--entry', 'ftp://a'), '--entry'),
        (('--file', '/nowhere.json'), '--file'),
    ],
)
async def test_bad_input_gives_exit_code_2_and_the_reason(
    entries, capsys, arguments, text
):
    status = await _run(entries, *arguments)
    captured = capsys.readouterr()
    assert_that(status, matchers.Equals(2))
    # Errors of types are printed by the parser of the command line.
    shown = (captured.out + captured.err).lower()
    assert_that(shown, matchers.Contains(text.lower()))
    assert_that(entries[0][0].requests, matchers.Equals([]))
