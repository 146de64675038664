"""Keeps the HTTP client from sending a request twice.

aiohttp repeats a request with an idempotent method (RFC 9110, section 9.2.2)
on a new connection if the first one breaks. Whether a request may be repeated
depends on its route, not on its method; and if the second connection is
refused, the error of that one hides that the request was sent.
"""

import aiohttp
import attrs


class BrokenSendError(aiohttp.ClientError):
    """The connection broke after the request was sent, in part or whole."""


@attrs.define(eq=False)
class _Send:
    """One request; ``has_connection`` once it was given a connection."""

    has_connection: bool = False


def trace_config() -> aiohttp.TraceConfig:
    """Return a trace that ends a request with its first connection.

    A request that aiohttp would repeat fails with ``BrokenSendError``.
    """
    trace = aiohttp.TraceConfig(
        trace_config_ctx_factory=lambda trace_request_ctx=None: _Send()
    )
    trace.on_connection_create_start.append(_refuse_second_connection)
    trace.on_connection_reuseconn.append(_refuse_second_connection)
    return trace


async def _refuse_second_connection(
    session: aiohttp.ClientSession,
    send: _Send,
    params: aiohttp.TraceConnectionCreateStartParams
    | aiohttp.TraceConnectionReuseconnParams,
) -> None:
    if send.has_connection:
        raise BrokenSendError('the connection broke during a send')
    send.has_connection = True
