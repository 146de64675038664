"""HTTP responses for errors: JSON with a code, a verdict and a message."""

import math

from aiohttp import web

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode

REQUEST_ID_HEADER = 'X-Request-Id'
VERDICT_HEADER = 'X-Cassiashift-Verdict'

STATUS_OF_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.MANIFEST_INVALID: 422,
    ErrorCode.LIMIT_EXCEEDED: 429,
    ErrorCode.INTERNAL: 500,
    ErrorCode.STORAGE_DAMAGED: 500,
    ErrorCode.STORAGE_REFUSED: 500,
    ErrorCode.OUTCOME_UNKNOWN: 502,
    ErrorCode.STREAM_BROKEN: 502,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.DRAINING: 503,
    ErrorCode.FENCED: 503,
    ErrorCode.NOT_LEADER: 503,
    ErrorCode.NO_QUORUM: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.PROMPT_BLOCKED: 503,
    ErrorCode.DEADLINE_EXCEEDED: 504,
}


def error_response(exc: CassiashiftError, request_id: str) -> web.Response:
    """Return the HTTP response for an error; its status follows the code."""
    body = {
        'error': {
            'code': exc.code.value,
            'message': exc.message,
            'request_id': request_id,
            'verdict': exc.verdict.value,
        }
    }
    headers = {
        REQUEST_ID_HEADER: request_id,
        VERDICT_HEADER: exc.verdict.value,
    }
    if exc.retry_after_s is not None:
        body['error']['retry_after_s'] = exc.retry_after_s
        headers['Retry-After'] = str(math.ceil(exc.retry_after_s))
    status = STATUS_OF_CODE[exc.code]
    return web.json_response(body, status=status, headers=headers)
