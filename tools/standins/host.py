"""Serves stand-ins on the running event loop."""

import asyncio

from aiohttp import web
import attrs

SHUTDOWN_TIMEOUT_S = 0.2


@attrs.define(eq=False)
class StandinServers:
    """The HTTP servers of all stand-ins in this process."""

    _runners: dict[str, web.AppRunner] = attrs.field(factory=dict)

    async def serve(self, app: web.Application, ip: str, port: int) -> str:
        """Serve an application and return its base URL."""
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, ip, port).start()
        url = f'http://{ip}:{port}'
        self._runners[url] = runner
        return url

    async def crash(self, url: str, down_s: float) -> None:
        """Reset the connections of a server and refuse new ones for a time."""
        runner = self._runners[url]
        for handler in list(runner.server.connections):
            if handler.transport is not None:
                handler.transport.abort()
        for site in list(runner.sites):
            await site.stop()
        await asyncio.sleep(down_s)
        host, _, port = url.removeprefix('http://').rpartition(':')
        site = web.TCPSite(runner, host, int(port), reuse_address=True)
        await site.start()

    async def close(self) -> None:
        """Close all servers."""
        for runner in self._runners.values():
            await runner.cleanup()
