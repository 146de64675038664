"""Sockets of ZeroMQ, read by the loop."""

import asyncio
from collections.abc import Callable

import attrs
import zmq

BATCH_MESSAGES = 256


@attrs.define(eq=False)
class Port:
    """One socket read by the loop."""

    sock: zmq.Socket
    loop: asyncio.AbstractEventLoop
    receive: Callable[[], None]
    scheduled: bool = False
    _descriptor: int = -1

    def start(self) -> None:
        """Watch the socket."""
        self._descriptor = self.sock.FD
        self.loop.add_reader(self._descriptor, self.drain)
        self.schedule()

    def schedule(self) -> None:
        """Read again soon: the socket's descriptor is edge-triggered."""
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_soon(self.drain)

    def drain(self) -> None:
        """Receive what has arrived, a bounded number at a time."""
        self.scheduled = False
        for _ in range(BATCH_MESSAGES):
            if self.sock.closed:
                return
            try:
                self.receive()
            except zmq.Again:
                return
        self.schedule()

    def close(self) -> None:
        """Stop watching the socket and close it."""
        if self._descriptor >= 0:
            self.loop.remove_reader(self._descriptor)
            self._descriptor = -1
        self.sock.close(linger=0)
