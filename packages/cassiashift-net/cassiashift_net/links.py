"""Links between the system's processes, over ZeroMQ.

A process binds one ROUTER socket and connects a DEALER socket to each peer
that it sends to. A peer's replies arrive on the same socket. While messages
are sent, probes tell whether the connection still carries them; one that
falls silent is replaced.

With a key ring every link is encrypted and authenticated by CURVE. A peer
without a known key is refused in the handshake, and messages of a peer that
uses the name of another host are dropped.
"""

import asyncio
from collections.abc import Callable
import functools
import math
from typing import Any

from absl import logging
import attrs
import zmq

from cassiashift_core import codec
from cassiashift_net import authenticator
from cassiashift_net import keys
from cassiashift_net import outgoing
from cassiashift_net import ports
from cassiashift_net import probes
from cassiashift_net import wire

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
RECONNECT_MS = 50
RECONNECT_MAX_MS = 1000
HANDSHAKE_TIMEOUT_MS = 2000
HEARTBEAT_MS = 1000
HEARTBEAT_TIMEOUT_MS = 4000
OUTBOUND_MESSAGES = 10_000
USER_ID = 'User-Id'
# Separates the host from the number of a connection in a routing id.
NUMBER_MARK = b'\0'

Handler = Callable[['Sender', Any], None]


@attrs.frozen
class Sender:
    """The origin of a message and the way to reply to it.

    Attributes:
        host: the peer's own name on a link that it opened, the peer's
            address on a link that this process opened.
        reply: sends a message back over the same link; returns whether the
            link accepted it.
    """

    host: str
    reply: Callable[[Any], bool]


@attrs.define(eq=False)
class Links:
    """All links of one process.

    Attributes:
        host: the name that peers see.
        on_message: called with the sender and the decoded message.
        ring: the keys for encrypted links, or None for plain ones.
        dropped: messages dropped so far, sent or received, and links that
            could not be opened.
        sent_bytes: bytes of the messages sent so far, without framing
            and probes.
        received_bytes: bytes of the messages received so far, likewise.
        on_lost: called with the address of a peer and a monotonic time:
            answers to what was sent before that time are lost. The time is
            infinite if the link is lost.
    """

    host: str
    on_message: Handler
    loop: asyncio.AbstractEventLoop
    ring: keys.KeyRing | None = None
    dropped: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    _context: zmq.Context = attrs.field(factory=zmq.Context)
    _router: ports.Port | None = None
    on_lost: Callable[[str, float], None] = lambda address, before: None
    _outgoing_links: dict[str, outgoing.OutgoingLink] = attrs.field(
        factory=dict
    )
    _authenticator: authenticator.Authenticator | None = None

    @classmethod
    def from_config(
        cls,
        host: str,
        on_message: Handler,
        ring: keys.KeyRing | None = None,
    ) -> 'Links':
        """Return the links of a host on the running loop."""
        links = cls(host, on_message, asyncio.get_running_loop(), ring)
        if ring is not None:
            links._authenticator = authenticator.Authenticator.from_config(
                links._context, links.loop, ring
            )
        return links

    @property
    def refused_handshakes(self) -> int:
        """Return the number of refused handshakes; 0 without a key ring."""
        return (
            self._authenticator.refused_handshakes
            if self._authenticator
            else 0
        )

    def bind(self, address: str) -> str:
        """Listen at an address; return it with the port that is in use."""
        sock = self._create_socket(zmq.ROUTER)
        sock.setsockopt(zmq.ROUTER_HANDOVER, 1)
        sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if self.ring is not None:
            authenticator.secure_server(sock, self.ring)
        else:
            # With a domain, libzmq refuses peers of protocols before 3.0.
            # Any bytes pass for the oldest one, and may abort the process.
            sock.setsockopt(zmq.ZAP_DOMAIN, authenticator.DOMAIN)
        sock.bind(address)
        self._router = ports.Port(sock, self.loop, self._receive_routed)
        self._router.start()
        return sock.getsockopt_string(zmq.LAST_ENDPOINT)

    def connect(self, address: str) -> None:
        """Open a link to an address, unless there is one.

        With a key ring, only addresses of known hosts get a link. A link
        that can't be opened is logged and counted in ``dropped``.
        """
        if address in self._outgoing_links:
            return
        public = self.ring.find_public_key(address) if self.ring else None
        if self.ring is not None and public is None:
            self._count_dropped('unknown_peer', address)
            return
        try:
            self._open_link(address, public)
        except zmq.ZMQError as exc:
            # For example, no file descriptor is left; other links still work.
            self.dropped += 1
            logging.warning(
                'event=link_not_opened peer=%r error=%r', address, str(exc)
            )

    def _open_link(self, address: str, public: bytes | None) -> None:
        self._outgoing_links[address] = outgoing.OutgoingLink(
            address,
            self.loop,
            functools.partial(self._create_outgoing_socket, public),
            self._receive_from,
            self._handle_lost,
        )

    def _create_outgoing_socket(
        self, public: bytes | None, number: int
    ) -> zmq.Socket:
        sock = self._create_socket(zmq.DEALER)
        try:
            if public is not None:
                authenticator.secure_client(sock, self.ring, public)
            sock.setsockopt(zmq.ROUTING_ID, self._routing_id(number))
        except zmq.ZMQError:
            sock.close(linger=0)
            raise
        return sock

    def _routing_id(self, number: int) -> bytes:
        """Return a name that no other open connection to a peer has."""
        host = self.host.encode()
        return host + NUMBER_MARK + str(number).encode() if number else host

    async def wait_connected(self, address: str, timeout_s: float) -> bool:
        """Wait until the link to an address is connected.

        Return False if it can't be opened or the timeout has passed.
        """
        self._ensure_link(address)
        link = self._outgoing_links.get(address)
        if link is None:
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await link.connected.wait()
        except TimeoutError:
            return False
        return True

    def disconnect(self, address: str) -> None:
        """Close the link to an address."""
        link = self._outgoing_links.pop(address, None)
        if link is not None:
            link.close()

    def send(self, address: str, message: Any) -> bool:
        """Queue a message for an address; return whether the link accepted it.

        An accepted message may still get lost. A link that has not connected
        for ``outgoing.STALE_AFTER_S`` is replaced by a new one, so that a
        peer that comes back receives no old messages.
        """
        self._ensure_link(address)
        link = self._outgoing_links.get(address)
        if link is None:
            return False
        frames = list(wire.CODEC.encode_frames(message))
        try:
            link.send(frames)
        except zmq.ZMQError:
            self.dropped += 1
            return False
        self.sent_bytes += sum(map(len, frames))
        return True

    def _ensure_link(self, address: str) -> None:
        link = self._outgoing_links.get(address)
        if link is not None and link.is_stale():
            self.disconnect(address)
        self.connect(address)

    def _handle_lost(self, address: str, before: float) -> None:
        if before == math.inf:
            self.disconnect(address)
        self.on_lost(address, before)

    def close(self, linger_s: float = 0.0) -> None:
        """Close every link and the sockets of this process.

        Args:
            linger_s: seconds to wait at most until replies are sent; the
                calling thread is blocked meanwhile.
        """
        for address in list(self._outgoing_links):
            self.disconnect(address)
        if self._router is not None:
            self._router.close(linger_s)
        if self._authenticator is not None:
            self._authenticator.close()
        self._context.term()

    def _create_socket(self, kind: int) -> zmq.Socket:
        sock = self._context.socket(kind)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        sock.setsockopt(zmq.SNDHWM, OUTBOUND_MESSAGES)
        sock.setsockopt(zmq.RCVHWM, OUTBOUND_MESSAGES)
        sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        return sock

    def _receive_routed(self) -> None:
        frames = self._receive_verified_frames()
        identity = frames[0]
        if probes.is_probe(frames[1:]):
            self._answer_probe(identity, frames[1:])
            return
        sender = Sender(
            _host_of(identity), lambda message: self._reply(identity, message)
        )
        self._deliver(sender, frames[1:])

    def _answer_probe(self, identity: bytes, frames: list[bytes]) -> None:
        try:
            answer = probes.answer_frames(frames)
        except probes.MalformedProbeError:
            self._count_dropped('probe', _host_of(identity))
            return
        self._transmit(self._router, [identity, *answer])

    def _receive_verified_frames(self) -> list[bytes]:
        """Receive one message; drop its content if the sender's name is false.

        With a key ring the routing id must be the host that the key of the
        connection belongs to.
        """
        if self.ring is None:
            return self._router.sock.recv_multipart(zmq.NOBLOCK)
        parts = self._router.sock.recv_multipart(zmq.NOBLOCK, copy=False)
        frames = [part.bytes for part in parts]
        if _host_of(frames[0]) != parts[-1].get(USER_ID):
            return frames[:1]
        return frames

    def _receive_from(self, address: str, frames: list[bytes]) -> None:
        sender = Sender(address, lambda message: self.send(address, message))
        self._deliver(sender, frames)

    def _deliver(self, sender: Sender, frames: list[bytes]) -> None:
        self.received_bytes += sum(map(len, frames))
        if len(frames) != 2:
            self._count_dropped('frames', sender.host)
            return
        try:
            message = wire.CODEC.decode_frames(frames[0], frames[1])
        except codec.DecodeError:
            self._count_dropped('decode', sender.host)
            return
        try:
            self.on_message(sender, message)
        except Exception:
            logging.exception(
                'event=handler_failed peer=%s message=%s',
                sender.host,
                type(message).__name__,
            )

    def _reply(self, identity: bytes, message: Any) -> bool:
        frames = list(wire.CODEC.encode_frames(message))
        is_accepted = self._transmit(self._router, [identity, *frames])
        if is_accepted:
            self.sent_bytes += sum(map(len, frames))
        return is_accepted

    def _transmit(self, port: ports.Port, frames: list[bytes]) -> bool:
        try:
            port.sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped += 1
            return False
        finally:
            port.schedule()
        return True

    def _count_dropped(self, reason: str, peer: str) -> None:
        self.dropped += 1
        logging.warning(
            'event=message_dropped reason=%s peer=%r', reason, peer
        )


def _host_of(identity: bytes) -> str:
    """Return the host in a routing id."""
    return identity.partition(NUMBER_MARK)[0].decode('utf-8', 'replace')
