"""Authenticates peers by their CURVE keys, on the loop.

ZeroMQ asks for each handshake over the protocol of RFC 27 (ZAP) at an
in-process address. The library's own authenticators run a thread of their
own; this one is read like every other socket of the process.
"""

import asyncio

from absl import logging
import attrs
import zmq
from zmq.utils import z85

from cassiashift_net import keys
from cassiashift_net import ports

ADDRESS = 'inproc://zeromq.zap.01'
DOMAIN = b'cassiashift'
VERSION = b'1.0'
MECHANISM = b'CURVE'
REQUEST_FRAMES = 7
ACCEPTED = b'200'
# A temporary refusal: the peer tries again, and its key may be known then.
REFUSED = b'300'
LOG_INTERVAL_S = 10


@attrs.define(eq=False)
class Authenticator:
    """Answers whether a key may take part; the user id is its host."""

    sock: zmq.Socket
    ring: keys.KeyRing
    refused: int = 0
    _port: ports.Port | None = None

    @classmethod
    def from_config(
        cls,
        context: zmq.Context,
        loop: asyncio.AbstractEventLoop,
        ring: keys.KeyRing,
    ) -> 'Authenticator':
        """Return a running authenticator of a context."""
        sock = context.socket(zmq.REP)
        sock.setsockopt(zmq.LINGER, 0)
        sock.bind(ADDRESS)
        found = cls(sock, ring)
        found._port = ports.Port(sock, loop, found._receive)
        found._port.start()
        return found

    def close(self) -> None:
        """Stop answering."""
        self._port.close()

    def _receive(self) -> None:
        frames = self.sock.recv_multipart(zmq.NOBLOCK)
        host = self._host(frames)
        request = frames[1] if len(frames) > 1 else b''
        if host is None:
            self.refused += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                'event=peer_refused reason=unknown_key count=%d',
                LOG_INTERVAL_S,
                self.refused,
            )
            answer = [VERSION, request, REFUSED, b'unknown key', b'', b'']
        else:
            user = host.encode()
            answer = [VERSION, request, ACCEPTED, b'', user, b'']
        self.sock.send_multipart(answer, zmq.NOBLOCK)

    def _host(self, frames: list[bytes]) -> str | None:
        if len(frames) != REQUEST_FRAMES or frames[0] != VERSION:
            return None
        if frames[2] != DOMAIN or frames[5] != MECHANISM:
            return None
        try:
            return self.ring.host_of(z85.encode(frames[6]))
        except ValueError:
            return None


def secure_server(sock: zmq.Socket, ring: keys.KeyRing) -> None:
    """Let a socket that will be bound accept known peers only."""
    sock.setsockopt(zmq.CURVE_SERVER, 1)
    sock.setsockopt(zmq.CURVE_PUBLICKEY, ring.own.public)
    sock.setsockopt(zmq.CURVE_SECRETKEY, ring.own.secret)
    sock.setsockopt(zmq.ZAP_DOMAIN, DOMAIN)


def secure_client(sock: zmq.Socket, ring: keys.KeyRing, server: bytes) -> None:
    """Let a socket that will connect prove its key and check the peer's."""
    sock.setsockopt(zmq.CURVE_SERVERKEY, server)
    sock.setsockopt(zmq.CURVE_PUBLICKEY, ring.own.public)
    sock.setsockopt(zmq.CURVE_SECRETKEY, ring.own.secret)
