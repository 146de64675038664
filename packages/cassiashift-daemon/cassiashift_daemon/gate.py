"""Runs admission on the event loop, with a future per queued call."""

import asyncio
from collections.abc import Iterable
import time

import attrs

from cassiashift_core import admission


@attrs.define(eq=False)
class Gate:
    """Awaitable admission of this entry's calls."""

    admission: admission.AdmissionGate
    _waiting: dict[str, asyncio.Future] = attrs.field(factory=dict)

    async def enter(self, req: admission.AdmissionRequest) -> None:
        """Return as soon as a call may start.

        Raises:
            CassiashiftError: the call is refused; it was not run.
        """
        decision = self.admission.offer(req, time.monotonic())
        if isinstance(decision, admission.Refused):
            raise decision.to_error()
        if isinstance(decision, admission.Admitted):
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiting[req.request_id] = fut
        self._resolve_refused(decision.evicted)
        try:
            await fut
        except asyncio.CancelledError:
            self._cancel(req.request_id)
            raise
        finally:
            self._waiting.pop(req.request_id, None)

    def set_capacity(self, pool: str, calls: int) -> None:
        """Set how many calls of a pool may be in progress, at least 1."""
        now = time.monotonic()
        self._resolve_admitted(
            self.admission.set_capacity(pool, max(calls, 1), now)
        )

    def set_limits(
        self, workspace: str, limits: admission.WorkspaceLimits
    ) -> None:
        """Set this entry's share of a workspace's weight and limits."""
        self.admission.set_limits(workspace, limits, time.monotonic())

    def release(self, request_id: str, used_tokens: float) -> None:
        """Release the slot of a call that has ended, and admit others."""
        now = time.monotonic()
        self._resolve_admitted(
            self.admission.release(request_id, used_tokens, now)
        )

    def refuse_all(self, pool: str, reason: str) -> int:
        """Refuse the waiting calls of a pool; return how many there were."""
        refused = self.admission.refuse_all(pool, reason)
        self._resolve_refused(refused)
        return len(refused)

    def tick(self) -> None:
        """Refuse calls past their deadline, admit those that may start."""
        now = time.monotonic()
        self._resolve_refused(self.admission.expire(now))
        self._resolve_admitted(self.admission.admit_ready(now))

    def _cancel(self, request_id: str) -> None:
        if not self.admission.cancel(request_id):
            self.release(request_id, 0)

    def _resolve_admitted(
        self, admitted: Iterable[admission.Admitted]
    ) -> None:
        for item in admitted:
            fut = self._waiting.get(item.request_id)
            if fut is not None and not fut.done():
                fut.set_result(None)

    def _resolve_refused(self, refused: Iterable[admission.Refused]) -> None:
        for item in refused:
            fut = self._waiting.get(item.request_id)
            if fut is not None and not fut.done():
                fut.set_exception(item.to_error())
