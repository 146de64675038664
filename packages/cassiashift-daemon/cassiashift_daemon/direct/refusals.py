"""Converts errors to HTTP answers.

Statuses that promise that a request has not run (see ``core.promises``) are
only sent with the verdict ``NOT_RUN``.
"""

import json

from aiohttp import web

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import Verdict
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import exchange

_STATUSES = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.CONFLICT: 409,
    ErrorCode.MANIFEST_INVALID: 400,
}
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


def http_status(exc: CassiashiftError) -> int:
    """Return the HTTP status for an error."""
    status = _STATUSES.get(exc.code)
    if status is not None:
        return status
    if exc.verdict is Verdict.NOT_RUN:
        return STATUS_UNAVAILABLE
    if exc.code is ErrorCode.DEADLINE_EXCEEDED:
        return STATUS_TIMEOUT
    return STATUS_BAD_GATEWAY


def error_response(
    exc: CassiashiftError, status: int | None = None
) -> web.Response:
    """Return the HTTP answer for an error, with a JSON body.

    Args:
        status: overrides the status that ``http_status`` returns.
    """
    headers = {}
    if exc.retry_after_s is not None:
        headers['Retry-After'] = f'{exc.retry_after_s:.2f}'
    body = {
        'code': exc.code.value,
        'message': exc.message,
        'verdict': exc.verdict.value,
    }
    return web.Response(
        status=status or http_status(exc),
        headers=headers,
        content_type='application/json',
        body=json.dumps(body).encode(),
    )


def error_of_send(
    failure: exchange.SendFailedError,
    call: calls.Call,
    retry_after_s: float,
) -> CassiashiftError:
    """Return the error for a request whose last send has failed.

    Args:
        retry_after_s: when the caller may retry if the request has not run.
    """
    verdict = call.log.verdict
    return CassiashiftError(
        ErrorCode.UPSTREAM_FAILED,
        f'upstream failed: {failure.reason}',
        verdict,
        retry_after_s=retry_after_s if verdict is Verdict.NOT_RUN else None,
    )
