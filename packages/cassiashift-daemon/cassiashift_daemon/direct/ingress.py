"""Serves callers: reads a request, has it answered, passes the answer on."""

import asyncio
import random
import time

from aiohttp import web
import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_core import Verdict
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import dialect
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import metrics
from cassiashift_daemon.direct import placement
from cassiashift_daemon.direct import refusals
from cassiashift_daemon.direct import streams
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs

# Sent when a process that has just started knows no configuration yet.
UNCONFIGURED_RETRY_S = 0.5


class BrokenOffError(Exception):
    """The answer has begun and can't be finished."""


@attrs.define(eq=False)
class Ingress:
    """Handles the requests of callers.

    Attributes:
        is_leaving: answers tell callers to close their connections.
        in_flight: requests that are not answered yet.
        handled: requests so far.
    """

    dialect: dialect.Dialect
    holder: tables.TableHolder
    exchange: exchange.Exchange
    placement: placement.Placement
    rng: random.Random
    metrics: metrics.Metrics
    is_leaving: bool = False
    in_flight: int = 0
    handled: int = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.in_flight += 1
        self.handled += 1
        started = time.monotonic()
        request_id = request.headers.get(self.dialect.headers.request_id, '')
        outcome = 'cancelled'
        try:
            response = await self._answer(request)
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
                after_s=time.monotonic() - started,
                configuration=self.holder.version,
            )
            return self.closing(refusals.response_of(exc))
        except BrokenOffError as exc:
            outcome = 'broken_off'
            logs.warning(
                'answer_broken_off',
                request=request_id,
                reason=str(exc),
                after_s=time.monotonic() - started,
            )
            # The connection ends without the mark of the stream's end.
            if request.transport is not None:
                request.transport.close()
            raise asyncio.CancelledError from exc
        finally:
            self.in_flight -= 1
            spent_s = time.monotonic() - started
            self.metrics.request_ended(outcome, spent_s)
            if outcome == 'cancelled':
                logs.info('caller_left', request=request_id, after_s=spent_s)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        call = await self._read(request)
        if call.route.kind is routes.Kind.STREAM:
            relay = streams.StreamRelay(self, request, call)
            return await self._relay(call, relay)
        answer = await calls.until_end(call, self._whole(call))
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
        return self.closing(response)

    async def _relay(
        self, call: calls.Call, relay: streams.StreamRelay
    ) -> web.StreamResponse:
        try:
            return await calls.until_end(call, relay.run())
        except CassiashiftError as exc:
            if relay.response is not None:
                # Nothing but the rest of the stream may follow its head.
                raise BrokenOffError(str(exc)) from exc
            raise

    async def _read(self, request: web.BaseRequest) -> calls.Call:
        arrived_at = time.monotonic()
        table = self.holder.table
        if table is None:
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                'no configuration is known here yet',
                retry_after_s=UNCONFIGURED_RETRY_S,
            )
        raw_path = request.raw_path
        host = request.headers.get('Host', '').partition(':')[0]
        route = table.find(host, calls.path_of(raw_path))
        if route is None:
            raise CassiashiftError(
                ErrorCode.NOT_FOUND, 'no route for this host and path'
            )
        workspace = self._workspace(request, table, route)
        body = await _body_of(request, table.limits.max_body_bytes)
        names = self.dialect.headers
        wait_s = _seconds_of(request.headers.get(names.deadline_ms))
        if wait_s is None:
            wait_s = route.timeout_s
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
        )

    def _workspace(
        self,
        request: web.BaseRequest,
        table: routes.RouteTable,
        route: routes.Route,
    ) -> routes.Workspace | None:
        if route.is_public or not table.workspaces:
            return None
        given = request.headers.get('Authorization', '')
        scheme, _, key = given.partition(' ')
        found = table.workspace_of(key.strip())
        if found is None or scheme.lower() != self.dialect.key_scheme.lower():
            raise CassiashiftError(
                ErrorCode.UNAUTHENTICATED, 'the key is missing or unknown'
            )
        return found

    async def _whole(self, call: calls.Call) -> exchange.Answer:
        """Return a whole answer, over several sends where that is allowed.

        An upstream's own failure is passed on unless another one does
        better.
        """
        failed_answer = None
        while True:
            try:
                answer = await self._send_whole(call)
            except exchange.SendFailedError as exc:
                if call.log.may_retry():
                    continue
                if failed_answer is not None:
                    return failed_answer
                raise self.error_of(exc, call) from exc
            except CassiashiftError:
                if failed_answer is not None:
                    return failed_answer
                raise
            if answer.status < exchange.SERVER_ERROR:
                return answer
            failed_answer = answer
            if not call.log.may_retry():
                return failed_answer

    async def _send_whole(self, call: calls.Call) -> exchange.Answer:
        upstream = await self.placement.place(call)
        started = time.monotonic()
        try:
            answer = await self.exchange.whole(call, upstream)
            self.note_answer(call, upstream, answer, started)
            return answer
        except exchange.SendFailedError as exc:
            self.note_failure(call, upstream, exc, started)
            raise
        finally:
            held_s = time.monotonic() - started
            self.placement.done(call, upstream, held_s)

    def error_of(
        self, failure: exchange.SendFailedError, call: calls.Call
    ) -> CassiashiftError:
        """Return the error for a request whose last send has failed."""
        return_after_s = self.placement.return_after_s(call)
        return refusals.error_of(failure, call, return_after_s)

    def note_answer(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        answer: exchange.Answer,
        started: float,
    ) -> None:
        """Note an answer of an upstream."""
        call.ended(upstream, Verdict.RAN)
        if answer.status < exchange.SERVER_ERROR:
            self.placement.succeeded(upstream)
        else:
            failure = exchange.SendFailedError('error_status', Verdict.RAN)
            self.placement.failed(upstream, failure)
        logs.info(
            'upstream_answered',
            request=call.id,
            upstream=upstream.id,
            status=answer.status,
            send=len(call.log.attempts),
            took_s=time.monotonic() - started,
        )

    def note_failure(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        failure: exchange.SendFailedError,
        started: float,
    ) -> None:
        """Note a send without an answer."""
        call.ended(upstream, failure.verdict)
        self.placement.failed(upstream, failure)
        self.metrics.send_failed(failure.reason)
        logs.warning(
            'send_failed',
            request=call.id,
            upstream=upstream.id,
            reason=failure.reason,
            verdict=failure.verdict.value,
            send=len(call.log.attempts),
            took_s=time.monotonic() - started,
            at_fault=failure.at_fault,
        )

    def closing(self, response: web.StreamResponse) -> web.StreamResponse:
        """Tell the caller of a leaving entry to close its connection."""
        if self.is_leaving:
            response.force_close()
        return response


async def _body_of(request: web.BaseRequest, limit: int) -> bytes:
    if not request.body_exists:
        return b''
    body = bytearray()
    async for piece in request.content.iter_any():
        body += piece
        if len(body) > limit:
            raise CassiashiftError(
                ErrorCode.BODY_TOO_LARGE, f'the body exceeds {limit} bytes'
            )
    return bytes(body)


def _seconds_of(milliseconds: str | None) -> float | None:
    if milliseconds is None:
        return None
    try:
        return max(0.0, float(milliseconds) / 1000)
    except ValueError:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, 'the deadline is not a number'
        ) from None
