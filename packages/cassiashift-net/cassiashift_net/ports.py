"""ZeroMQ sockets that are read by the asyncio event loop."""

import asyncio
from collections.abc import Callable

import attrs
import zmq

MAX_BATCH_MESSAGES = 256


@attrs.define(eq=False)
class Port:
    """A ZeroMQ socket that is read by the event loop.

    Attributes:
        receive_one: receives one message; raises ``zmq.Again`` without one.
    """

    sock: zmq.Socket
    loop: asyncio.AbstractEventLoop
    receive_one: Callable[[], None]
    scheduled: bool = False
    _descriptor: int = -1

    def start(self) -> None:
        """Start to read the socket when its descriptor is ready."""
        self._descriptor = self.sock.FD
        self.loop.add_reader(self._descriptor, self.receive_batch)
        self.schedule()

    def schedule(self) -> None:
        """Schedule a read: the socket's descriptor is edge-triggered."""
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.receive_batch)

    def receive_batch(self) -> None:
        """Receive up to ``MAX_BATCH_MESSAGES``, then let other tasks run."""
        self.scheduled = False
        for _ in range(MAX_BATCH_MESSAGES):
            if self.sock.closed:
                return
            try:
                self.receive_one()
            except zmq.Again:
                return
        self.schedule()

    def receive_all(self) -> None:
        """Receive everything that has arrived."""
        while not self.sock.closed:
            try:
                self.receive_one()
            except zmq.Again:
                return

    def close(self, linger_s: float = 0.0) -> None:
        """Stop reading the socket and close it.

        Args:
            linger_s: seconds for which its context, as it ends, waits for
                messages to be sent.
        """
        if self._descriptor >= 0:
            self.loop.remove_reader(self._descriptor)
            self._descriptor = -1
        self.sock.close(linger=round(1000 * linger_s))
