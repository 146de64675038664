"""Serves callers: reads requests, forwards them and returns the answers."""

import asyncio
import random
import time

from aiohttp import web
import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_core import stalls
from cassiashift_core import Verdict
from cassiashift_daemon.direct import callers
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import dialect
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import in_progress
from cassiashift_daemon.direct import metrics
from cassiashift_daemon.direct import placement
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon.direct import refusals
from cassiashift_daemon.direct import streams
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs
from cassiashift_daemon import webserver

# Retry-After of a process that has no configuration yet. After a restart of
# all entries a leader is elected first; callers that come back sooner are
# refused again, and most come back once only.
UNCONFIGURED_RETRY_S = 0.5
CONFIGURED_AFTER_S = 1.6
UNCONFIGURED_RETRY_SPREAD = 0.5
STATUS_REDIRECT = 300
# Parts of a prompt in one log line.
MAX_LOGGED_PARTS = 8
# Retry-After of work that is refused for want of memory: within this time the
# requests that hold it end, or their callers are given up.
MEMORY_RETRY_S = 1.0
MEMORY_RETRY_SPREAD = 1.0
ENTRY_STOPS = 'this entry stops'
# Interval of looks at whether requests have ended.
TURN_S = 0.002


class StreamBrokenOffError(Exception):
    """A stream failed after its first events were sent to the caller."""


@attrs.define(eq=False)
class Ingress:
    """Handles the requests of callers.

    Attributes:
        is_leaving: a planned stop has begun; answers tell callers to close
            their connections.
        is_refusing: no request is taken any more.
        requests: the requests in progress.
        handled: requests since the last update of the request rate, which
            resets this count.
        handled_by_engines: those of them to services with an engine.
        started_at: monotonic time at which this entry began to serve.
    """

    dialect: dialect.Dialect
    holder: tables.TableHolder
    exchange: exchange.Exchange
    placement: placement.Placement
    guard: poison_guard.PoisonGuard
    rng: random.Random
    metrics: metrics.Metrics
    is_leaving: bool = False
    is_refusing: bool = False
    requests: in_progress.RequestTable = attrs.field(
        factory=in_progress.RequestTable
    )
    handled: int = 0
    handled_by_engines: int = 0
    started_at: float = attrs.field(factory=time.monotonic)
    stall_judge: stalls.StallJudge = attrs.field(factory=stalls.StallJudge)
    _relays: set[streams.StreamRelay] = attrs.field(factory=set)
    writer: callers.CallerWriter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the writer of answers, which counts in the same ledger."""
        self.writer = callers.CallerWriter(self.exchange.ledger, self.metrics)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self.requests)

    def tick(self) -> None:
        """Move streams whose upstream has stalled to others."""
        now = time.monotonic()
        for relay in list(self._relays):
            relay.check_stall(now)
        self.writer.tick()

    def refuse_all(self) -> None:
        """Refuse each request that arrives from now on, as not run."""
        self.is_leaving = self.is_refusing = True

    def end_unanswered(self) -> None:
        """Give each request without an answer its final one now.

        It would otherwise end with its connection. A stream that has begun
        goes on until ``end_all``.
        """
        self.refuse_all()
        unanswered = self.requests.unanswered()
        for row in unanswered:
            row.expire()
        if unanswered:
            logs.warning('requests_ended_by_stop', requests=len(unanswered))

    async def end_all(self, within_s: float) -> None:
        """Answer each request finally, or break its answer off.

        Returns when all have ended, but after ``within_s`` at the latest.
        """
        self.refuse_all()
        self.requests.expire_all()
        ends_at = time.monotonic() + within_s
        # Requests that were read just now get their refusal as well.
        await asyncio.sleep(TURN_S)
        while self.requests and time.monotonic() < ends_at:
            # An answer that has just begun takes its expiry back.
            self.requests.expire_all()
            await asyncio.sleep(TURN_S)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and log and count its outcome."""
        request_id = request.headers.get(self.dialect.headers.request_id, '')
        conn = request.protocol
        row = self.requests.begin(request_id, conn)
        if self.requests.is_final:
            logs.warning('request_after_end', request=request_id)
        self.handled += 1
        self.exchange.ledger.begin_request()
        self.writer.limit(request)
        outcome = 'cancelled'
        try:
            response = await self._serve_until_expired(request, row)
            outcome = str(response.status)
            return response
        except CassiashiftError as exc:
            outcome = exc.code.value
            logs.warning(
                'request_failed',
                request=request_id,
                code=exc.code.value,
                verdict=exc.verdict.value,
                reason=exc.message,
                after_s=time.monotonic() - row.arrived_at,
                configuration=self.holder.version,
            )
            response = refusals.error_response(exc)
            return self.close_if_leaving(request, response)
        except StreamBrokenOffError as exc:
            outcome = 'broken_off'
            logs.warning(
                'answer_broken_off',
                request=request_id,
                reason=str(exc),
                after_s=time.monotonic() - row.arrived_at,
            )
            # Closed without the final chunk, so that the caller sees that
            # the stream is incomplete.
            self.writer.break_off(request)
            raise asyncio.CancelledError from exc
        except ConnectionError:
            # The caller has left.
            raise
        except Exception as exc:
            outcome = 'crashed'
            logs.error('request_crashed', request=request_id, error=repr(exc))
            if not row.has_begun:
                error = CassiashiftError(
                    ErrorCode.INTERNAL, 'the entry failed', row.verdict
                )
                return refusals.error_response(error)
            # The server would write a second head after what is written.
            self.writer.break_off(request)
            raise asyncio.CancelledError from exc
        except asyncio.CancelledError:
            if not row.has_caller_left:
                outcome = 'cut_by_end'
            raise
        finally:
            self.requests.end(conn)
            self.exchange.ledger.end_request()
            spent_s = time.monotonic() - row.arrived_at
            self.metrics.record_request(outcome, spent_s)
            if outcome == 'cancelled':
                logs.info('caller_left', request=request_id, after_s=spent_s)

    async def _serve_until_expired(
        self, request: web.BaseRequest, row: in_progress.Row
    ) -> web.StreamResponse:
        """Serve a request until its answer is handed over or it expires.

        Raises:
            CassiashiftError: it has no answer.
            StreamBrokenOffError: its answer has begun and is not complete.
        """
        try:
            async with row.scope:
                return await self._serve(request, row)
        except TimeoutError:
            if not row.scope.expired():
                raise
            if row.has_begun:
                raise StreamBrokenOffError(ENTRY_STOPS) from None
            raise self._stop_error(row.verdict) from None

    def _stop_error(self, verdict: Verdict) -> CassiashiftError:
        """Return the error for a request that the stop leaves no answer."""
        if verdict is not Verdict.NOT_RUN:
            return CassiashiftError(
                ErrorCode.DEADLINE_EXCEEDED, ENTRY_STOPS, verdict
            )
        return CassiashiftError(
            ErrorCode.OVERLOADED,
            ENTRY_STOPS,
            retry_after_s=self.placement.admission.retry_after_stop_s(),
        )

    async def _serve(
        self, request: web.BaseRequest, row: in_progress.Row
    ) -> web.StreamResponse:
        if self.is_refusing:
            raise self._stop_error(Verdict.NOT_RUN)
        call = row.call = await self._read_call(request, row)
        try:
            response = await self._answer(request, row, call)
        finally:
            self.exchange.ledger.release(len(call.body))
        row.begin_answer()
        row.is_delivered = True
        try:
            return await self.writer.deliver(request, response)
        except CassiashiftError as exc:
            raise StreamBrokenOffError(str(exc)) from exc

    async def _answer(
        self, request: web.BaseRequest, row: in_progress.Row, call: calls.Call
    ) -> web.StreamResponse:
        if self.holder.engine(call.service) is not None:
            self.handled_by_engines += 1
        if call.route.kind is routes.Kind.STREAM:
            row.relay = streams.StreamRelay(
                self, request, call, row.begin_answer
            )
            return await self._relay_stream(call, row.relay)
        answer = await calls.within_deadline(
            call, self._fetch_with_retries(call)
        )
        headers = answer.headers_for_caller()
        response = web.Response(
            status=answer.status, headers=headers, body=answer.body
        )
        logs.info(
            'request_answered',
            request=call.id,
            status=answer.status,
            sends=len(call.log.attempts),
            after_s=time.monotonic() - call.arrived_at,
        )
        return self.close_if_leaving(request, response)

    async def _relay_stream(
        self, call: calls.Call, relay: streams.StreamRelay
    ) -> web.StreamResponse:
        self._relays.add(relay)
        try:
            return await calls.within_deadline(call, relay.run())
        except CassiashiftError as exc:
            if relay.response is not None:
                # The headers are sent, so an error answer can't follow.
                raise StreamBrokenOffError(str(exc)) from exc
            raise
        finally:
            self._relays.discard(relay)

    async def _read_call(
        self, request: web.BaseRequest, row: in_progress.Row
    ) -> calls.Call:
        arrived_at = time.monotonic()
        table = self.holder.table
        if table is None:
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                'no configuration is known here yet',
                retry_after_s=self._unconfigured_retry_s(arrived_at),
            )
        raw_path = request.raw_path
        host = request.headers.get('Host', '').partition(':')[0]
        route = table.find(host, calls.strip_query(raw_path))
        if route is None:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, 'no route for this host and path'
            )
        row.route = route
        workspace = self._authenticate(request, table, route)
        names = self.dialect.headers
        wait_s = _parse_deadline_s(request.headers.get(names.deadline_ms))
        if wait_s is None:
            wait_s = route.timeout_s
        # From here on nothing may fail: the caller of this method releases
        # the body, which is counted as held.
        body = await self._read_body(request, table.limits.max_body_bytes)
        return calls.Call(
            id=request.headers.get(names.request_id, ''),
            method=request.method,
            path=raw_path,
            headers=request.headers,
            body=body,
            route=route,
            workspace=workspace,
            service=calls.pick_service(route, self.rng),
            arrived_at=arrived_at,
            deadline_at=arrived_at + wait_s,
            ends_at=arrived_at + min(wait_s, route.timeout_s),
            parts=self.dialect.shared_parts(request.headers),
            size=self.dialect.stated_size(request.headers),
            identity=calls.identify(
                self.placement.runner.secret.key,
                workspace,
                request.method,
                raw_path,
                body,
                request.headers.get(names.prompt, ''),
            ),
        )

    async def _read_body(self, request: web.BaseRequest, limit: int) -> bytes:
        """Return the body of a request, counted as held.

        Raises:
            CassiashiftError: BODY_TOO_LARGE, or OVERLOADED for want of
                memory.
        """
        ledger = self.exchange.ledger
        self._require_memory(request, request.content_length or 0)
        if not request.body_exists:
            return b''
        body = bytearray()
        is_read = False
        try:
            async for chunk in request.content.iter_any():
                body += chunk
                ledger.hold(len(chunk))
                ledger.passed_bytes += len(chunk)
                if len(body) > limit:
                    raise CassiashiftError(
                        ErrorCode.BODY_TOO_LARGE,
                        f'the body exceeds {limit} bytes',
                    )
                self._require_memory(request, len(body), len(body))
            is_read = True
        finally:
            if not is_read:
                ledger.release(len(body))
        return bytes(body)

    def _require_memory(
        self, request: web.BaseRequest, size: int, held: int = 0
    ) -> None:
        """Raise OVERLOADED if work of a size is refused for want of memory.

        Args:
            held: bytes of it that are counted as held already.
        """
        ledger = self.exchange.ledger
        reason = ledger.refusal(size, held)
        if reason is None:
            return
        self.metrics.record_memory_event(reason.value)
        logs.warning(
            'memory_short',
            request=request.headers.get(self.dialect.headers.request_id, ''),
            reason=reason.value,
            size=size,
            buffered=ledger.buffered_bytes,
            limit=ledger.limits.process_bytes,
            requests=ledger.requests,
            unread=ledger.unread_count,
        )
        spread = 1 + MEMORY_RETRY_SPREAD * self.rng.random()
        raise CassiashiftError(
            ErrorCode.OVERLOADED,
            'this entry is short of memory',
            retry_after_s=MEMORY_RETRY_S * spread,
        )

    def _unconfigured_retry_s(self, now: float) -> float:
        left_s = self.started_at + CONFIGURED_AFTER_S - now
        spread = 1 + UNCONFIGURED_RETRY_SPREAD * self.rng.random()
        return spread * max(UNCONFIGURED_RETRY_S, left_s)

    def _authenticate(
        self,
        request: web.BaseRequest,
        table: routes.RouteTable,
        route: routes.Route,
    ) -> routes.Workspace | None:
        if route.is_public or not table.workspaces:
            return None
        authorization = request.headers.get('Authorization', '')
        scheme, _, key = authorization.partition(' ')
        workspace = table.workspace_of(key.strip())
        if (
            workspace is None
            or scheme.lower() != self.dialect.key_scheme.lower()
        ):
            raise CassiashiftError(
                ErrorCode.UNAUTHENTICATED, 'the key is missing or unknown'
            )
        return workspace

    async def _fetch_with_retries(self, call: calls.Call) -> exchange.Answer:
        """Return a complete answer, with retries where they are allowed.

        An error status of an upstream is returned only when no retry gets a
        better answer. Its body is counted as held until then.
        """
        failed_answer = None
        ledger = self.exchange.ledger
        held = 0
        try:
            while True:
                try:
                    answer = await self._fetch_once(call)
                except exchange.SendFailedError as exc:
                    if call.log.may_retry():
                        continue
                    if failed_answer is not None:
                        return failed_answer
                    raise self.error_of_send(exc, call) from exc
                except CassiashiftError:
                    if failed_answer is not None:
                        return failed_answer
                    raise
                if answer.status < exchange.STATUS_SERVER_ERROR:
                    return answer
                failed_answer = answer
                if not call.log.may_retry():
                    return failed_answer
                ledger.release(held)
                held = len(answer.body)
                ledger.hold(held)
        finally:
            ledger.release(held)

    async def _fetch_once(self, call: calls.Call) -> exchange.Answer:
        upstream = await self.placement.place(call)
        started = time.monotonic()
        try:
            answer = await self.exchange.fetch(call, upstream)
            self.record_answer(call, upstream, answer, started)
            return answer
        except exchange.SendFailedError as exc:
            await self.record_failure(call, upstream, exc, started)
            raise
        finally:
            held_s = time.monotonic() - started
            self.placement.release(call, upstream, held_s)

    def error_of_send(
        self, failure: exchange.SendFailedError, call: calls.Call
    ) -> CassiashiftError:
        """Return the error for a request whose last send has failed."""
        retry_after_s = 0.0
        if call.log.verdict is Verdict.NOT_RUN:
            retry_after_s = self.placement.admission.retry_after_s(call)
        return refusals.error_of_send(failure, call, retry_after_s)

    def record_answer(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        answer: exchange.Answer,
        started: float,
    ) -> None:
        """Record and log a send that an upstream answered."""
        call.record_send_end(upstream, Verdict.RAN)
        took_s = time.monotonic() - started
        cost_fields = {}
        if answer.status < exchange.STATUS_SERVER_ERROR:
            self.placement.record_success(upstream)
            if answer.status < STATUS_REDIRECT:
                self.guard.record_answer(call)
                cost_fields = self.placement.record_cost(
                    call, upstream, took_s
                )
        else:
            failure = exchange.SendFailedError('error_status', Verdict.RAN)
            self.placement.record_failure(upstream, failure)
        logs.info(
            'upstream_answered',
            request=call.id,
            upstream=upstream.id,
            status=answer.status,
            send=len(call.log.attempts),
            took_s=took_s,
            **cost_fields,
        )

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
        call.record_send_end(upstream, failure.verdict)
        self.placement.record_failure(upstream, failure)
        self.metrics.record_failed_send(failure.reason)
        logs.warning(
            'send_failed',
            request=call.id,
            upstream=upstream.id,
            reason=failure.reason,
            verdict=failure.verdict.value,
            send=len(call.log.attempts),
            took_s=time.monotonic() - started,
            at_fault=failure.at_fault,
            events=call.send_events,
            parts=','.join(call.parts[:MAX_LOGGED_PARTS]),
            identity=call.identity,
        )
        await self.guard.record_failure(call, upstream, failure)

    def close_if_leaving(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Close the connection after an answer of a leaving entry."""
        if self.is_leaving:
            webserver.close_after(request, response)
        return response


class CallerServer(web.Server):
    """The HTTP server of callers."""

    def __init__(self, handler: Ingress, **options) -> None:
        """Serve requests with an ingress.

        Args:
            options: further options of ``web.Server``.
        """
        super().__init__(handler.handle, **options)
        self._requests = handler.requests

    def connection_lost(
        self,
        handler: web.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Note that a caller has left; its request is cancelled next."""
        self._requests.record_lost(handler)
        super().connection_lost(handler, exc)


def create_server(handler: Ingress, **options) -> web.Server:
    """Return the HTTP server of callers.

    Bodies are forwarded as they were sent, under the same headers.

    Args:
        options: further options of ``web.Server``.
    """
    return CallerServer(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        **options,
    )


def _parse_deadline_s(milliseconds: str | None) -> float | None:
    if milliseconds is None:
        return None
    try:
        return max(0.0, float(milliseconds) / 1000)
    except ValueError:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, 'the deadline is not a number'
        ) from None
