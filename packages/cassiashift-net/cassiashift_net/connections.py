"""One connection of an outgoing link, with a monitor of its state."""

import asyncio
from collections.abc import Callable
import itertools
import time

import attrs
import zmq
from zmq.utils import monitor

from cassiashift_net import ports

# The name of a monitor is never reused: ZeroMQ releases it some time after the
# monitor was closed.
_MONITOR_NUMBERS = itertools.count()


@attrs.define(eq=False)
class Connection:
    """A DEALER socket with a monitor.

    Messages sent before the first handshake wait in the socket.

    Attributes:
        on_lost: called when an established connection is lost.
        connected: set once the first handshake has succeeded.
        opened_at: monotonic time in seconds.
        replaced_at: monotonic time since which nothing is sent over it.
    """

    port: ports.Port
    on_lost: Callable[[], None]
    connected: asyncio.Event = attrs.field(factory=asyncio.Event)
    opened_at: float = attrs.field(factory=time.monotonic)
    replaced_at: float | None = None
    _monitor: ports.Port | None = None

    @classmethod
    def connect(
        cls,
        sock: zmq.Socket,
        address: str,
        loop: asyncio.AbstractEventLoop,
        receive: Callable[[zmq.Socket], None],
        on_lost: Callable[[], None],
    ) -> 'Connection':
        """Connect a socket and start its monitor; ``receive`` reads it."""
        port = ports.Port(sock, loop, lambda: receive(sock))
        connection = cls(port, on_lost)
        events = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        name = f'inproc://link-monitor-{next(_MONITOR_NUMBERS)}'
        sock.monitor(name, events)
        monitor_sock = sock.context.socket(zmq.PAIR)
        monitor_sock.connect(name)
        connection._monitor = ports.Port(
            monitor_sock, loop, connection._receive_event
        )
        try:
            sock.connect(address)
        except zmq.ZMQError:
            connection.close()
            raise
        connection._monitor.start()
        port.start()
        return connection

    def close(self) -> None:
        """Close the connection; drop the messages still queued in it.

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
            # The event may overtake what arrived before it.
            self.port.receive_all()
            self.on_lost()
