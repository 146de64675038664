"""Bounds and checks of what an HTTP client reads from a faulty upstream.

Blank lines, interim answers, chunk sizes and chunk extensions belong to no
body, so that a bound on bodies does not end them.
"""

import functools

import aiohttp
from aiohttp import client_proto

from cassiashift_net import answer_heads

# Covers the head of an answer, and bytes of a body that were received while
# its reader was paused.
MAX_FRAMING_BYTES = 512 * 1024
# A body in chunks of one byte takes five bytes of framing for each.
MAX_FRAMING_RATIO = 8


class ExcessBytesError(aiohttp.ClientPayloadError):
    """An upstream sent more bytes than an answer may have."""


class _BoundedProtocol(client_proto.ResponseHandler):
    """Ends a connection with a malformed head or bytes without end."""

    # Since the newest request on the connection was sent.
    _received_bytes = 0
    # None before the first request.
    _head: answer_heads.HeadCheck | None = None

    def set_response_params(self, **params) -> None:
        """Prepare for the answer to another request."""
        self._received_bytes = 0
        self._head = answer_heads.HeadCheck()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser, up to the bound.

        A malformed head is found before the parser is given its end.
        """
        if self._head is not None and not self._head.is_over:
            try:
                self._head.feed(data)
            except answer_heads.MalformedHeadError as exc:
                self._end(exc)
                return
        super().data_received(data)
        self._received_bytes += len(data)
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        framing_bytes = self._received_bytes - body_bytes
        bound = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body_bytes
        if framing_bytes > bound and self.transport is not None:
            self._end(
                ExcessBytesError('too many bytes that belong to no body')
            )

    def _end(self, exc: aiohttp.ClientPayloadError) -> None:
        self.set_exception(exc)
        if self._payload is not None:
            self._payload.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections that end with an error beyond bounds.

    The errors are ``ExcessBytesError`` and ``MalformedHeadError``.
    """

    def __init__(self, **options) -> None:
        """Create a connector with the options of ``aiohttp.TCPConnector``."""
        super().__init__(**options)
        self._factory = functools.partial(_BoundedProtocol, loop=self._loop)


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer.

    The session must not inflate bodies.

    Raises:
        ExcessBytesError: the body is larger than ``max_bytes``.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise ExcessBytesError(f'a body of more than {max_bytes} bytes')
    return bytes(body)
