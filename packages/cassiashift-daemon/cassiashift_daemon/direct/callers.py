"""Writes answers to callers, with bounds on what is buffered for them.

A write returns once the bytes that wait for the caller are few again. Until
then nothing more is read from the upstream. Callers that don't read are given
up by ``tick`` where the memory of the process is stated.
"""

import asyncio
from collections.abc import Awaitable
import socket
import struct
import time

import aiohttp
from aiohttp import web
import attrs

from cassiashift_core import buffers
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import Verdict
from cassiashift_daemon.direct import metrics
from cassiashift_daemon import logs

NOT_READ = 'the caller does not read'
# Closing such a socket resets its connection.
RESETS = struct.pack('ii', 1, 0)


@attrs.define(eq=False)
class CallerWriter:
    """Writes to callers and ends the answers of those that don't read."""

    ledger: buffers.Ledger
    metrics: metrics.Metrics
    _scopes: dict[int, asyncio.Timeout] = attrs.field(factory=dict)

    def limit(self, request: web.BaseRequest) -> None:
        """Limit the write buffer of a caller's connection."""
        limits = self.ledger.limits
        if request.transport is not None:
            request.transport.set_write_buffer_limits(
                limits.connection_bytes, limits.resume_bytes
            )

    async def write(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        data: bytes,
    ) -> None:
        """Write a part of an answer.

        Raises:
            CassiashiftError: STREAM_BROKEN, the caller doesn't read.
        """
        await self._wait(request, response.write(data))
        if request.protocol.writing_paused:
            await self._wait(request, request.writer.drain())

    async def end(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Write the end of an answer.

        Raises:
            CassiashiftError: STREAM_BROKEN, the caller doesn't read.
        """
        await self._wait(request, response.write_eof())

    async def deliver(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Return a response for the server to write, or write it in pieces.

        A body that exceeds the buffer of a connection is written here.

        Raises:
            CassiashiftError: STREAM_BROKEN, the caller doesn't read.
        """
        size = self.ledger.limits.connection_bytes
        body = response.body if isinstance(response, web.Response) else None
        if not isinstance(body, bytes) or len(body) <= size:
            return response
        if request.method == 'HEAD':
            return response
        sliced = web.StreamResponse(
            status=response.status, headers=response.headers
        )
        sliced.content_length = len(body)
        if response.keep_alive is False:
            sliced.force_close()
        self.ledger.hold(len(body))
        try:
            await sliced.prepare(request)
            for start in range(0, len(body), size):
                piece = body[start : start + size]
                await self.write(request, sliced, piece)
            await self.end(request, sliced)
        finally:
            self.ledger.release(len(body))
        return sliced

    def break_off(self, request: web.BaseRequest) -> None:
        """Close a connection without the end of its answer.

        What a caller doesn't read is discarded where memory is limited:
        otherwise it would be kept until the caller closes the connection.
        """
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        if request.version < aiohttp.HttpVersion11:
            # Its answer has no chunks: an orderly close would be its end.
            transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESETS
            )
            transport.abort()
        elif self.ledger.limits.is_stated and request.protocol.writing_paused:
            transport.abort()
        else:
            transport.close()

    def tick(self) -> None:
        """End the answers of callers that have to be given up."""
        now = time.monotonic()
        for key in self.ledger.to_give_up(now):
            buffered = self.ledger.buffered_bytes
            self.ledger.end_wait(key)
            scope = self._scopes.pop(key, None)
            if scope is None:
                continue
            scope.reschedule(asyncio.get_running_loop().time())
            self.metrics.record_memory_event('caller_given_up')
            logs.warning(
                'caller_given_up',
                buffered=buffered,
                limit=self.ledger.limits.process_bytes,
                unread=self.ledger.unread_count,
            )

    async def _wait(
        self, request: web.BaseRequest, operation: Awaitable[None]
    ) -> None:
        key = id(request)
        self.ledger.begin_wait(key, time.monotonic())
        try:
            async with asyncio.timeout(None) as self._scopes[key]:
                await operation
        except TimeoutError:
            raise CassiashiftError(
                ErrorCode.STREAM_BROKEN, NOT_READ, Verdict.MAY_HAVE_RUN
            ) from None
        finally:
            self.ledger.end_wait(key)
            self._scopes.pop(key, None)
