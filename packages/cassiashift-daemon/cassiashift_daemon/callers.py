"""The HTTP interface for callers."""

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import Any
import uuid

from aiohttp import web
import attrs
import msgspec

from cassiashift_core import CassiashiftError
from cassiashift_core import directory
from cassiashift_core import draining
from cassiashift_core import ErrorCode
from cassiashift_core import manifest
from cassiashift_core import Verdict
from cassiashift_daemon import access
from cassiashift_daemon import at_most_once
from cassiashift_daemon import calls
from cassiashift_daemon import calls_in_progress
from cassiashift_daemon import metrics
from cassiashift_daemon import requests
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_daemon import webserver
from cassiashift_net import problems

REPLAYED_HEADER = 'Idempotency-Replayed'
UPSTREAM_HEADER = 'X-Cassiashift-Upstream'
MAX_REQUEST_ID_LENGTH = 64


@attrs.define(eq=False)
class CallerApi:
    """Handlers of the callers' routes.

    Attributes:
        once: runs calls that must not run twice.
        record: adds an event to the time line.
        record_demand: counts the tokens of a workspace's call.
        is_ready: returns whether a confirmed manifest is in force.
        is_leaving: returns whether a planned stop has begun.
        table: the HTTP requests in progress.
        has_ended: requests get their final answers at once.
    """

    cfg: settings.EntrySettings
    holder: shared_state.SharedHolder
    directory: directory.Directory
    runner: calls.CallRunner
    once: at_most_once.AtMostOnceRunner
    record: Any
    metrics: metrics.Metrics
    record_demand: Callable[[str, int], None]
    is_ready: Any
    is_leaving: Any
    table: calls_in_progress.CallTable = attrs.field(
        factory=calls_in_progress.CallTable
    )
    has_ended: bool = False
    # Calls that go on when their callers have left.
    _detached: dict[asyncio.Task, calls_in_progress.Row] = attrs.field(
        factory=dict
    )

    @property
    def in_flight(self) -> int:
        """Return the number of HTTP requests in progress."""
        return len(self.table)

    def unfinished(self) -> list[draining.Unfinished]:
        """Return the calls in progress, also those of callers that left."""
        rows = self.table.rows() | set(self._detached.values())
        return [row.describe() for row in rows]

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that callers use."""
        return [
            web.get('/healthz', self.health),
            web.get('/readyz', self.ready),
            web.get('/v1/directory', self.wrap_handler(self.answer_directory)),
            web.post('/v1/chat/completions', self.wrap_handler(self.chat)),
            web.route(
                '*',
                '/v1/services/{name}/{tail:.*}',
                self.wrap_handler(self.service),
            ),
        ]

    async def health(self, req: web.Request) -> web.Response:
        """Answer that the process runs."""
        return web.json_response({'healthy': True})

    async def ready(self, req: web.Request) -> web.Response:
        """Answer 200 if new callers should be sent here, else 503."""
        is_ready = self.is_ready() and not self.is_leaving()
        status = 200 if is_ready else 503
        return web.json_response({'ready': is_ready}, status=status)

    def wrap_handler(self, handler: Any) -> Any:
        """Wrap a handler: count and time requests, answer errors as JSON."""

        async def handle(req: web.Request) -> web.StreamResponse:
            row = self.table.begin(_request_id(req))
            try:
                resp = await self._run_until_end(handler, req, row)
            except CassiashiftError as exc:
                self._record_end(row.id, exc)
                resp = problems.error_response(exc, row.id)
            finally:
                self.table.end(row)
                spent_s = time.monotonic() - row.arrived_at
                self.metrics.timing('requests', spent_s)
            if self.is_leaving() and not resp.prepared:
                webserver.close_after(req, resp)
            return resp

        return handle

    def end_all(self) -> None:
        """Give each request its final answer now, and refuse further ones."""
        self.has_ended = True
        now = asyncio.get_running_loop().time()
        for row in self.table.rows():
            row.scope.reschedule(now)

    async def _run_until_end(
        self, handler: Any, req: web.Request, row: calls_in_progress.Row
    ) -> web.StreamResponse:
        if self.has_ended:
            raise self._error_at_end(row)
        try:
            async with asyncio.timeout(None) as row.scope:
                return await handler(req, row)
        except TimeoutError:
            if not row.is_expired:
                raise
            raise self._error_at_end(row) from None

    def _error_at_end(self, row: calls_in_progress.Row) -> CassiashiftError:
        goes_on = row in self._detached.values()
        return draining.error_at_end(row.describe(), goes_on)

    async def answer_directory(
        self, req: web.Request, row: calls_in_progress.Row
    ) -> web.Response:
        """Answer with the addresses of entries that a workspace should use."""
        workspace = req.query.get('workspace', '')
        if not workspace:
            raise CassiashiftError(
                ErrorCode.BAD_REQUEST, 'the parameter workspace is missing'
            )
        answer = self.directory.answer(
            workspace, time.monotonic(), req.query.get('data_centre')
        )
        if not answer.addresses:
            raise CassiashiftError(
                ErrorCode.NO_UPSTREAM, 'no entry is usable', retry_after_s=1.0
            )
        return web.json_response(
            {
                'workspace': workspace,
                'addresses': list(answer.addresses),
                'ttl_s': round(answer.ttl_s, 3),
            }
        )

    async def chat(
        self, req: web.Request, row: calls_in_progress.Row
    ) -> web.StreamResponse:
        """Answer a chat completion, streamed or whole."""
        workspace = self._authenticate(req)
        body = await self._read_body(req)
        row.call = requests.chat_call(
            self.cfg, workspace, row.id, req.headers, body
        )
        return await self._serve(req, row, row.call)

    async def service(
        self, req: web.Request, row: calls_in_progress.Row
    ) -> web.StreamResponse:
        """Answer a call of a service that is not a model."""
        workspace = self._authenticate(req)
        body = await self._read_body(req)
        row.call = requests.service_call(
            self.cfg,
            self.holder.view,
            workspace,
            row.id,
            requests.ServiceRequest(
                req.match_info['name'],
                req.method,
                '/' + req.match_info['tail'],
                req.query_string,
            ),
            req.headers,
            body,
        )
        return await self._serve(req, row, row.call)

    async def wait_idle(self) -> None:
        """Return as soon as no call is in progress."""
        while self.in_flight or self._detached:
            await asyncio.sleep(0.05)

    async def _serve(
        self, req: web.Request, row: calls_in_progress.Row, call: calls.Call
    ) -> web.StreamResponse:
        self.record_demand(call.workspace, call.tokens)
        self.record(
            'call_arrived',
            call.request_id,
            workspace=call.workspace,
            pool=call.pool,
        )
        if call.idempotent and not call.idempotency_key:
            return await self._serve_idempotent(req, row, call)
        answer = await self._run_detached(row, self._run_at_most_once(call))
        self._record_end(call.request_id, None)
        return _build_response(call, answer)

    async def _serve_idempotent(
        self, req: web.Request, row: calls_in_progress.Row, call: calls.Call
    ) -> web.StreamResponse:
        await self.runner.enter(call)
        try:
            answer = await self.runner.run(call)
            if answer.stream is None:
                self._record_end(call.request_id, None)
                return _build_response(call, answer)
            return await self._stream(req, row, call, answer)
        finally:
            self.runner.release(call, call.tokens)

    async def _run_at_most_once(self, call: calls.Call) -> calls.Answer:
        await self.runner.enter(call)
        try:
            return await self.once.run(call)
        finally:
            self.runner.release(call, call.tokens)

    async def _run_detached(
        self, row: calls_in_progress.Row, coroutine: Any
    ) -> Any:
        """Await a task that goes on if the caller disconnects.

        So the outcome of a call that was begun is always recorded.
        """
        task = asyncio.ensure_future(coroutine)
        self._detached[task] = row
        task.add_done_callback(self._detached.pop)
        return await asyncio.shield(task)

    async def _stream(
        self,
        req: web.Request,
        row: calls_in_progress.Row,
        call: calls.Call,
        answer: calls.Answer,
    ) -> web.StreamResponse:
        resp = web.StreamResponse(status=answer.status)
        _copy_headers(resp, call, answer, Verdict.RAN)
        try:
            call.progress.stream = answer.stream
            await resp.prepare(req)
            async for data in answer.stream.body():
                await resp.write(data)
            await resp.write_eof()
            self._record_end(call.request_id, None)
        except CassiashiftError as exc:
            self._record_end(call.request_id, exc)
            await self._break_stream(req, resp, call, exc)
        except asyncio.CancelledError:
            if not (row.is_expired and resp.prepared):
                raise
            exc = self._error_at_end(row)
            self._record_end(call.request_id, exc)
            await self._break_stream(req, resp, call, exc)
        finally:
            self.runner.finish_stream(call, answer.stream)
        return resp

    async def _break_stream(
        self,
        req: web.Request,
        resp: web.StreamResponse,
        call: calls.Call,
        exc: CassiashiftError,
    ) -> None:
        """Send an error event and close the connection.

        The body gets no end mark, so that the caller sees it was cut off.
        """
        report = {
            'error': {
                'code': ErrorCode.STREAM_BROKEN.value,
                'message': exc.message,
                'request_id': call.request_id,
                'verdict': Verdict.MAY_HAVE_RUN.value,
            }
        }
        with contextlib.suppress(ConnectionError):
            await resp.write(
                b'event: error\ndata: ' + msgspec.json.encode(report) + b'\n\n'
            )
        if req.transport is not None:
            req.transport.close()

    def _authenticate(self, req: web.Request) -> manifest.Workspace:
        key = access.bearer_key(req.headers.get('Authorization'))
        view = self.holder.view
        if view.is_empty or not self.is_ready():
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                'this entry has no confirmed manifest yet',
                retry_after_s=1.0,
            )
        workspace = access.workspace_of(view, key)
        if workspace is None:
            raise CassiashiftError(
                ErrorCode.UNAUTHENTICATED, 'no workspace has this key'
            )
        return workspace

    async def _read_body(self, req: web.Request) -> bytes:
        try:
            return await req.read()
        except web.HTTPRequestEntityTooLarge:
            raise CassiashiftError(
                ErrorCode.BODY_TOO_LARGE, 'the body is too large'
            ) from None

    def _record_end(
        self, request_id: str, exc: CassiashiftError | None
    ) -> None:
        verdict = exc.verdict.value if exc else Verdict.RAN.value
        code = exc.code.value if exc else ''
        self.metrics.increment(f'calls.{verdict}')
        if code:
            self.metrics.increment(f'errors.{code}')
        self.record('call_ended', request_id, verdict=verdict, code=code)


def _request_id(req: web.Request) -> str:
    request_id = req.headers.get(problems.REQUEST_ID_HEADER, '')
    usable = request_id.isascii() and request_id.replace('-', '').isalnum()
    if usable and len(request_id) <= MAX_REQUEST_ID_LENGTH:
        return request_id
    return uuid.uuid4().hex


def _copy_headers(
    resp: web.StreamResponse,
    call: calls.Call,
    answer: calls.Answer,
    verdict: Verdict,
) -> None:
    for name, value in answer.headers:
        if name.lower() not in ('date', 'server', 'x-request-id'):
            resp.headers[name] = value
    resp.headers[problems.REQUEST_ID_HEADER] = call.request_id
    resp.headers[problems.VERDICT_HEADER] = verdict.value
    if answer.upstream:
        resp.headers[UPSTREAM_HEADER] = answer.upstream
    if answer.replayed:
        resp.headers[REPLAYED_HEADER] = 'true'


def _build_response(call: calls.Call, answer: calls.Answer) -> web.Response:
    resp = web.Response(status=answer.status, body=answer.body)
    _copy_headers(resp, call, answer, Verdict.RAN)
    return resp
