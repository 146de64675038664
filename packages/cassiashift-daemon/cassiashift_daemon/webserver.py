"""The HTTP server of an entry."""

import ssl
import urllib.parse

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 1.0
MAX_HEADER_BYTES = 16 * 1024


async def serve(
    address: str,
    routes: list[web.RouteDef],
    max_body_bytes: int,
    tls: ssl.SSLContext | None,
) -> web.AppRunner:
    """Serve routes at ``IP:PORT``; the returned runner stops the server."""
    app = web.Application(
        client_max_size=max_body_bytes,
        handler_args={'max_line_size': MAX_HEADER_BYTES},
    )
    app.add_routes(routes)
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await listen(runner, address, tls)
    return runner


async def listen(
    runner: web.BaseRunner,
    address: str,
    tls: ssl.SSLContext | None = None,
) -> None:
    """Listen at ``IP:PORT`` with a runner that is set up."""
    parts = urllib.parse.urlsplit(f'//{address}')
    site = web.TCPSite(
        runner,
        parts.hostname,
        parts.port,
        reuse_address=True,
        ssl_context=tls,
    )
    await site.start()
