"""Runs attempts at the upstreams of this host, on the agent's side.

An entry sends ``CallStart``; the agent calls the upstream over HTTP and
sends the answer back as ``CallHead``, ``CallData`` and ``CallEnd``, or
``CallFailed`` with a verdict.
"""

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import Any

import aiohttp
import attrs
import yarl

from cassiashift_core import draining
from cassiashift_core import poison
from cassiashift_core import retries
from cassiashift_core import timeline
from cassiashift_core import Verdict
from cassiashift_daemon import logs
from cassiashift_daemon import outcomes
from cassiashift_daemon import probing
from cassiashift_net import body_ends
from cassiashift_net import bounded_reads
from cassiashift_net import messages
from cassiashift_net import single_sends

WINDOW_BYTES = 256 * 1024
# The answer of a non-idempotent attempt does not wait for its reader.
MAX_UNPACED_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
REQUEST_ID_HEADER = 'X-Request-Id'
# Headers that belong to one connection (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
    )
)

Reply = Callable[[Any], bool]


class AttemptError(Exception):
    """An attempt ended without a complete answer.

    Attributes:
        code: error code, as ``CallFailed`` carries it.
        verdict: whether the upstream may have run the call.
    """

    def __init__(self, code: str, message: str, verdict: Verdict) -> None:
        """Create an error whose text is the message."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.verdict = verdict


def create_session(connect_timeout_s: float) -> aiohttp.ClientSession:
    """Return an HTTP client to upstreams, on the running event loop.

    Each request opens its own connection: bytes that an upstream sends after
    an answer, such as a second copy of it, reach no other call.
    """
    return aiohttp.ClientSession(
        connector=bounded_reads.BoundedConnector(limit=0, force_close=True),
        trace_configs=[single_sends.trace_config()],
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        ),
        auto_decompress=False,
    )


@attrs.define(eq=False)
class _Attempt:
    """One attempt in progress.

    Attributes:
        credit: bytes that the entry allows to be sent, negative after a
            chunk that was larger than what was left.
        chunks: number of chunks of the answer sent so far.
        answer: the answer of a non-idempotent call, to be remembered.
        began_at: monotonic time at which it arrived.
    """

    start: messages.CallStart
    reply: Reply
    task: asyncio.Task | None = None
    credit: int = WINDOW_BYTES
    credit_added: asyncio.Event = attrs.field(factory=asyncio.Event)
    chunks: int = 0
    answer: outcomes.AnswerBuffer = attrs.field(factory=outcomes.AnswerBuffer)
    began_at: float = attrs.field(factory=time.monotonic)

    def describe(self) -> draining.Unfinished:
        """Return what is known of the attempt now."""
        has_begun = bool(self.answer.status)
        phase = draining.Phase.ANSWERING if has_begun else draining.Phase.SENT
        start = self.start
        return draining.Unfinished(
            id=start.request_id,
            phase=phase,
            arrived_at=self.began_at,
            ends_at=self.began_at + start.deadline_s,
            kind=draining.kind_of_call(start.idempotent),
            upstream=start.upstream,
            sends=1,
            events=self.chunks,
        )

    def send(self, data: bytes) -> None:
        """Send one chunk of the answer and charge it to the credit.

        Raises:
            AttemptError: the link to the entry is closed. A non-idempotent
                attempt goes on.
        """
        message = messages.CallData(self.start.attempt, self.chunks, data)
        self.chunks += 1
        self.credit -= len(data)
        if not self.reply(message) and self.start.idempotent:
            raise AttemptError(
                'stream_broken',
                'the link to the entry is closed',
                Verdict.MAY_HAVE_RUN,
            )


@attrs.define(eq=False)
class AttemptServer:
    """Accepts, runs, cancels and fences attempts.

    A non-idempotent attempt runs to its end even if its caller or its entry
    is gone, and its outcome is remembered.

    Attributes:
        urls: base URL of each upstream by id.
        refusal_reason: returns why an upstream takes no attempts now, or
            an empty text if it does.
        fences: decides whether an attempt id may still start.
        in_flight: attempts in progress by upstream.
        epoch: start time of this process, part of the numbers of crashes.
    """

    urls: dict[str, str]
    refusal_reason: Callable[[str], str]
    session: aiohttp.ClientSession
    record: Callable[..., timeline.Timestamp]
    fences: retries.FenceTable
    epoch: int = 0
    in_flight: dict[str, int] = attrs.field(factory=dict)
    _running: dict[str, _Attempt] = attrs.field(factory=dict)
    _crashes: poison.CrashCounts = attrs.field(factory=poison.CrashCounts)
    _outcomes: outcomes.OutcomeStore = attrs.field(
        factory=outcomes.OutcomeStore
    )

    def start(self, message: messages.CallStart, reply: Reply) -> None:
        """Start an attempt, or send ``CallFailed`` if it is refused."""
        refusal = self._find_refusal(message)
        if refusal is not None:
            clock = self.record(
                'attempt_refused',
                message.request_id,
                message.attempt,
                remote=message.clock,
                code=refusal.code,
            )
            reply(attrs.evolve(refusal, clock=clock))
            return
        attempt = _Attempt(message, reply)
        self._running[message.attempt] = attempt
        upstream = message.upstream
        self.in_flight[upstream] = self.in_flight.get(upstream, 0) + 1
        attempt.task = asyncio.ensure_future(self._run(attempt))

    def credit(self, message: messages.CallCredit) -> None:
        """Add to the bytes that an attempt may send."""
        attempt = self._running.get(message.attempt)
        if attempt is not None:
            attempt.credit += message.size
            attempt.credit_added.set()

    def cancel(self, message: messages.CallCancel) -> None:
        """Stop an idempotent attempt by closing its upstream connection.

        An attempt that has not arrived yet is fenced. A non-idempotent one
        that runs is not stopped.
        """
        attempt = self._running.get(message.attempt)
        if attempt is not None:
            if attempt.start.idempotent:
                attempt.task.cancel()
            return
        attempt_id = retries.AttemptId.parse(message.attempt)
        if attempt_id is not None:
            self.fences.fence(attempt_id)

    def fence(self, message: messages.Fence, reply: Reply) -> None:
        """Reply with the state of an attempt.

        An attempt that has not arrived is refused from now on.
        """
        reply(self._fence_result(message.attempt))

    def _fence_result(self, attempt: str) -> messages.Fenced:
        if attempt in self._running:
            return messages.Fenced(attempt, Verdict.MAY_HAVE_RUN, running=True)
        outcome = self._outcomes.find(attempt)
        if outcome is not None:
            return messages.Fenced(
                attempt,
                outcome.verdict,
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
            )
        attempt_id = retries.AttemptId.parse(attempt)
        if attempt_id is None:
            return messages.Fenced(attempt, Verdict.MAY_HAVE_RUN)
        return messages.Fenced(attempt, self.fences.fence(attempt_id).verdict)

    def unfinished(self) -> list[draining.Unfinished]:
        """Return the attempts in progress."""
        return [attempt.describe() for attempt in self._running.values()]

    async def wait_idle(self) -> None:
        """Return as soon as no attempt is in progress."""
        while self._running:
            tasks = [attempt.task for attempt in self._running.values()]
            await asyncio.wait(tasks)

    def _find_refusal(
        self, message: messages.CallStart
    ) -> messages.CallFailed | None:
        if message.upstream not in self.urls:
            return _refuse(message, 'no_upstream', 'not on this host')
        reason = self.refusal_reason(message.upstream)
        if reason:
            return _refuse(message, 'draining', reason)
        attempt_id = retries.AttemptId.parse(message.attempt)
        if attempt_id is None:
            return _refuse(message, 'fenced', 'malformed attempt id')
        arrival = self.fences.record_arrival(attempt_id)
        if not arrival.accepted:
            return _refuse(message, 'fenced', arrival.reason, arrival.verdict)
        return None

    async def _run(self, attempt: _Attempt) -> None:
        start = attempt.start
        self.record(
            timeline.RECEIVE,
            start.request_id,
            start.attempt,
            remote=start.clock,
            message=f'{start.attempt}/start',
        )
        began = time.monotonic()
        try:
            async with asyncio.timeout(start.deadline_s):
                await self._exchange(attempt)
        except (AttemptError, TimeoutError) as exc:
            self._fail(attempt, exc)
        except aiohttp.ClientError as exc:
            crash = await self._find_crash(start, began, exc)
            self._fail(attempt, exc, crash)
        except Exception as exc:
            logs.error('attempt_crashed', attempt=start.attempt, error=exc)
            self._fail(attempt, exc)
        finally:
            del self._running[start.attempt]
            self.in_flight[start.upstream] -= 1
            self.record(
                'attempt_ended',
                start.request_id,
                start.attempt,
                seconds=round(time.monotonic() - began, 6),
            )

    async def _exchange(self, attempt: _Attempt) -> None:
        start = attempt.start
        headers = dict(start.headers)
        headers[REQUEST_ID_HEADER] = start.request_id
        async with self.session.request(
            start.method,
            self.urls[start.upstream] + start.path,
            data=start.body or None,
            headers=headers,
            allow_redirects=False,
        ) as resp:
            _check_request_id(resp, start.request_id)
            resp_headers = tuple(
                (str(name), value)
                for name, value in resp.headers.items()
                if name.lower() not in CONNECTION_HEADERS
            )
            attempt.answer.status = resp.status
            attempt.answer.content_type = resp.headers.get('Content-Type', '')
            attempt.reply(
                messages.CallHead(start.attempt, resp.status, resp_headers)
            )
            await self._forward(attempt, resp)
        self._store_outcome(start, attempt.answer.outcome())
        clock = self._record_last_send(start)
        attempt.reply(messages.CallEnd(start.attempt, attempt.chunks, clock))

    def _store_outcome(
        self, start: messages.CallStart, outcome: outcomes.Outcome
    ) -> None:
        if not start.idempotent:
            self._outcomes.add(start.attempt, outcome)

    def _record_last_send(
        self, start: messages.CallStart
    ) -> timeline.Timestamp:
        return self.record(
            timeline.SEND,
            start.request_id,
            start.attempt,
            message=f'{start.attempt}/end',
        )

    async def _forward(
        self, attempt: _Attempt, resp: aiohttp.ClientResponse
    ) -> None:
        end = body_ends.BodyEnd.from_response(resp)
        unpaced_bytes = 0
        while data := await resp.content.readany():
            if not attempt.start.idempotent:
                attempt.answer.add(data)
                unpaced_bytes += len(data)
                _check_size(attempt, unpaced_bytes)
            while attempt.credit <= 0 and attempt.start.idempotent:
                attempt.credit_added.clear()
                await attempt.credit_added.wait()
            attempt.send(data)
        if await end.was_reset():
            raise AttemptError(
                'stream_broken',
                'the upstream broke off the answer',
                Verdict.MAY_HAVE_RUN,
            )

    async def _find_crash(
        self,
        start: messages.CallStart,
        began_at: float,
        exc: aiohttp.ClientError,
    ) -> int:
        """Return the number of the crash that ended an attempt, or 0."""
        if isinstance(exc, aiohttp.ClientConnectorError):
            return 0
        upstream = start.upstream
        address = yarl.URL(self.urls[upstream])
        if not await probing.has_crashed(f'{address.host}:{address.port}'):
            return 0
        now = time.monotonic()
        return self.epoch + self._crashes.record(upstream, began_at, now)

    def _fail(self, attempt: _Attempt, exc: Exception, crash: int = 0) -> None:
        failure = _to_attempt_error(exc)
        self._store_outcome(attempt.start, outcomes.Outcome(failure.verdict))
        attempt.reply(
            messages.CallFailed(
                attempt.start.attempt,
                failure.code,
                failure.message,
                failure.verdict,
                self._record_last_send(attempt.start),
                crash,
            )
        )

    async def close(self) -> None:
        """Cancel every attempt and wait for its end."""
        for attempt in list(self._running.values()):
            attempt.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await attempt.task


def _refuse(
    message: messages.CallStart,
    code: str,
    reason: str,
    verdict: Verdict = Verdict.NOT_RUN,
) -> messages.CallFailed:
    return messages.CallFailed(message.attempt, code, reason, verdict)


def _check_request_id(resp: aiohttp.ClientResponse, request_id: str) -> None:
    echoed = resp.headers.get(REQUEST_ID_HEADER, request_id)
    if echoed != request_id:
        raise AttemptError(
            'stream_broken',
            'the upstream answered another request',
            Verdict.MAY_HAVE_RUN,
        )


def _check_size(attempt: _Attempt, size: int) -> None:
    if size > MAX_UNPACED_BYTES:
        logs.warning(
            'answer_too_large',
            attempt=attempt.start.attempt,
            upstream=attempt.start.upstream,
        )
        raise AttemptError(
            'stream_broken', 'the answer is too large', Verdict.MAY_HAVE_RUN
        )


def _to_attempt_error(exc: Exception) -> AttemptError:
    if isinstance(exc, AttemptError):
        return exc
    if isinstance(exc, aiohttp.ClientConnectorError):
        return AttemptError(
            'upstream_failed', 'no connection to the upstream', Verdict.NOT_RUN
        )
    if isinstance(exc, TimeoutError):
        return AttemptError(
            'deadline_exceeded',
            'the upstream did not answer in time',
            Verdict.MAY_HAVE_RUN,
        )
    return AttemptError(
        'upstream_failed',
        f'the upstream broke the exchange: {type(exc).__name__}',
        Verdict.MAY_HAVE_RUN,
    )
