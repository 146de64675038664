"""Tells whether the body of an answer was received to its end."""

import asyncio

import aiohttp
import attrs


@attrs.define(eq=False)
class BodyEnd:
    """The end of one body; to be created before the body is read.

    A truncated body with a length or in chunks is an error of its own. One
    without either ends with its connection; it is complete only if the
    connection was closed and not reset.

    Attributes:
        is_framed: the body has a length or is chunked.
    """

    is_framed: bool
    _closed: asyncio.Future | None = None

    @classmethod
    def from_response(cls, response: aiohttp.ClientResponse) -> 'BodyEnd':
        """Return the end of a response's body, which has not been read."""
        headers = response.headers
        is_framed = 'Content-Length' in headers or (
            'chunked' in headers.get('Transfer-Encoding', '').lower()
        )
        connection = response.connection
        closed = None if connection is None else connection.protocol.closed
        return cls(is_framed, closed)

    async def was_reset(self) -> bool:
        """Return whether a body that seems to have ended was broken off."""
        if self.is_framed or self._closed is None:
            return False
        await asyncio.sleep(0)
        return self._closed.done() and self._closed.exception() is not None
