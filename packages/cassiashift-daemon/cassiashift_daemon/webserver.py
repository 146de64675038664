"""The HTTP server of an entry."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import ssl
import urllib.parse

from aiohttp import web
from aiohttp import web_runner
import attrs

from cassiashift_core import heads
from cassiashift_daemon import head_guard

BACKLOG = 128
# The request of a connection that was just opened may be on its way.
LINGER_S = 0.3
FINISH_INTERVAL_S = 0.05
SHUTDOWN_TIMEOUT_S = 1.0
MAX_HEADER_BYTES = 16 * 1024


async def serve(
    address: str,
    routes: list[web.RouteDef],
    max_body_bytes: int,
    tls: ssl.SSLContext | None,
    limits: Callable[[], heads.HeadLimits] = heads.HeadLimits,
) -> 'Listener':
    """Serve routes at ``IP:PORT``; the returned listener ends that.

    Args:
        limits: returns the limits on heads that are in force.
    """
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
    return await listen(runner, address, tls, limits)


async def listen(
    runner: web.BaseRunner,
    address: str,
    tls: ssl.SSLContext | None = None,
    limits: Callable[[], heads.HeadLimits] = heads.HeadLimits,
) -> 'Listener':
    """Listen at ``IP:PORT`` with a runner that is set up."""
    guard = head_guard.HeadGuard(limits)
    listener = Listener(runner, bind(address), tls, guard)
    await listener.start()
    return listener


def bind(address: str) -> socket.socket:
    """Return a socket that is bound to ``IP:PORT``."""
    parts = urllib.parse.urlsplit(f'//{address}')
    family = socket.AF_INET6 if ':' in parts.hostname else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((parts.hostname, parts.port))
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def close_after(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Close the connection after an answer with ``Connection: close``.

    It stays open for requests that the caller has sent meanwhile: the server
    would drop them unanswered.
    """
    # aiohttp has no public count of the requests that it has read.
    if not request.protocol._messages:
        response.force_close()


class _GuardedSite(web.SockSite):
    """A site whose connections are watched by a guard."""

    def __init__(
        self,
        runner: web.BaseRunner,
        sock: socket.socket,
        create_protocol: Callable[[], asyncio.Protocol],
        **options,
    ) -> None:
        super().__init__(runner, sock, **options)
        self._create_protocol = create_protocol

    async def start(self) -> None:
        """Listen for connections."""
        await web_runner.BaseSite.start(self)
        self._server = await asyncio.get_running_loop().create_server(
            self._create_protocol,
            sock=self._sock,
            ssl=self._ssl_context,
            backlog=self._backlog,
        )


@attrs.define(eq=False)
class Listener:
    """A listening socket that loses no connection when it is closed."""

    runner: web.BaseRunner
    sock: socket.socket
    tls: ssl.SSLContext | None = None
    guard: head_guard.HeadGuard = attrs.field(factory=head_guard.HeadGuard)
    _site: web.SockSite | None = None

    async def start(self) -> None:
        """Listen for connections."""
        self._site = _GuardedSite(
            self.runner,
            self.sock,
            self._create_protocol,
            ssl_context=self.tls,
            backlog=BACKLOG,
        )
        await self._site.start()

    async def stop(self) -> None:
        """Accept the connections that have been opened, then no more.

        Returns once the requests on their way have had time to arrive.

        The loop closes the socket without a look at its queue, and the kernel
        resets what waits there. A duplicate keeps it open for the last ones.
        A second call does nothing.
        """
        if self._site is None:
            return
        with self.sock.dup() as duplicate:
            await self._site.stop()
            self._site = None
            loop = asyncio.get_running_loop()
            accepted = []
            with contextlib.suppress(OSError):
                while True:
                    accepted.append(duplicate.accept()[0])
        for connection in accepted:
            connection.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(
                    self._create_protocol, connection, ssl=self.tls
                )
        await asyncio.sleep(LINGER_S)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self.runner.server.connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that wait for callers to read."""
        return sum(
            conn.transport.get_write_buffer_size()
            for conn in self.runner.server.connections
            if conn.transport is not None
        )

    async def finish(self, wait_idle: Callable[[], Awaitable[None]]) -> None:
        """Close each connection once all of its answers are sent.

        Unlike ``unsent_bytes`` it also waits for what is encrypted already,
        which no TLS transport counts.

        Args:
            wait_idle: returns once no request is in progress.
        """
        # Requests that were read still begin, but no further ones.
        self.runner.server.pre_shutdown()
        await asyncio.sleep(FINISH_INTERVAL_S)
        await wait_idle()
        for conn in self.runner.server.connections:
            conn.force_close()
        while self.connection_count:
            await asyncio.sleep(FINISH_INTERVAL_S)

    async def close(self) -> None:
        """Close all connections."""
        await self.runner.cleanup()

    def _create_protocol(self) -> asyncio.Protocol:
        return self.guard.create_handler(self.runner.server)
