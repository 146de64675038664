"""One send to an upstream over HTTP, and what its answer proves.

Every send has a connection of its own: nothing that an upstream sends late
or after a whole answer can reach another request, and an idle connection
that is dying is never used.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import aiohttp
import attrs
import multidict
import yarl

from cassiashift_core import fleet
from cassiashift_core import Verdict
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import dialect

# Upstreams accept within milliseconds; a connection attempt that is lost is
# sent again by the system only after a second.
CONNECT_TIMEOUT_S = 0.4
STATUS_MISDIRECTED = 421
SERVER_ERROR = 500


@attrs.define(eq=False)
class SendFailedError(Exception):
    """A send that brought no answer that may be passed on.

    Attributes:
        reason: a short code for logs and counters.
        is_down: the upstream can't be reached.
        is_refusal: the upstream is well and states that it did not run it.
        at_fault: id of the upstream that made this one fail, if told.
    """

    reason: str
    verdict: Verdict
    is_down: bool = False
    is_refusal: bool = False
    at_fault: str = ''


@attrs.define(eq=False)
class Answer:
    """An answer of an upstream that belongs to the request.

    Attributes:
        is_framed: the end of the body shows by itself.
    """

    status: int
    headers: multidict.CIMultiDictProxy
    body: bytes = b''
    is_framed: bool = True

    def headers_for_caller(self) -> multidict.CIMultiDict:
        """Return the headers without those of one connection."""
        return multidict.CIMultiDict(
            (name, value)
            for name, value in self.headers.items()
            if name.lower() not in calls.HOP_HEADERS
        )


@attrs.define(eq=False)
class OpenAnswer:
    """An answer whose body is still arriving."""

    answer: Answer
    response: aiohttp.ClientResponse
    _closed: asyncio.Future

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            SendFailedError: the body broke off.
        """
        try:
            async for piece in self.response.content.iter_any():
                yield piece
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken(exc) from exc
        if self.answer.is_framed:
            return
        # A body without a length ends with its connection, which must have
        # been closed and not reset.
        await asyncio.sleep(0)
        if self._closed.done() and self._closed.exception() is not None:
            raise SendFailedError('reset', Verdict.MAY_HAVE_RUN)


@attrs.define(eq=False)
class Exchange:
    """Sends requests to upstreams."""

    names: dialect.HeaderNames
    session: aiohttp.ClientSession

    @classmethod
    def from_config(cls, names: dialect.HeaderNames) -> 'Exchange':
        """Return an exchange on the running loop."""
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, force_close=True, use_dns_cache=False
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                'Accept',
                'Accept-Encoding',
                'Content-Type',
                'User-Agent',
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            max_line_size=64 * 1024,
            max_field_size=64 * 1024,
        )
        return cls(names, session)

    async def close(self) -> None:
        """Close every connection."""
        await self.session.close()

    @contextlib.asynccontextmanager
    async def open(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        last_event: int | None = None,
    ) -> AsyncIterator[OpenAnswer]:
        """Send a request and yield the answer's head.

        Leaving the context closes the connection, which ends the work at an
        upstream that has not finished.

        Raises:
            SendFailedError: there is no answer that belongs to the request.
        """
        response = await self._send(call, upstream, last_event)
        try:
            connection = response.connection
            closed = (
                connection.protocol.closed if connection is not None else None
            )
            answer = self._checked(call, response)
            if closed is None:
                closed = asyncio.get_running_loop().create_future()
            yield OpenAnswer(answer, response, closed)
        finally:
            response.close()

    async def whole(
        self, call: calls.Call, upstream: fleet.Upstream
    ) -> Answer:
        """Send a request and return its whole answer.

        Raises:
            SendFailedError: there is no whole answer to the request.
        """
        async with self.open(call, upstream) as opened:
            pieces = [piece async for piece in opened.pieces()]
            opened.answer.body = b''.join(pieces)
            return opened.answer

    async def _send(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        last_event: int | None,
    ) -> aiohttp.ClientResponse:
        call.is_being_sent = True
        try:
            return await self.session.request(
                call.method,
                yarl.URL(
                    f'http://{upstream.address}{call.path}', encoded=True
                ),
                headers=call.headers_for(self.names, upstream, last_event),
                data=call.body or None,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise SendFailedError(
                'unreachable', Verdict.NOT_RUN, is_down=True
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken(exc) from exc

    def _checked(
        self, call: calls.Call, response: aiohttp.ClientResponse
    ) -> Answer:
        headers = response.headers
        names = self.names
        if response.status == STATUS_MISDIRECTED:
            raise SendFailedError(
                'misdirected',
                Verdict.NOT_RUN,
                is_refusal=True,
                at_fault=headers.get(names.at_fault, ''),
            )
        if names.not_run in headers:
            raise SendFailedError(
                f'refused_{response.status}',
                Verdict.NOT_RUN,
                is_refusal=True,
                at_fault=headers.get(names.at_fault, ''),
            )
        if headers.get(names.request_id) != call.id:
            raise SendFailedError('foreign_answer', Verdict.MAY_HAVE_RUN)
        if response.ok and names.stamp not in headers:
            raise SendFailedError('unsigned_answer', Verdict.MAY_HAVE_RUN)
        if 'Content-Encoding' in headers:
            raise SendFailedError('encoded_answer', Verdict.MAY_HAVE_RUN)
        is_framed = 'Content-Length' in headers or (
            'chunked' in headers.get('Transfer-Encoding', '').lower()
        )
        return Answer(response.status, headers, is_framed=is_framed)


def _broken(exc: Exception) -> SendFailedError:
    return SendFailedError(type(exc).__name__, Verdict.MAY_HAVE_RUN)
