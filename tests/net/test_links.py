"""Tests of the links between processes, with and without keys."""

import asyncio
import os

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers
import zmq

from cassiashift_core import CassiashiftError
from cassiashift_net import keys
from cassiashift_net import links
from cassiashift_net import messages

QUERY = messages.PoolQuery('drafting@1')
REPLY = messages.PoolAnswer('drafting@1', 'nitra', ())
TIMEOUT_S = 20.0
NO_REPLY_S = 0.5


@attrs.define
class RecordingPeer:
    """Links that record the messages they receive."""

    own_links: links.Links = None
    received: list = attrs.field(factory=list)
    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)

    def on_message(self, sender, message):
        """Record a message; reply to a query."""
        self.received.append((sender.host, message))
        self.arrived.set()
        if isinstance(message, messages.PoolQuery):
            sender.reply(REPLY)

    @classmethod
    def open_links(cls, host, ring=None):
        """Return a peer whose links run on the current loop."""
        peer = cls()
        peer.own_links = links.Links.from_config(host, peer.on_message, ring)
        return peer

    async def wait_received(self):
        """Wait for the first message; return all that were received."""
        await asyncio.wait_for(self.arrived.wait(), TIMEOUT_S)
        return self.received


@pytest.fixture
def folders(tmp_path):
    """Return the folders of the key pairs and of the known hosts."""
    known = tmp_path / 'known'
    known.mkdir()
    return tmp_path / 'secret', known


def _make_key_ring(folders, host, link='tcp://127.0.0.1:1', is_known=True):
    secrets, known = folders
    public = keys.create_pair(secrets, host, link)
    if is_known:
        (known / public.name).write_bytes(public.read_bytes())
    return keys.KeyRing.from_files(
        str(public.with_suffix(keys.SECRET_SUFFIX)), str(known)
    )


def _set_link_address(folders, host, address):
    """Replace the address in a host's public file by the one it bound."""
    path = folders[1] / f'{host}.key'
    text = path.read_text().replace('tcp://127.0.0.1:1"', f'{address}"')
    replacement = folders[1] / 'new'
    replacement.write_text(text)
    os.replace(replacement, path)


def test_a_query_is_answered_without_keys():
    async def scenario():
        server, caller = (
            RecordingPeer.open_links('a'),
            RecordingPeer.open_links('b'),
        )
        address = server.own_links.bind('tcp://127.0.0.1:*')
        caller.own_links.send(address, QUERY)
        received = await caller.wait_received()
        for peer in (server, caller):
            peer.own_links.close()
        return server.received, received, address

    served, received, address = asyncio.run(scenario())
    assert_that(served, matchers.Equals([('b', QUERY)]))
    assert_that(received, matchers.Equals([(address, REPLY)]))


def test_known_hosts_exchange_messages_over_curve(folders):
    async def scenario():
        server = RecordingPeer.open_links('a', _make_key_ring(folders, 'a'))
        address = server.own_links.bind('tcp://127.0.0.1:*')
        _set_link_address(folders, 'a', address)
        caller = RecordingPeer.open_links('b', _make_key_ring(folders, 'b'))
        caller.own_links.send(address, QUERY)
        received = await caller.wait_received()
        for peer in (server, caller):
            peer.own_links.close()
        return server.received, received

    served, received = asyncio.run(scenario())
    assert_that(served, matchers.Equals([('b', QUERY)]))
    assert_that(received[0][1], matchers.Equals(REPLY))


def _exchange_raw(folders, configure, is_accepted=False):
    """Send a query from a plain ZeroMQ socket.

    Return what the server received and the reply to the socket or None.
    """

    async def scenario():
        server = RecordingPeer.open_links('a', _make_key_ring(folders, 'a'))
        address = server.own_links.bind('tcp://127.0.0.1:*')
        context = zmq.Context()
        sock = context.socket(zmq.DEALER)
        sock.setsockopt(zmq.LINGER, 0)
        configure(sock, server.own_links.ring)
        sock.connect(address)
        sock.send_multipart(list(messages.CODEC.encode_frames(QUERY)))
        await (
            server.wait_received()
            if is_accepted
            else asyncio.sleep(NO_REPLY_S)
        )
        try:
            reply = sock.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            reply = None
        sock.close()
        context.term()
        server.own_links.close()
        return server.received, reply

    return asyncio.run(scenario())


def test_a_peer_without_a_key_is_refused(folders):
    served, reply = _exchange_raw(folders, lambda sock, ring: None)
    assert_that(served, matchers.HasLength(0))
    assert_that(reply, matchers.Is(None))


def test_a_peer_with_an_unknown_key_is_refused(folders):
    def configure(sock, ring):
        public, secret = zmq.curve_keypair()
        sock.setsockopt(zmq.CURVE_SERVERKEY, ring.own_pair.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, secret)

    served, reply = _exchange_raw(folders, configure)
    assert_that(served, matchers.HasLength(0))
    assert_that(reply, matchers.Is(None))


def test_a_message_under_the_name_of_another_host_is_dropped(folders):
    other = _make_key_ring(folders, 'b')

    def configure(sock, ring):
        sock.setsockopt(zmq.ROUTING_ID, b'c')
        sock.setsockopt(zmq.CURVE_SERVERKEY, ring.own_pair.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, other.own_pair.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, other.own_pair.secret)

    served, reply = _exchange_raw(folders, configure)
    assert_that(served, matchers.HasLength(0))
    assert_that(reply, matchers.Is(None))


def test_a_message_under_the_own_name_is_received(folders):
    """Control for the test above, which differs only in the name."""
    other = _make_key_ring(folders, 'b')

    def configure(sock, ring):
        sock.setsockopt(zmq.ROUTING_ID, b'b')
        sock.setsockopt(zmq.CURVE_SERVERKEY, ring.own_pair.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, other.own_pair.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, other.own_pair.secret)

    served, _ = _exchange_raw(folders, configure, is_accepted=True)
    assert_that(served, matchers.Equals([('b', QUERY)]))


def test_no_link_is_opened_to_an_unknown_address(folders):
    async def scenario():
        caller = RecordingPeer.open_links('b', _make_key_ring(folders, 'b'))
        caller.own_links.send('tcp://127.0.0.1:9', QUERY)
        dropped = caller.own_links.dropped
        caller.own_links.close()
        return dropped

    assert_that(asyncio.run(scenario()), matchers.Equals(1))


def test_a_key_added_later_is_found(folders):
    ring = _make_key_ring(folders, 'a')
    added = _make_key_ring(folders, 'b', is_known=False)
    assert_that(ring.find_host(added.own_pair.public), matchers.Is(None))
    source = folders[0] / 'b.key'
    (folders[1] / 'b.key').write_bytes(source.read_bytes())
    assert_that(ring.find_host(added.own_pair.public), matchers.Equals('b'))


def test_a_refused_peer_is_accepted_once_its_key_is_known(folders):
    async def scenario():
        server = RecordingPeer.open_links('a', _make_key_ring(folders, 'a'))
        address = server.own_links.bind('tcp://127.0.0.1:*')
        _set_link_address(folders, 'a', address)
        caller = RecordingPeer.open_links(
            'b', _make_key_ring(folders, 'b', is_known=False)
        )
        caller.own_links.send(address, QUERY)
        while not server.own_links.refused_handshakes:
            await asyncio.sleep(0.01)
        before = list(server.received)
        source = folders[0] / 'b.key'
        (folders[1] / 'b.key').write_bytes(source.read_bytes())
        await caller.wait_received()
        for peer in (server, caller):
            peer.own_links.close()
        return before, server.received

    before, after = asyncio.run(scenario())
    assert_that(before, matchers.HasLength(0))
    assert_that(after, matchers.Equals([('b', QUERY)]))


def test_a_secret_file_readable_by_others_is_refused(folders):
    _make_key_ring(folders, 'a')
    path = folders[0] / f'a{keys.SECRET_SUFFIX}'
    assert_that(path.stat().st_mode & 0o777, matchers.Equals(0o600))
    path.chmod(0o644)
    with pytest.raises(CassiashiftError, match='mode must be 600'):
        keys.load_key_pair(path)


def test_a_key_is_never_overwritten(folders):
    _make_key_ring(folders, 'a')
    with pytest.raises(CassiashiftError, match='exists'):
        keys.create_pair(folders[0], 'a', 'tcp://127.0.0.1:1')


@pytest.mark.parametrize('name', ['', '../a', 'a/b', 'a\n', '-a', 'a' * 65])
def test_an_invalid_host_name_is_refused(folders, name):
    with pytest.raises(CassiashiftError, match='usable name'):
        keys.create_pair(folders[0], name, 'tcp://127.0.0.1:1')


@pytest.mark.parametrize('content', [b'', b'x' * 5000, b'\xff', b'curve\n'])
def test_a_damaged_key_file_is_named_in_the_error(folders, content):
    path = folders[1] / 'a.key'
    path.write_bytes(content)
    with pytest.raises(CassiashiftError, match='a.key'):
        keys.load_known_host(path)


async def test_a_link_that_fails_to_open_does_not_affect_others():
    peer, other = RecordingPeer.open_links('b'), RecordingPeer.open_links('c')
    address = other.own_links.bind('tcp://127.0.0.1:*')
    assert_that(
        peer.own_links.send('tcp://no port', QUERY), matchers.Is(False)
    )
    assert_that(peer.own_links.send(address, QUERY), matchers.Is(True))
    await other.wait_received()
    assert_that(peer.own_links.dropped, matchers.Equals(1))
    peer.own_links.close()
    other.own_links.close()


async def test_links_count_the_bytes_of_messages_in_both_directions():
    peer = RecordingPeer.open_links('front-2')
    own = RecordingPeer.open_links('front-1')
    address = peer.own_links.bind('tcp://127.0.0.1:*')
    own.own_links.send(address, QUERY)
    await own.wait_received()
    for first, second in ((own, peer), (peer, own)):
        sent = first.own_links.sent_bytes
        assert_that(sent, matchers.GreaterThan(len(QUERY.pool)))
        assert_that(second.own_links.received_bytes, matchers.Equals(sent))
    own.own_links.close()
    peer.own_links.close()


async def test_messages_that_arrived_before_the_end_of_a_link_are_received():
    """Guards against the event of the end, which may overtake them."""
    replies = 600
    asked = asyncio.Queue()
    received = []
    received_at_end = []
    answering = links.Links.from_config(
        'runner-1', lambda sender, message: asked.put_nowait(sender)
    )
    asking = links.Links.from_config(
        'entry-1', lambda sender, message: received.append(message)
    )
    asking.on_lost = lambda address, before: received_at_end.append(
        len(received)
    )
    asking.send(answering.bind('tcp://127.0.0.1:0'), QUERY)
    sender = await asyncio.wait_for(asked.get(), TIMEOUT_S)
    for _ in range(replies):
        sender.reply(REPLY)
    answering.close(linger_s=TIMEOUT_S)
    async with asyncio.timeout(TIMEOUT_S):
        while not received_at_end:
            await asyncio.sleep(0.01)
    asking.close()
    assert_that(received_at_end, matchers.Equals([replies]))
