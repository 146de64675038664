"""Sends the bodies of requests in pieces to upstreams."""

import socket

from aiohttp import abc
from aiohttp import payload

from cassiashift_core import buffers


class SlicedPayload(payload.Payload):
    """A body that is sent no faster than the upstream reads it.

    The transport copies what it can't send at once, so a whole body would be
    held twice while an upstream reads slowly.
    """

    _autoclose = True

    def __init__(self, body: bytes) -> None:
        """Keep a reference to the body."""
        super().__init__(body)
        self._size = len(body)

    def decode(self, encoding: str = 'utf-8', errors: str = 'strict') -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Write the body; wait whenever the transport's buffer is full."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body up to a length."""
        body = memoryview(self._value)[:content_length]
        for start in range(0, len(body), buffers.CONNECTION_BYTES):
            await writer.write(body[start : start + buffers.CONNECTION_BYTES])
            await writer.drain()


def upstream_socket(address: tuple) -> socket.socket:
    """Return a socket that receives little ahead of the reader.

    A larger buffer of the kernel lets one read return 256 KB, and hides from
    an upstream that its answer isn't read.
    """
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, buffers.CONNECTION_BYTES
    )
    return sock
