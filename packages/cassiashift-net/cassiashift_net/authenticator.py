"""Authenticates peers by their CURVE keys, on the event loop.

For each handshake ZeroMQ sends a request of the protocol ZAP (RFC 27) to an
in-process address. The authenticators of pyzmq need a thread of their own;
this one uses the event loop like every other socket of the process.
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
STATUS_ACCEPTED = b'200'
# A temporary error: the peer retries, and its key may be known by then.
STATUS_REFUSED = b'300'
LOG_INTERVAL_S = 10


@attrs.define(eq=False)
class Authenticator:
    """Accepts the keys of known hosts; the ZAP user id is the host's name.

    Attributes:
        refused_handshakes: how many were refused so far.
    """

    sock: zmq.Socket
    ring: keys.KeyRing
    refused_handshakes: int = 0
    _port: ports.Port | None = None

    @classmethod
    def from_config(
        cls,
        context: zmq.Context,
        loop: asyncio.AbstractEventLoop,
        ring: keys.KeyRing,
    ) -> 'Authenticator':
        """Bind an authenticator in a context and start it on the loop."""
        sock = context.socket(zmq.REP)
        sock.setsockopt(zmq.LINGER, 0)
        sock.bind(ADDRESS)
        created = cls(sock, ring)
        created._port = ports.Port(sock, loop, created._receive)
        created._port.start()
        return created

    def close(self) -> None:
        """Stop answering requests and close the socket."""
        self._port.close()

    def _receive(self) -> None:
        frames = self.sock.recv_multipart(zmq.NOBLOCK)
        host = self._find_host(frames)
        zap_request_id = frames[1] if len(frames) > 1 else b''
        if host is None:
            self.refused_handshakes += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                'event=peer_refused reason=unknown_key count=%d',
                LOG_INTERVAL_S,
                self.refused_handshakes,
            )
            reply = [
                VERSION,
                zap_request_id,
                STATUS_REFUSED,
                b'unknown key',
                b'',
                b'',
            ]
        else:
            user_id = host.encode()
            reply = [
                VERSION,
                zap_request_id,
                STATUS_ACCEPTED,
                b'',
                user_id,
                b'',
            ]
        self.sock.send_multipart(reply, zmq.NOBLOCK)

    def _find_host(self, frames: list[bytes]) -> str | None:
        if len(frames) != REQUEST_FRAMES or frames[0] != VERSION:
            return None
        if frames[2] != DOMAIN or frames[5] != MECHANISM:
            return None
        try:
            return self.ring.find_host(z85.encode(frames[6]))
        except ValueError:
            return None


def secure_server(sock: zmq.Socket, ring: keys.KeyRing) -> None:
    """Configure a socket, before its bind, to accept known hosts only."""
    sock.setsockopt(zmq.CURVE_SERVER, 1)
    sock.setsockopt(zmq.CURVE_PUBLICKEY, ring.own_pair.public)
    sock.setsockopt(zmq.CURVE_SECRETKEY, ring.own_pair.secret)
    sock.setsockopt(zmq.ZAP_DOMAIN, DOMAIN)


def secure_client(sock: zmq.Socket, ring: keys.KeyRing, server: bytes) -> None:
    """Configure a socket, before its connect, for CURVE as a client.

    Args:
        server: the public key that the peer must have.
    """
    sock.setsockopt(zmq.CURVE_SERVERKEY, server)
    sock.setsockopt(zmq.CURVE_PUBLICKEY, ring.own_pair.public)
    sock.setsockopt(zmq.CURVE_SECRETKEY, ring.own_pair.secret)
