"""An outgoing link that monitors the connection to its peer."""

import asyncio
from collections.abc import Callable
import itertools
import time

import attrs
import zmq
from zmq.utils import monitor

from cassiashift_net import ports

STALE_AFTER_S = 1.0
# The name of a monitor is never reused: ZeroMQ releases it some time after the
# monitor was closed.
_MONITOR_NUMBERS = itertools.count()


@attrs.define(eq=False)
class OutgoingLink:
    """A DEALER socket with a monitor of its connection.

    Messages sent before the first connection wait in the socket.

    Attributes:
        on_lost: called with the address when an established connection is
            lost.
        connected: set once the first handshake has succeeded.
        opened_at: monotonic time in seconds.
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
    ) -> 'OutgoingLink':
        """Connect a socket and start its monitor; ``receive`` reads it."""
        link = cls(address, ports.Port(sock, loop, receive), on_lost)
        events = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        name = f'inproc://link-monitor-{next(_MONITOR_NUMBERS)}'
        sock.monitor(name, events)
        monitor_sock = sock.context.socket(zmq.PAIR)
        monitor_sock.connect(name)
        link._monitor = ports.Port(monitor_sock, loop, link._receive_event)
        try:
            sock.connect(address)
        except zmq.ZMQError:
            link.close()
            raise
        link._monitor.start()
        link.port.start()
        return link

    def is_stale(self) -> bool:
        """Return whether no connection succeeded within ``STALE_AFTER_S``."""
        age_s = time.monotonic() - self.opened_at
        return not self.connected.is_set() and age_s > STALE_AFTER_S

    def close(self) -> None:
        """Close the link; drop the messages that are still queued in it.

        The monitor is disabled first. Otherwise the I/O thread of ZeroMQ,
        which serves all sockets, blocks for ever on an event that is not
        read any more.
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
