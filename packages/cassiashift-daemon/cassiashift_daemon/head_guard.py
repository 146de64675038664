"""Ends connections of clients whose heads exceed the limits of a listener.

The parser of the HTTP server bounds lines and the number of fields, but
neither a head as a whole nor blank lines, trailers or the time of any of them.
"""

import asyncio
from collections.abc import Callable
import time

from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol
import attrs

from cassiashift_core import heads
from cassiashift_daemon import logs

# The limits are checked each time that the parser has got this much.
PIECE_BYTES = 16 * 1024
SWEEP_INTERVAL_S = 0.25
_END = b'Content-Length: 0\r\nConnection: close\r\n\r\n'
_ANSWERS = {
    heads.Excess.LARGE: (
        b'HTTP/1.1 431 Request Header Fields Too Large\r\n' + _END
    ),
    heads.Excess.SLOW: b'HTTP/1.1 408 Request Timeout\r\n' + _END,
}


@attrs.define(eq=False)
class HeadGuard:
    """Watches the heads and the number of connections of one listener.

    Attributes:
        limits: returns the limits in force.
        connections: open connections.
    """

    limits: Callable[[], heads.HeadLimits] = heads.HeadLimits
    open_heads: heads.OpenHeads = attrs.field(factory=heads.OpenHeads)
    connections: int = 0
    # Connections without a whole request so far, oldest first.
    _without_request: dict['GuardedHandler', None] = attrs.field(factory=dict)
    _sweep: asyncio.TimerHandle | None = None

    def create_handler(self, server: web.Server) -> 'GuardedHandler':
        """Return the protocol of a new connection."""
        return GuardedHandler(self, server)

    def admit(self, conn: 'GuardedHandler') -> None:
        """Count a new connection.

        Beyond the limit, the oldest one that has sent no request is ended.
        """
        self.connections += 1
        self._without_request[conn] = None
        if self.connections > self.limits().connections:
            next(iter(self._without_request)).refuse(heads.Excess.CONNECTIONS)

    def forget(self, conn: 'GuardedHandler') -> None:
        """Count the end of a connection."""
        self.connections -= 1
        self._without_request.pop(conn, None)
        self.open_heads.end(conn)

    def record_request(self, conn: 'GuardedHandler') -> None:
        """Record that the head of a request is complete."""
        self._without_request.pop(conn, None)
        self.open_heads.end(conn)

    def record_part(self, conn: 'GuardedHandler', size: int) -> None:
        """Record the bytes of a head that is not complete."""
        limits = self.limits()
        self.open_heads.record(conn, size, time.monotonic())
        if size > limits.head_bytes:
            conn.refuse(heads.Excess.LARGE)
        elif self.open_heads.total_bytes > limits.open_bytes:
            self._end_excess()
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        if self._sweep is None and len(self.open_heads):
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._end_slow)

    def _end_slow(self) -> None:
        self._sweep = None
        self._end_excess()
        self._schedule_sweep()

    def _end_excess(self) -> None:
        now = time.monotonic()
        for conn, reason in self.open_heads.find_excess(self.limits(), now):
            conn.refuse(reason)


class GuardedHandler(web.RequestHandler):
    """One connection, which ends when its head exceeds the limits."""

    __slots__ = (
        '_body_before',
        '_guard',
        '_is_refused',
        '_payload',
        '_received',
        '_requests_seen',
        '_was_in_body',
    )

    def __init__(self, guard: HeadGuard, server: web.Server) -> None:
        """Create the protocol with the options of a server."""
        super().__init__(server, loop=server._loop, **server._kwargs)
        self._guard = guard
        self._is_refused = False
        self._payload: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._body_before = 0
        # Since the newest head was complete.
        self._received = 0
        self._requests_seen = 0
        self._was_in_body = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve a connection."""
        super().connection_made(transport)
        self._guard.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the request of the connection."""
        if self._manager is not None:
            self._guard.forget(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser, up to the limits."""
        for start in range(0, len(data) or 1, PIECE_BYTES):
            if self._is_refused or self._force_close or self._close:
                return
            piece = data[start : start + PIECE_BYTES]
            super().data_received(piece)
            self._measure(len(piece))

    def refuse(self, reason: heads.Excess) -> None:
        """End the connection; a request that is being answered is cut."""
        self._is_refused = True
        self._guard.open_heads.end(self)
        transport = self.transport
        logs.warning(
            'client_refused', reason=reason.value, received=self._received
        )
        if transport is None:
            return
        is_idle = self._current_request is None and not self._messages
        if is_idle and reason in _ANSWERS:
            transport.write(_ANSWERS[reason])
        if is_idle and not transport.get_write_buffer_size():
            transport.close()
        else:
            transport.abort()

    def _measure(self, size: int) -> None:
        self._received += size
        if self._request_count != self._requests_seen:
            self._begin_request()
        if self._is_refused or self._reading_paused or self._buffer_paused:
            # What is received but not parsed yet is one read at most.
            return
        in_body = not self._payload.is_eof()
        if self._was_in_body and not in_body:
            self._received = 0
        self._was_in_body = in_body
        if in_body:
            body_bytes = self._payload.total_bytes - self._body_before
            allowed = self._guard.limits().framing_bytes(body_bytes)
            if self._received - body_bytes > allowed:
                self.refuse(heads.Excess.LARGE)
        elif self._received:
            self._guard.record_part(self, self._received)

    def _begin_request(self) -> None:
        """Count from the newest head on; drop what follows a bad one."""
        self._requests_seen = self._request_count
        self._received = 0
        self._was_in_body = False
        self._guard.record_request(self)
        if self._messages:
            message, self._payload = self._messages[-1]
            self._body_before = self._payload.total_bytes
            self._is_refused = isinstance(message, web_protocol._ErrInfo)
