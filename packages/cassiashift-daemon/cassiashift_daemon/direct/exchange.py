"""Sends a request to an upstream over HTTP and checks the answer.

Every send opens its own connection, so bytes that an upstream sends late or
after a complete answer can't reach another request, and no idle connection
that the peer is closing is ever reused.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import time

import aiohttp
import attrs
import multidict
import yarl

from cassiashift_core import buffers
from cassiashift_core import fleet
from cassiashift_core import promises
from cassiashift_core import Verdict
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import dialect
from cassiashift_daemon.direct import payloads
from cassiashift_net import body_ends
from cassiashift_net import bounded_reads
from cassiashift_net import single_sends

# Upstreams accept within milliseconds; the kernel retransmits a lost SYN only
# after one second.
CONNECT_TIMEOUT_S = 0.4
STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
# An answer that is no stream is kept whole until it is complete.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Larger answers fail while all of them together hold more than this.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
SMALL_ANSWER_BYTES = 256 * 1024


@attrs.define(eq=False)
class SendFailedError(Exception):
    """A send produced no answer that may be forwarded to the caller.

    Attributes:
        reason: a short code for logs and counters.
        verdict: whether the request may have run.
        is_down: no connection to the upstream could be opened.
        is_broken_off: the connection ended before the answer did.
        is_refusal: the upstream is healthy and states that it did not run
            the request.
        at_fault: id of the upstream that made this one fail; empty if not
            stated.
    """

    reason: str
    verdict: Verdict
    is_down: bool = False
    is_broken_off: bool = False
    is_refusal: bool = False
    at_fault: str = ''


@attrs.define(eq=False)
class Answer:
    """An upstream's answer that was checked to belong to the request."""

    status: int
    headers: multidict.CIMultiDictProxy
    body: bytes = b''

    def headers_for_caller(self) -> multidict.CIMultiDict:
        """Return the headers without hop-by-hop headers."""
        return multidict.CIMultiDict(
            (name, value)
            for name, value in self.headers.items()
            if name.lower() not in calls.HOP_BY_HOP_HEADERS
        )


@attrs.define(eq=False)
class OpenAnswer:
    """An answer whose body is still arriving."""

    answer: Answer
    response: aiohttp.ClientResponse
    _end: body_ends.BodyEnd

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            SendFailedError: the connection ended before the body did.
        """
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as exc:
            raise _connection_error(exc) from exc
        if await self._end.was_reset():
            raise SendFailedError(
                'reset', Verdict.MAY_HAVE_RUN, is_broken_off=True
            )


@attrs.define(eq=False)
class Exchange:
    """Sends requests to upstreams.

    Attributes:
        on_leaving: called with an upstream whose answer says that it leaves.
        on_back_off: called with an upstream and the Retry-After of its 503.
        on_limit: called with an upstream, the limit that its answer names,
            None for none, and the time at which the request was sent.
        on_cold: called with an upstream, the coldness that its answer states,
            and the time at which the request was sent.
        ledger: counts what the process buffers.
        buffered_bytes: bytes of answers that are not complete yet.
    """

    names: dialect.HeaderNames
    session: aiohttp.ClientSession
    on_leaving: Callable[[fleet.Upstream], None] = lambda upstream: None
    on_back_off: Callable[[fleet.Upstream, str], None] = (
        lambda upstream, value: None
    )
    on_limit: Callable[[fleet.Upstream, str | None, float], None] = (
        lambda upstream, value, sent_at: None
    )
    on_cold: Callable[[fleet.Upstream, str, float], None] = (
        lambda upstream, value, sent_at: None
    )
    ledger: buffers.Ledger = attrs.field(factory=buffers.Ledger)
    buffered_bytes: int = 0

    @classmethod
    def from_config(cls, names: dialect.HeaderNames) -> 'Exchange':
        """Return an exchange with an HTTP session on the running loop."""
        session = aiohttp.ClientSession(
            connector=bounded_reads.BoundedConnector(
                limit=0,
                force_close=True,
                use_dns_cache=False,
                socket_factory=payloads.upstream_socket,
            ),
            # Reading pauses at twice this.
            read_bufsize=buffers.CONNECTION_BYTES // 2,
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
            trace_configs=[single_sends.trace_config()],
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
        """Send a request and yield the answer once its headers have arrived.

        Leaving the context closes the connection, which makes an upstream
        that has not finished stop working on the request.

        Raises:
            SendFailedError: there is no answer that belongs to the request.
        """
        sent_at = time.monotonic()
        response = await self._send(call, upstream, last_event)
        try:
            end = body_ends.BodyEnd.from_response(response)
            self._read_signals(upstream, response, sent_at)
            answer = self._check_answer(call, response)
            if response.ok and self.names.limit not in response.headers:
                # An error may come from elsewhere than from its own work.
                self.on_limit(upstream, None, sent_at)
            yield OpenAnswer(answer, response, end)
        finally:
            response.close()

    async def fetch(
        self, call: calls.Call, upstream: fleet.Upstream
    ) -> Answer:
        """Send a request and return the answer with its complete body.

        Raises:
            SendFailedError: there is no complete answer to the request.
        """
        async with self.open(call, upstream) as opened:
            opened.answer.body = await self.read_body(opened)
            return opened.answer

    async def read_body(self, opened: OpenAnswer) -> bytes:
        """Return the complete body of an answer.

        Raises:
            SendFailedError: the connection ended before the body did, or the
                body is too large.
        """
        body = bytearray()
        try:
            async for chunk in opened.chunks():
                body += chunk
                self.buffered_bytes += len(chunk)
                self.ledger.hold(len(chunk))
                self.ledger.passed_bytes += len(chunk)
                if self._is_too_large(body):
                    raise SendFailedError(
                        'answer_too_large', Verdict.MAY_HAVE_RUN
                    )
            return bytes(body)
        finally:
            self.buffered_bytes -= len(body)
            self.ledger.release(len(body))
            # The traceback of a failure keeps the body until it is handled.
            body.clear()

    def _is_too_large(self, body: bytearray) -> bool:
        is_short = self.ledger.refusal(0) is not None
        if is_short or self.buffered_bytes > MAX_BUFFERED_BYTES:
            return len(body) > SMALL_ANSWER_BYTES
        return len(body) > MAX_ANSWER_BYTES

    async def _send(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        last_event: int | None,
    ) -> aiohttp.ClientResponse:
        call.is_being_sent = True
        call.upstream_id = upstream.id
        call.send_events = 0
        try:
            return await self.session.request(
                call.method,
                yarl.URL(
                    f'http://{upstream.address}{call.path}', encoded=True
                ),
                headers=call.headers_for(self.names, upstream, last_event),
                data=payloads.SlicedPayload(call.body) if call.body else None,
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
            raise _connection_error(exc) from exc

    def _read_signals(
        self,
        upstream: fleet.Upstream,
        response: aiohttp.ClientResponse,
        sent_at: float,
    ) -> None:
        """Pass on what an answer of any status says about its upstream."""
        headers = response.headers
        if headers.get(self.names.leaving) == '1':
            self.on_leaving(upstream)
        limit = headers.get(self.names.limit)
        if limit is not None:
            self.on_limit(upstream, limit, sent_at)
        cold_ms = headers.get(self.names.cold_ms)
        if cold_ms is not None:
            self.on_cold(upstream, cold_ms, sent_at)
        retry_after = headers.get('Retry-After')
        if response.status == STATUS_UNAVAILABLE and retry_after is not None:
            self.on_back_off(upstream, retry_after)

    def _check_answer(
        self, call: calls.Call, response: aiohttp.ClientResponse
    ) -> Answer:
        headers = response.headers
        names = self.names
        # A refusal of another request, which the upstream repeats or sends
        # late, doesn't state that this one has not run.
        if headers.getall(names.request_id, []) != [call.id]:
            raise SendFailedError('foreign_answer', Verdict.MAY_HAVE_RUN)
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
        if not promises.may_forward(response.status):
            raise SendFailedError(
                f'unproved_{response.status}', Verdict.MAY_HAVE_RUN
            )
        stamps = headers.getall(names.stamp, [])
        is_signed = len(stamps) == 1 and stamps[0].isascii()
        if (response.ok or stamps) and not is_signed:
            raise SendFailedError('unsigned_answer', Verdict.MAY_HAVE_RUN)
        if 'Content-Encoding' in headers:
            raise SendFailedError('encoded_answer', Verdict.MAY_HAVE_RUN)
        return Answer(response.status, headers)


def _connection_error(exc: Exception) -> SendFailedError:
    return SendFailedError(
        type(exc).__name__, Verdict.MAY_HAVE_RUN, is_broken_off=True
    )
