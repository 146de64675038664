"""Relays event streams from upstreams to callers."""

import asyncio
from collections.abc import Callable
import time
from typing import Protocol

from aiohttp import web
import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import eventstream
from cassiashift_core import fleet
from cassiashift_core import poison
from cassiashift_core import stalls
from cassiashift_core import Verdict
from cassiashift_daemon.direct import callers
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import metrics
from cassiashift_daemon.direct import placement
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon import logs

STATUS_OK = 200
# A write that takes longer waits for the caller: the kernel's buffer is full.
# The upstream's next events are then read late.
SLOW_WRITE_S = 0.005


class Owner(Protocol):
    """The part of the ingress that a relay uses."""

    writer: callers.CallerWriter
    exchange: exchange.Exchange
    placement: placement.Placement
    guard: poison_guard.PoisonGuard
    metrics: metrics.Metrics
    stall_judge: stalls.StallJudge

    def close_if_leaving(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Close the connection after an answer of a leaving entry."""

    def error_of_send(
        self, failure: exchange.SendFailedError, call: calls.Call
    ) -> CassiashiftError:
        """Return the error for a request whose last send has failed."""

    def record_answer(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        answer: exchange.Answer,
        started: float,
    ) -> None:
        """Record and log a send that an upstream answered."""

    async def record_failure(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        failure: exchange.SendFailedError,
        started: float,
    ) -> None:
        """Record, count and log a send without a usable answer.

        Returns once it is known whether the upstream has crashed.
        """


@attrs.define(eq=False)
class StreamRelay:
    """Relays one stream event by event, resuming it at other upstreams.

    Attributes:
        on_begin: called before the answer to the caller begins.
        response: None until the first event was received.
    """

    owner: Owner
    request: web.BaseRequest
    call: calls.Call
    on_begin: Callable[[], None]
    response: web.StreamResponse | None = None
    reader: eventstream.EventReader = attrs.field(
        factory=eventstream.EventReader
    )
    _sent_at: float = 0.0
    _first_event_at: float = 0.0
    _last_event_at: float = 0.0
    _longest_pause_s: float = 0.0
    _watch: stalls.Watch | None = None
    _upstream: fleet.Upstream | None = None
    # Expires when the upstream has stalled.
    _scope: asyncio.Timeout | None = None
    _waits_for_caller: bool = False
    # Arrival of the newest event of this send; None before the first event
    # and after one for which the caller had to be waited for.
    _pause_began_at: float | None = None

    async def run(self) -> web.StreamResponse:
        """Relay the stream to its end and return the caller's response.

        Raises:
            CassiashiftError: no upstream can begin or resume the stream.
        """
        while True:
            try:
                response = await self._relay_once()
            except exchange.SendFailedError as exc:
                if not self._may_resume():
                    raise self.owner.error_of_send(exc, self.call) from exc
                continue
            return response

    def _may_resume(self) -> bool:
        return self.call.log.may_retry() and self.call.remaining_s() > 0

    async def _relay_once(self) -> web.StreamResponse:
        call, owner = self.call, self.owner
        upstream = await owner.placement.place(call)
        started = time.monotonic()
        last_event = self.reader.last_id if self.response else None
        if self.response is not None:
            logs.info(
                'stream_resumed',
                request=call.id,
                upstream=upstream.id,
                last_event=last_event,
            )
        try:
            opened, response = await self._relay_until_stalled(
                upstream, last_event
            )
            owner.record_answer(call, upstream, opened.answer, started)
        except exchange.SendFailedError as exc:
            await owner.record_failure(call, upstream, exc, started)
            raise
        finally:
            owner.placement.release(call, upstream, time.monotonic() - started)
        self._log_end(response)
        return response

    def check_stall(self, now: float) -> None:
        """End the send if its upstream has stalled and another may go on."""
        if self._scope is None or self._waits_for_caller:
            return
        if self.owner.stall_judge.is_stalled(
            self._watch, now
        ) and self.owner.placement.may_move(self.call, self._upstream):
            scope, self._scope = self._scope, None
            scope.reschedule(asyncio.get_running_loop().time())

    async def _relay_until_stalled(
        self, upstream: fleet.Upstream, last_event: int | None
    ) -> tuple[exchange.OpenAnswer, web.StreamResponse]:
        """Send the request and forward the answer.

        Raises:
            SendFailedError: there is no complete answer; with the reason
                ``stalled`` if ``check_stall`` has ended the send.
        """
        self._upstream = upstream
        self._sent_at = time.monotonic()
        self._watch = self.owner.stall_judge.begin(
            self.call.service, self._sent_at
        )
        try:
            async with asyncio.timeout(None) as self._scope:
                async with self.owner.exchange.open(
                    self.call, upstream, last_event
                ) as opened:
                    return opened, await self._forward(opened)
        except TimeoutError as exc:
            raise exchange.SendFailedError(
                'stalled', Verdict.MAY_HAVE_RUN
            ) from exc
        finally:
            self._scope = None

    async def _forward(
        self, opened: exchange.OpenAnswer
    ) -> web.StreamResponse:
        answer = opened.answer
        if answer.status != STATUS_OK:
            body = await self.owner.exchange.read_body(opened)
            return self._error_answer(answer, body)
        self.reader.restart()
        self._pause_began_at = None
        async for chunk in opened.chunks():
            try:
                events = self.reader.feed(chunk)
            except ValueError as exc:
                raise exchange.SendFailedError(
                    'malformed_stream', Verdict.MAY_HAVE_RUN
                ) from exc
            if events:
                await self._write(answer, events)
        if not self.reader.is_between_events or self.response is None:
            raise exchange.SendFailedError(
                'incomplete_stream', Verdict.MAY_HAVE_RUN
            )
        self._waits_for_caller = True
        await self.owner.writer.end(self.request, self.response)
        return self.response

    def _error_answer(
        self, answer: exchange.Answer, body: bytes
    ) -> web.StreamResponse:
        if self.response is not None:
            raise exchange.SendFailedError(
                f'status_{answer.status}', Verdict.RAN
            )
        if self.call.log.may_retry() and (
            answer.status >= exchange.STATUS_SERVER_ERROR
        ):
            # This send is not in the log yet; `run` checks again once it is.
            raise exchange.SendFailedError(
                f'status_{answer.status}', Verdict.RAN
            )
        return self.owner.close_if_leaving(
            self.request,
            web.Response(
                status=answer.status,
                headers=answer.headers_for_caller(),
                body=body,
            ),
        )

    async def _write(
        self, answer: exchange.Answer, events: list[eventstream.Event]
    ) -> None:
        now = time.monotonic()
        self.owner.stall_judge.record_events(self._watch, now)
        before = self.call.send_events
        self.call.send_events += len(events)
        if before < poison.BEGUN_EVENTS <= self.call.send_events:
            self.owner.guard.record_answer(self.call)
        is_first = self.response is None
        if is_first:
            self.on_begin()
            self.call.has_begun = True
            self.response = web.StreamResponse(
                status=answer.status, headers=answer.headers_for_caller()
            )
            self.owner.close_if_leaving(self.request, self.response)
            self._first_event_at = now
            self.owner.metrics.record_first_event(now - self.call.arrived_at)
            self.owner.placement.admission.record_first_event(
                self.call, now - self._sent_at
            )
        else:
            pause_s = now - self._last_event_at
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        if self._pause_began_at is not None:
            self.owner.placement.admission.record_pause(
                self.call, now - self._pause_began_at
            )
        self._last_event_at = now
        self._waits_for_caller = True
        if is_first:
            await self.response.prepare(self.request)
        data = b''.join(event.data for event in events)
        self.owner.exchange.ledger.passed_bytes += len(data)
        await self.owner.writer.write(self.request, self.response, data)
        self._waits_for_caller = False
        # The upstream had no part in a caller's slowness.
        written_at = time.monotonic()
        self._watch.since = written_at
        waited = written_at - now > SLOW_WRITE_S
        self._pause_began_at = None if waited else now

    def _log_end(self, response: web.StreamResponse) -> None:
        call = self.call
        first_s = self._first_event_at - call.arrived_at
        if self._first_event_at:
            self.owner.metrics.record_longest_pause(self._longest_pause_s)
        logs.info(
            'stream_answered',
            request=call.id,
            status=response.status,
            sends=len(call.log.attempts),
            events=self.reader.count,
            first_event_s=first_s if self._first_event_at else -1,
            longest_pause_s=self._longest_pause_s,
            after_s=time.monotonic() - call.arrived_at,
        )
