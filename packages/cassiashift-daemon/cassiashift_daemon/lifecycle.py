"""Start and stop of a process, shared by both roles."""

import asyncio
import contextlib
import signal

import aiomisc

from cassiashift_daemon import logs

FAST_STOP_SIGNALS = 2
EXIT_FAILED = 1


class Process(aiomisc.Service):
    """A service that drains on the first SIGTERM and ends on the second.

    SIGINT counts as SIGTERM. A role overrides ``open``, ``drain``, ``close``
    and ``stop_timeout_s``.

    Attributes:
        exit_status: status that the process should exit with.
    """

    def __init__(self) -> None:
        """Initialise the service without opening anything."""
        super().__init__()
        self._stopped = asyncio.Event()
        self.exit_status = 0
        self._signals = 0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Install the signal handlers and open the process."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.open()

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel every task, wait for their end and close the process."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.close()

    async def wait_stopped(self) -> None:
        """Wait until the process should end."""
        await self._stopped.wait()

    def fail(self, reason: str) -> None:
        """End the process without a drain and with ``EXIT_FAILED``."""
        logs.error('process_failed', reason=reason)
        self.exit_status = EXIT_FAILED
        self._stopped.set()

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine as a task; log its failure, cancel it on stop."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def run_periodically(self, interval_s: float, action) -> None:
        """Call an action periodically; log its exceptions and go on."""
        while True:
            try:
                action()
            except Exception as exc:
                logs.error('periodic_failed', error=repr(exc))
            await asyncio.sleep(interval_s)

    def reload(self) -> None:
        """Handle SIGHUP; a role may override it to read settings again."""
        logs.info('reload_asked')

    async def open(self) -> None:
        """Open links, servers and files."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Finish the work in progress and accept no new work."""
        raise NotImplementedError

    async def close(self) -> None:
        """Close links, servers and files."""
        raise NotImplementedError

    def _on_stop_signal(self) -> None:
        self._signals += 1
        logs.info('stop_asked', count=self._signals)
        if self._signals >= FAST_STOP_SIGNALS:
            self._stopped.set()
            return
        self.spawn(self._drain_and_end())

    async def _drain_and_end(self) -> None:
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.drain(), self.stop_timeout_s)
        self._stopped.set()

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds after which a drain is cut short."""
        raise NotImplementedError

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.error('task_failed', error=repr(task.exception()))
