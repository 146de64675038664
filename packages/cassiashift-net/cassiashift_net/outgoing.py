"""One outgoing link, and whether its peer is connected."""

import asyncio
from collections.abc import Callable
import itertools
import time

import attrs
import zmq
from zmq.utils import monitor

from cassiashift_net import ports

STALE_S = 1.0
# Names of monitors are never used twice: a closed one is released late.
_NUMBERS = itertools.count()


@attrs.define(eq=False)
class Outgoing:
    """A DEALER socket with a monitor of its connection.

    Messages sent before the first connection wait in the socket.

    Attributes:
        on_lost: called once an established connection is lost.
    """

    address: str
    port: ports.Port
    on_lost: Callable[[str], None]
    connected: asyncio.Event = attrs.field(factory=asyncio.Event)
    opened_at: float = attrs.field(factory=time.monotonic)
    _monitor: ports.Port | None = None

    @classmethod
    def connect(
        cls,
        sock: zmq.Socket,
        address: str,
        loop: asyncio.AbstractEventLoop,
        receive: Callable[[], None],
        on_lost: Callable[[str], None],
    ) -> 'Outgoing':
        """Connect a socket and watch it."""
        link = cls(address, ports.Port(sock, loop, receive), on_lost)
        events = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        name = f'inproc://link-monitor-{next(_NUMBERS)}'
        sock.monitor(name, events)
        watched = sock.context.socket(zmq.PAIR)
        watched.connect(name)
        link._monitor = ports.Port(watched, loop, link._receive_event)
        try:
            sock.connect(address)
        except zmq.ZMQError:
            link.close()
            raise
        link._monitor.start()
        link.port.start()
        return link

    def is_stale(self) -> bool:
        """Tell whether the peer has not been reached for too long."""
        age_s = time.monotonic() - self.opened_at
        return not self.connected.is_set() and age_s > STALE_S

    def close(self) -> None:
        """Close the link; what still waits in it is dropped.

        Events are ended first: the library's thread, which serves all
        sockets, waits for ever when it has one to report and nobody reads.
        """
        self.port.sock.disable_monitor()
        self._monitor.close()
        self.port.close()

    def _receive_event(self) -> None:
        sock = self._monitor.sock
        event = monitor.recv_monitor_message(sock, zmq.NOBLOCK)
        if event['event'] == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            self.connected.set()
        elif self.connected.is_set():
            self.on_lost(self.address)
