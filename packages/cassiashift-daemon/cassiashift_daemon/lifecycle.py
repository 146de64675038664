"""Start and stop of a process, shared by both roles."""

import asyncio
import signal
import time

import aiomisc

from cassiashift_core import draining
from cassiashift_daemon import logs

EXIT_FAILED = 1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
MAX_UNFINISHED_LINES = 200


class Process(aiomisc.Service):
    """A service that drains on SIGTERM or SIGINT and then ends.

    The drain ends by itself or at ``stop_timeout_s``; further signals change
    nothing. SIGKILL ends a process at once. A role overrides ``open``,
    ``drain``, ``close`` and ``stop_timeout_s``.

    Attributes:
        exit_status: status that the process should exit with.
    """

    def __init__(self) -> None:
        """Initialise the service without opening anything."""
        super().__init__()
        self._stopped = asyncio.Event()
        self.exit_status = 0
        self._signals = 0
        self._stop_asked_at: float | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Install the signal handlers and open the process."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_stop_signal, number)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.open()

    async def stop(self, exception: Exception | None = None) -> None:
        """End the requests, then cancel every task and close the process.

        Logs the requests in progress first: the process may be killed soon.
        """
        self._log_unfinished()
        await self.end_requests()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.close()

    async def wait_stopped(self) -> None:
        """Wait until the process should end."""
        await self._stopped.wait()

    def run(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run the opened process until it should end.

        Signals are ignored from then on: a loop that is closed restores the
        default handlers, which would end the process with another status.
        """
        loop.run_until_complete(self.wait_stopped())
        for number in HANDLED_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    def fail(self, reason: str) -> None:
        """End the process with ``EXIT_FAILED``.

        It ends without a drain, but a drain that has begun goes on.
        """
        logs.error('process_failed', reason=reason)
        self.exit_status = EXIT_FAILED
        if self._stop_asked_at is None:
            self._end('failed')

    def unfinished(self) -> list[draining.Unfinished]:
        """Return the requests in progress; a role may override it."""
        return []

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

    async def end_requests(self) -> None:
        """End what is still in progress; a role may override it.

        The tasks that requests depend on go on meanwhile.
        """

    async def close(self) -> None:
        """Close links, servers and files."""
        raise NotImplementedError

    def _on_stop_signal(self, number: signal.Signals) -> None:
        self._signals += 1
        requests = self.unfinished()
        logs.final_info(
            'stop_asked',
            signal=signal.Signals(number).name,
            count=self._signals,
            in_progress=len(requests),
            **_phase_fields(draining.count_phases(requests)),
        )
        if self._signals == 1:
            self._stop_asked_at = time.monotonic()
            self.spawn(self._drain_and_end())

    async def _drain_and_end(self) -> None:
        reason = 'idle'
        try:
            await asyncio.wait_for(self.drain(), self.stop_timeout_s)
        except TimeoutError:
            reason = 'time_limit'
        except Exception as exc:
            reason = 'failed'
            logs.error('drain_failed', error=repr(exc))
        self._end(reason)

    def _end(self, reason: str) -> None:
        """Let the process end, and its drain if that goes on.

        Args:
            reason: idle, time_limit or failed.
        """
        if self._stop_asked_at is not None and not self._stopped.is_set():
            logs.final_info(
                'drain_ended',
                reason=reason,
                took_s=time.monotonic() - self._stop_asked_at,
            )
        self._stopped.set()

    def _log_unfinished(self) -> None:
        now = time.monotonic()
        report = draining.report_end(
            self.unfinished(), self._stop_asked_at, MAX_UNFINISHED_LINES
        )
        for request in report.listed:
            logs.final_warning(
                'request_unfinished',
                request=request.id,
                route=request.route,
                kind=request.kind,
                phase=request.phase.value,
                upstream=request.upstream,
                sends=request.sends,
                events=request.events,
                after_s=now - request.arrived_at,
                sent_after_stop_s=_difference(
                    request.arrived_at, self._stop_asked_at
                ),
                ends_in_s=_difference(request.ends_at, now),
            )
        if report.listed:
            logs.final_warning(
                'requests_unfinished',
                requests=len(report.listed) + report.left_out,
                without_line=report.left_out,
                **_phase_fields(report.phases),
            )

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds after which a drain is cut short."""
        raise NotImplementedError

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.error('task_failed', error=repr(task.exception()))


def _phase_fields(counts: dict[draining.Phase, int]) -> dict[str, int]:
    return {phase.value: count for phase, count in counts.items()}


def _difference(time_s: float | None, since_s: float | None) -> float | str:
    """Return the seconds between two times; empty if one is unknown."""
    if time_s is None or since_s is None:
        return ''
    return time_s - since_s
