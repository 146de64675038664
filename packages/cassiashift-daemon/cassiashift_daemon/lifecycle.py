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

    A role overrides ``open``, ``drain`` and ``close``.
    """

    def __init__(self) -> None:
        """Prepare the service; nothing is opened yet."""
        super().__init__()
        self._stopped = asyncio.Event()
        self.exit_status = 0
        self._signals = 0
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Open the process and listen for signals."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._signalled)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.open()

    async def stop(self, exception: Exception | None = None) -> None:
        """End every task and close the process."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.close()

    async def stopped(self) -> None:
        """Wait until the process has been told to end."""
        await self._stopped.wait()

    def fail(self, reason: str) -> None:
        """End the process at once, with a status that says so."""
        logs.error('process_failed', reason=reason)
        self.exit_status = EXIT_FAILED
        self._stopped.set()

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine until the process ends; log its failure."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def every(self, interval_s: float, action) -> None:
        """Call an action again and again."""
        while True:
            try:
                action()
            except Exception as exc:
                logs.error('periodic_failed', error=repr(exc))
            await asyncio.sleep(interval_s)

    def reload(self) -> None:
        """Read settings again on SIGHUP; by default nothing changes."""
        logs.info('reload_asked')

    async def open(self) -> None:
        """Open links, servers and files."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Finish the work in progress and take no new work."""
        raise NotImplementedError

    async def close(self) -> None:
        """Close links, servers and files."""
        raise NotImplementedError

    def _signalled(self) -> None:
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
        """Return the seconds that a planned stop may take."""
        raise NotImplementedError

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.error('task_failed', error=repr(task.exception()))
