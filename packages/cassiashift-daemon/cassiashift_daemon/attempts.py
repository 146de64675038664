"""Runs attempts at the upstreams of this host, on the agent's side."""

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import Any

import aiohttp
import attrs

from cassiashift_core import retries
from cassiashift_core import timeline
from cassiashift_core import Verdict
from cassiashift_daemon import logs
from cassiashift_daemon import outcomes
from cassiashift_net import messages

WINDOW_BYTES = 256 * 1024
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
    """An attempt that ended without a whole answer."""

    def __init__(self, code: str, message: str, verdict: Verdict) -> None:
        """Keep the parts of the failure."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.verdict = verdict


@attrs.frozen(eq=False)
class Sessions:
    """HTTP clients to the upstreams.

    The client library sends a request again when a kept connection turns
    out to be closed. Calls that may not be repeated take fresh connections,
    for which it never does.
    """

    kept: aiohttp.ClientSession
    fresh: aiohttp.ClientSession

    @classmethod
    def from_config(cls, connect_timeout_s: float) -> 'Sessions':
        """Return the clients; they need a running loop."""
        return cls(
            _session(connect_timeout_s, force_close=False),
            _session(connect_timeout_s, force_close=True),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self.kept.close()
        await self.fresh.close()


def _session(
    connect_timeout_s: float, force_close: bool
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        ),
        auto_decompress=False,
    )


@attrs.define(eq=False)
class _Attempt:
    """One attempt in progress."""

    start: messages.CallStart
    reply: Reply
    task: asyncio.Task | None = None
    credit: int = WINDOW_BYTES
    more_credit: asyncio.Event = attrs.field(factory=asyncio.Event)
    pieces: int = 0
    answer: outcomes.Answer = attrs.field(factory=outcomes.Answer)

    def send(self, data: bytes) -> None:
        """Send one piece of the answer.

        Raises:
            AttemptError: the entry is gone, and nobody waits for the rest.
        """
        message = messages.CallData(self.start.attempt, self.pieces, data)
        self.pieces += 1
        self.credit -= len(data)
        if not self.reply(message) and self.start.idempotent:
            raise AttemptError(
                'stream_broken', 'the entry is gone', Verdict.MAY_HAVE_RUN
            )


@attrs.define(eq=False)
class AttemptServer:
    """Accepts, runs, cancels and fences attempts.

    A non-idempotent attempt runs to its end whatever becomes of its caller
    and its entry, and its outcome is kept.

    Attributes:
        admits: returns why an upstream takes no work now, or empty.
    """

    urls: dict[str, str]
    admits: Callable[[str], str]
    sessions: Sessions
    record: Callable[..., timeline.Timestamp]
    fences: retries.FenceTable
    in_flight: dict[str, int] = attrs.field(factory=dict)
    _running: dict[str, _Attempt] = attrs.field(factory=dict)
    _outcomes: outcomes.OutcomeMemory = attrs.field(
        factory=outcomes.OutcomeMemory
    )

    def start(self, message: messages.CallStart, reply: Reply) -> None:
        """Run an attempt, or refuse it."""
        refusal = self._refusal(message)
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
        """Allow an attempt to send more."""
        attempt = self._running.get(message.attempt)
        if attempt is not None:
            attempt.credit += message.size
            attempt.more_credit.set()

    def cancel(self, message: messages.CallCancel) -> None:
        """Stop an attempt; the upstream sees its connection closed."""
        attempt = self._running.get(message.attempt)
        if attempt is not None:
            if attempt.start.idempotent:
                attempt.task.cancel()
            return
        attempt_id = retries.AttemptId.parse(message.attempt)
        if attempt_id is not None:
            self.fences.fence(attempt_id)

    def fence(self, message: messages.Fence, reply: Reply) -> None:
        """Refuse an attempt from now on and tell what became of it."""
        reply(self._fenced(message.attempt))

    def _fenced(self, attempt: str) -> messages.Fenced:
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

    async def idle(self) -> None:
        """Wait until no attempt is in progress."""
        while self._running:
            tasks = [attempt.task for attempt in self._running.values()]
            await asyncio.wait(tasks)

    def _refusal(
        self, message: messages.CallStart
    ) -> messages.CallFailed | None:
        if message.upstream not in self.urls:
            return _refused(message, 'no_upstream', 'not on this host')
        reason = self.admits(message.upstream)
        if reason:
            return _refused(message, 'draining', reason)
        attempt_id = retries.AttemptId.parse(message.attempt)
        if attempt_id is None:
            return _refused(message, 'fenced', 'malformed attempt id')
        arrival = self.fences.record_arrival(attempt_id)
        if not arrival.accepted:
            return _refused(message, 'fenced', arrival.reason, arrival.verdict)
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
        except (AttemptError, TimeoutError, aiohttp.ClientError) as exc:
            self._fail(attempt, exc)
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
        session = self.sessions.fresh
        if start.idempotent:
            session = self.sessions.kept
        async with session.request(
            start.method,
            self.urls[start.upstream] + start.path,
            data=start.body or None,
            headers=headers,
            allow_redirects=False,
        ) as resp:
            _check_owner(resp, start.request_id)
            kept = tuple(
                (str(name), value)
                for name, value in resp.headers.items()
                if name.lower() not in CONNECTION_HEADERS
            )
            attempt.answer.status = resp.status
            attempt.answer.content_type = resp.headers.get('Content-Type', '')
            attempt.reply(messages.CallHead(start.attempt, resp.status, kept))
            await self._forward(attempt, resp)
        self._keep(start, attempt.answer.outcome())
        clock = self._sent_last(start)
        attempt.reply(messages.CallEnd(start.attempt, attempt.pieces, clock))

    def _keep(
        self, start: messages.CallStart, outcome: outcomes.Outcome
    ) -> None:
        if not start.idempotent:
            self._outcomes.keep(start.attempt, outcome)

    def _sent_last(self, start: messages.CallStart) -> timeline.Timestamp:
        return self.record(
            timeline.SEND,
            start.request_id,
            start.attempt,
            message=f'{start.attempt}/end',
        )

    async def _forward(
        self, attempt: _Attempt, resp: aiohttp.ClientResponse
    ) -> None:
        content = resp.content
        while True:
            data = await content.readany()
            if not data:
                return
            if not attempt.start.idempotent:
                attempt.answer.add(data)
            while attempt.credit <= 0 and attempt.start.idempotent:
                attempt.more_credit.clear()
                await attempt.more_credit.wait()
            attempt.send(data)

    def _fail(self, attempt: _Attempt, exc: Exception) -> None:
        failure = _failure(exc)
        self._keep(attempt.start, outcomes.Outcome(failure.verdict))
        attempt.reply(
            messages.CallFailed(
                attempt.start.attempt,
                failure.code,
                failure.message,
                failure.verdict,
                self._sent_last(attempt.start),
            )
        )

    async def close(self) -> None:
        """End every attempt at once."""
        for attempt in list(self._running.values()):
            attempt.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await attempt.task


def _refused(
    message: messages.CallStart,
    code: str,
    reason: str,
    verdict: Verdict = Verdict.NOT_RUN,
) -> messages.CallFailed:
    return messages.CallFailed(message.attempt, code, reason, verdict)


def _check_owner(resp: aiohttp.ClientResponse, request_id: str) -> None:
    echoed = resp.headers.get(REQUEST_ID_HEADER, request_id)
    if echoed != request_id:
        raise AttemptError(
            'stream_broken',
            'the upstream answered another request',
            Verdict.MAY_HAVE_RUN,
        )


def _failure(exc: Exception) -> AttemptError:
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
