"""Serves stand-ins on the running event loop."""

from aiohttp import web
import attrs

SHUTDOWN_TIMEOUT_S = 0.2


@attrs.define(eq=False)
class StandinServers:
    """The HTTP servers of all stand-ins in this process."""

    _runners: list[web.AppRunner] = attrs.field(factory=list)

    async def serve(self, app: web.Application, ip: str, port: int) -> str:
        """Serve an application and return its base URL."""
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, ip, port).start()
        self._runners.append(runner)
        return f'http://{ip}:{port}'

    async def close(self) -> None:
        """Close all servers."""
        for runner in self._runners:
            await runner.cleanup()
