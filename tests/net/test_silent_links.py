"""Tests of links whose connection falls silent without a reset."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools import matchers
import zmq

from cassiashift_net import messages
from cassiashift_net import probes
from tests.net import silent_proxy
from tests.net import test_links

DIRECTIONS = [{'to_peer'}, {'from_peer'}, {'to_peer', 'from_peer'}]
SEND_INTERVAL_S = 0.02
TIMEOUT_S = 20.0


async def _exchange(caller, address):
    """Send queries until the answer to a new one arrives."""
    caller.received.clear()
    caller.arrived.clear()
    async with asyncio.timeout(TIMEOUT_S):
        while not caller.received:
            caller.own_links.send(address, test_links.QUERY)
            await asyncio.sleep(SEND_INTERVAL_S)


async def _wait_probed(caller, address):
    """Wait until a probe of the link was answered."""
    link = caller.own_links._outgoing_links[address]
    async with asyncio.timeout(TIMEOUT_S):
        while not link.health._has_answered:
            await asyncio.sleep(SEND_INTERVAL_S)


@pytest.fixture
async def proxied():
    """Return a caller, the proxy to its server and the proxy's address."""
    server = test_links.RecordingPeer.open_links('a')
    bound = server.own_links.bind('tcp://127.0.0.1:*')
    proxy = silent_proxy.SilentProxy(int(bound.rpartition(':')[2]))
    address = await proxy.open()
    caller = test_links.RecordingPeer.open_links('b')
    yield caller, proxy, address, server
    caller.own_links.close()
    server.own_links.close()
    await proxy.close()


@pytest.mark.parametrize('directions', DIRECTIONS)
async def test_a_silent_connection_is_replaced_before_it_is_closed(
    proxied, directions
):
    caller, proxy, address, server = proxied
    await _exchange(caller, address)
    await _wait_probed(caller, address)
    for _ in range(2):
        proxy.hold(directions)
        silent = proxy.connections[-1]
        await _exchange(caller, address)
        assert_that(silent.is_closed, matchers.Is(False))
    assert_that({host for host, _ in server.received}, matchers.Equals({'b'}))


async def test_a_malformed_answer_to_a_probe_closes_the_link(proxied):
    caller, proxy, _, _ = proxied
    context = zmq.Context()
    sock = context.socket(zmq.ROUTER)
    port = sock.bind_to_random_port('tcp://127.0.0.1')
    address = f'tcp://127.0.0.1:{port}'
    lost = asyncio.Event()
    caller.own_links.on_lost = lambda address, before: lost.set()
    caller.own_links.send(address, test_links.QUERY)
    async with asyncio.timeout(TIMEOUT_S):
        while not sock.poll(0):
            await asyncio.sleep(SEND_INTERVAL_S)
        identity = sock.recv_multipart()[0]
        sock.send_multipart([identity, probes.ANSWER, b'x'])
        await lost.wait()
    assert_that(caller.own_links._outgoing_links, matchers.Equals({}))
    sock.close(linger=0)
    context.term()


async def test_a_malformed_probe_is_dropped(proxied):
    caller, _, address, server = proxied
    await _exchange(caller, address)
    server.received.clear()
    link = caller.own_links._outgoing_links[address]
    for frames in ([probes.PROBE], [probes.PROBE, b''], [probes.PROBE] * 3):
        link.send(frames)
    await _exchange(caller, address)
    assert_that(server.own_links.dropped, matchers.Equals(3))
    for _, message in server.received:
        assert_that(message, matchers.IsInstance(messages.PoolQuery))
