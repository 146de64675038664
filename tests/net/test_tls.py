"""Tests of the TLS contexts made from files."""

import asyncio

import aiohttp
from aiohttp import web
import pytest
from testtools.assertions import assert_that
from testtools import matchers
import trustme

from cassiashift_core import CassiashiftError
from cassiashift_net import tls


@pytest.fixture
def files(tmp_path):
    """Return the paths of an authority, a certificate and its key."""
    authority = trustme.CA()
    certificate = authority.issue_cert('127.0.0.1')
    paths = [tmp_path / name for name in ('ca', 'cert', 'key')]
    authority.cert_pem.write_to_path(paths[0])
    certificate.cert_chain_pems[0].write_to_path(paths[1])
    certificate.private_key_pem.write_to_path(paths[2])
    return [str(path) for path in paths]


async def _fetch(server_context, client_context):
    async def answer(req):
        return web.Response(text='body')

    app = web.Application()
    app.router.add_get('/', answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0, ssl_context=server_context)
    await site.start()
    port = runner.addresses[0][1]
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                f'https://127.0.0.1:{port}/', ssl=client_context
            ) as resp,
        ):
            return await resp.text()
    finally:
        await runner.cleanup()


def test_a_client_that_trusts_the_authority_gets_a_response(files):
    ca, cert, key = files
    contexts = tls.server_context(cert, key), tls.client_context(ca)
    assert_that(asyncio.run(_fetch(*contexts)), matchers.Equals('body'))


def test_a_client_without_the_authority_refuses_the_server(files):
    _, cert, key = files
    contexts = tls.server_context(cert, key), tls.client_context()
    with pytest.raises(aiohttp.ClientConnectorCertificateError):
        asyncio.run(_fetch(*contexts))


def test_no_files_mean_no_tls():
    assert_that(tls.server_context('', ''), matchers.Is(None))


def test_unusable_files_are_named_in_the_error(files):
    ca, cert, _ = files
    with pytest.raises(CassiashiftError, match=cert):
        tls.server_context(cert, ca)
    with pytest.raises(CassiashiftError, match='none'):
        tls.client_context('none')
