"""Tests of the administration API with invalid keys and bodies."""

import asyncio
import json

import aiohttp
import hypothesis
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_net import administration
from tests.cli import deployment as deployments

ROUTES = (
    ('GET', '/status'),
    ('GET', '/manifest'),
    ('PUT', '/manifest'),
    ('GET', '/upstreams'),
    ('GET', '/groups'),
    ('POST', '/groups/moe/map'),
    ('POST', '/groups/moe/rollback'),
    ('POST', '/drains'),
    ('GET', '/evacuations'),
    ('POST', '/evacuations'),
    ('GET', '/timeline'),
)
FUZZ = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)


@pytest.fixture(scope='module')
def deployment():
    running = deployments.Deployment.start_entries(1)
    yield running
    running.close()


def _request(deployment, method, path, body=None, **headers):
    async def send():
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method,
                deployment.urls + administration.PREFIX + path,
                data=body,
                headers=headers,
            ) as resp,
        ):
            return resp.status, await resp.read()

    return asyncio.run(send())


def _auth_headers(role):
    return {'Authorization': f'Bearer {deployments.KEYS[role]}'}


@pytest.mark.parametrize(('method', 'path'), ROUTES)
@pytest.mark.parametrize(
    'headers',
    [{}, {'Authorization': 'Bearer x'}, {'Authorization': 'Bearer \udcff'}],
    ids=['none', 'wrong', 'bytes'],
)
def test_a_request_without_a_valid_key_gets_no_data(
    deployment, method, path, headers
):
    status, body = _request(deployment, method, path, b'{}', **headers)
    error = json.loads(body)['error']
    assert_that(status, matchers.Equals(401))
    assert_that(error['code'], matchers.Equals('unauthenticated'))
    assert_that(
        set(error),
        matchers.Equals({'code', 'message', 'request_id', 'verdict'}),
    )


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('PUT', '/manifest'),
        ('POST', '/drains'),
        ('POST', '/evacuations'),
        ('POST', '/groups/moe/map'),
        ('POST', '/groups/moe/rollback'),
    ],
)
def test_a_viewer_is_refused_changes(deployment, method, path):
    status, _ = _request(
        deployment, method, path, b'{}', **_auth_headers('viewer')
    )
    assert_that(status, matchers.Equals(403))
    assert_that(deployment.entries[0].changes, matchers.Equals(0))


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        (b'', 400),
        (b'[' * 100_000, 400),
        (b'{"request_id":"","expected_revision":0,"manifest":{}}', 400),
        (b'{"request_id":"a","expected_revision":-1,"manifest":{}}', 400),
        (b'{"request_id":"a","expected_revision":0,"manifest":{}}', 422),
        (b'{"request_id":"a","expected_revision":0,"manifest":[[]]}', 422),
        (
            b'{"request_id":"a","expected_revision":0,"manifest":'
            + b'[' * 2000
            + b']' * 2000
            + b'}',
            400,
        ),
        (
            b'{"request_id":"a","expected_revision":0,"manifest":'
            b'{"name":"a","regions":[],"colour":1}}',
            422,
        ),
        (
            b'{"request_id":"a","expected_revision":0,"manifest":'
            b'{"name":"a","regions":[{"id":"r","data_centres":[]}]}}',
            422,
        ),
        (b' ' * (deployments.MAX_BODY_BYTES + 1), 413),
    ],
)
def test_an_invalid_change_gets_an_error_code(deployment, body, status):
    actual, answer = _request(
        deployment, 'PUT', '/manifest', body, **_auth_headers('operator')
    )
    assert_that(actual, matchers.Equals(status), str(answer))
    assert_that(
        json.loads(answer)['error']['verdict'], matchers.Equals('not_run')
    )
    assert_that(deployment.entries[0].changes, matchers.Equals(0))


@FUZZ
@hypothesis.given(st.binary(max_size=300))
def test_any_random_body_gets_an_error_code(deployment, body):
    for method, path in (
        ('PUT', '/manifest'),
        ('POST', '/drains'),
        ('POST', '/evacuations'),
        ('POST', '/groups/moe/map'),
    ):
        status, answer = _request(
            deployment, method, path, body, **_auth_headers('operator')
        )
        assert_that(status, matchers.Equals(400))
        assert_that(
            json.loads(answer)['error']['code'],
            matchers.Equals('bad_request'),
        )


def test_the_operator_is_recorded_with_the_change(deployment):
    body = {
        'request_id': 'by-ann',
        'expected_revision': 0,
        'manifest': {'name': 'a', 'regions': []},
    }
    status, _ = _request(
        deployment,
        'PUT',
        '/manifest',
        json.dumps(body).encode(),
        **_auth_headers('operator'),
    )
    assert_that(status, matchers.Equals(200))
    assert_that(deployment.entries[0].operators, matchers.Equals(['operator']))


def test_an_unexpected_exception_is_answered_and_the_server_goes_on(
    deployment,
):
    entry = deployment.entries[0]
    entry.holder.shared.drains.add(1)
    entry.holder.shared.drains.add('a')
    status, body = _request(
        deployment, 'GET', '/status', **_auth_headers('viewer')
    )
    entry.holder.shared.drains.clear()
    assert_that(status, matchers.Equals(500))
    assert_that(json.loads(body)['error']['code'], matchers.Equals('internal'))
    status, _ = _request(
        deployment, 'GET', '/status', **_auth_headers('viewer')
    )
    assert_that(status, matchers.Equals(200))
