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

QUESTION = messages.PoolQuery('drafting@1')
ANSWER = messages.PoolAnswer('drafting@1', 'nitra', ())
PATIENCE_S = 20.0
SILENCE_S = 0.5


@attrs.define
class Peer:
    """Links with what they received."""

    own: links.Links = None
    received: list = attrs.field(factory=list)
    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)

    def on_message(self, sender, message):
        """Keep a message and answer a question."""
        self.received.append((sender.host, message))
        self.arrived.set()
        if isinstance(message, messages.PoolQuery):
            sender.reply(ANSWER)

    @classmethod
    def opened(cls, host, ring=None):
        """Return a peer with open links."""
        peer = cls()
        peer.own = links.Links.from_config(host, peer.on_message, ring)
        return peer

    async def waited(self):
        """Return what was received once there is something."""
        await asyncio.wait_for(self.arrived.wait(), PATIENCE_S)
        return self.received


@pytest.fixture
def folders(tmp_path):
    """Return the folder of secrets and the folder of known hosts."""
    known = tmp_path / 'known'
    known.mkdir()
    return tmp_path / 'secret', known


def _make(folders, host, link='tcp://127.0.0.1:1', is_known=True):
    secrets, known = folders
    public = keys.create_pair(secrets, host, link)
    if is_known:
        (known / public.name).write_bytes(public.read_bytes())
    return keys.KeyRing.from_files(
        str(public.with_suffix(keys.SECRET_SUFFIX)), str(known)
    )


def _move(folders, host, address):
    """Give a host's public file the address that it bound."""
    path = folders[1] / f'{host}.key'
    text = path.read_text().replace('tcp://127.0.0.1:1"', f'{address}"')
    replacement = folders[1] / 'new'
    replacement.write_text(text)
    os.replace(replacement, path)


def test_a_message_is_answered_without_keys():
    async def scenario():
        server, caller = Peer.opened('a'), Peer.opened('b')
        address = server.own.bind('tcp://127.0.0.1:*')
        caller.own.send(address, QUESTION)
        received = await caller.waited()
        for peer in (server, caller):
            peer.own.close()
        return server.received, received, address

    served, received, address = asyncio.run(scenario())
    assert_that(served, matchers.Equals([('b', QUESTION)]))
    assert_that(received, matchers.Equals([(address, ANSWER)]))


def test_known_hosts_talk_over_curve(folders):
    async def scenario():
        server = Peer.opened('a', _make(folders, 'a'))
        address = server.own.bind('tcp://127.0.0.1:*')
        _move(folders, 'a', address)
        caller = Peer.opened('b', _make(folders, 'b'))
        caller.own.send(address, QUESTION)
        received = await caller.waited()
        for peer in (server, caller):
            peer.own.close()
        return server.received, received

    served, received = asyncio.run(scenario())
    assert_that(served, matchers.Equals([('b', QUESTION)]))
    assert_that(received[0][1], matchers.Equals(ANSWER))


def _raw_exchange(folders, configure, is_heard=False):
    """Return what a raw peer and the server got from each other."""

    async def scenario():
        server = Peer.opened('a', _make(folders, 'a'))
        address = server.own.bind('tcp://127.0.0.1:*')
        context = zmq.Context()
        sock = context.socket(zmq.DEALER)
        sock.setsockopt(zmq.LINGER, 0)
        configure(sock, server.own.ring)
        sock.connect(address)
        sock.send_multipart(list(messages.CODEC.encode_frames(QUESTION)))
        await (server.waited() if is_heard else asyncio.sleep(SILENCE_S))
        try:
            got = sock.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            got = None
        sock.close()
        context.term()
        server.own.close()
        return server.received, got

    return asyncio.run(scenario())


def test_a_peer_without_a_key_gets_no_byte(folders):
    served, got = _raw_exchange(folders, lambda sock, ring: None)
    assert_that(served, matchers.HasLength(0))
    assert_that(got, matchers.Is(None))


def test_a_peer_with_an_unknown_key_gets_no_byte(folders):
    def configure(sock, ring):
        public, secret = zmq.curve_keypair()
        sock.setsockopt(zmq.CURVE_SERVERKEY, ring.own.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, secret)

    served, got = _raw_exchange(folders, configure)
    assert_that(served, matchers.HasLength(0))
    assert_that(got, matchers.Is(None))


def test_a_host_that_takes_the_name_of_another_is_not_heard(folders):
    other = _make(folders, 'b')

    def configure(sock, ring):
        sock.setsockopt(zmq.ROUTING_ID, b'c')
        sock.setsockopt(zmq.CURVE_SERVERKEY, ring.own.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, other.own.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, other.own.secret)

    served, got = _raw_exchange(folders, configure)
    assert_that(served, matchers.HasLength(0))
    assert_that(got, matchers.Is(None))


def test_the_same_host_under_its_own_name_is_heard(folders):
    """The control of the test above: only the name differs."""
    other = _make(folders, 'b')

    def configure(sock, ring):
        sock.setsockopt(zmq.ROUTING_ID, b'b')
        sock.setsockopt(zmq.CURVE_SERVERKEY, ring.own.public)
        sock.setsockopt(zmq.CURVE_PUBLICKEY, other.own.public)
        sock.setsockopt(zmq.CURVE_SECRETKEY, other.own.secret)

    served, _ = _raw_exchange(folders, configure, is_heard=True)
    assert_that(served, matchers.Equals([('b', QUESTION)]))


def test_an_address_of_no_known_host_gets_no_link(folders):
    async def scenario():
        caller = Peer.opened('b', _make(folders, 'b'))
        caller.own.send('tcp://127.0.0.1:9', QUESTION)
        dropped = caller.own.dropped
        caller.own.close()
        return dropped

    assert_that(asyncio.run(scenario()), matchers.Equals(1))


def test_a_new_host_is_known_without_a_restart(folders):
    ring = _make(folders, 'a')
    added = _make(folders, 'b', is_known=False)
    assert_that(ring.host_of(added.own.public), matchers.Is(None))
    source = folders[0] / 'b.key'
    (folders[1] / 'b.key').write_bytes(source.read_bytes())
    assert_that(ring.host_of(added.own.public), matchers.Equals('b'))


def test_a_peer_that_was_refused_is_heard_once_its_key_is_known(folders):
    async def scenario():
        server = Peer.opened('a', _make(folders, 'a'))
        address = server.own.bind('tcp://127.0.0.1:*')
        _move(folders, 'a', address)
        caller = Peer.opened('b', _make(folders, 'b', is_known=False))
        caller.own.send(address, QUESTION)
        while not server.own.refused:
            await asyncio.sleep(0.01)
        early = list(server.received)
        source = folders[0] / 'b.key'
        (folders[1] / 'b.key').write_bytes(source.read_bytes())
        await caller.waited()
        for peer in (server, caller):
            peer.own.close()
        return early, server.received

    early, late = asyncio.run(scenario())
    assert_that(early, matchers.HasLength(0))
    assert_that(late, matchers.Equals([('b', QUESTION)]))


def test_a_secret_that_others_may_read_is_refused(folders):
    _make(folders, 'a')
    path = folders[0] / f'a{keys.SECRET_SUFFIX}'
    assert_that(path.stat().st_mode & 0o777, matchers.Equals(0o600))
    path.chmod(0o644)
    with pytest.raises(CassiashiftError, match='mode must be 600'):
        keys.load_pair(path)


def test_a_key_is_never_overwritten(folders):
    _make(folders, 'a')
    with pytest.raises(CassiashiftError, match='exists'):
        keys.create_pair(folders[0], 'a', 'tcp://127.0.0.1:1')


@pytest.mark.parametrize('name', ['', '../a', 'a/b', 'a\n', '-a', 'a' * 65])
def test_a_name_that_could_leave_the_folder_is_refused(folders, name):
    with pytest.raises(CassiashiftError, match='usable name'):
        keys.create_pair(folders[0], name, 'tcp://127.0.0.1:1')


@pytest.mark.parametrize('content', [b'', b'x' * 5000, b'\xff', b'curve\n'])
def test_a_damaged_key_file_is_named(folders, content):
    path = folders[1] / 'a.key'
    path.write_bytes(content)
    with pytest.raises(CassiashiftError, match='a.key'):
        keys.load_public(path)


async def test_a_link_that_can_not_be_opened_leaves_the_others():
    peer, other = Peer.opened('b'), Peer.opened('c')
    address = other.own.bind('tcp://127.0.0.1:*')
    assert_that(peer.own.send('tcp://no port', QUESTION), matchers.Is(False))
    assert_that(peer.own.send(address, QUESTION), matchers.Is(True))
    await other.waited()
    assert_that(peer.own.dropped, matchers.Equals(1))
    peer.own.close()
    other.own.close()
