"""Keeps requests that crash upstreams away from them.

Connects the shared blocks with the requests of this entry, and with probes of
upstreams that broke off an answer.
"""

import asyncio
import time

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import fleet
from cassiashift_core import poison
from cassiashift_core import Verdict
from cassiashift_daemon import block_sharing
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import metrics
from cassiashift_daemon import probing


@attrs.define(eq=False)
class PoisonGuard:
    """Judges requests before each send, and reports crashes."""

    sharing: block_sharing.BlockSharing
    metrics: metrics.Metrics
    _suspects: dict[str, list[poison.SuspectRequest]] = attrs.field(
        factory=dict
    )
    _probes: dict[str, asyncio.Task] = attrs.field(factory=dict)

    @classmethod
    def from_runner(
        cls,
        table: poison.PoisonTable,
        runner: fleet_runner.FleetRunner,
        counts: metrics.Metrics,
    ) -> 'PoisonGuard':
        """Return a guard that shares its table with the fleet."""
        sharing = block_sharing.BlockSharing(
            table=table,
            broadcast=runner.broadcast,
            send=runner.send,
            hosts=lambda: [record.host for record in runner.live_records()],
        )
        return cls(sharing, counts)

    @property
    def table(self) -> poison.PoisonTable:
        """Return the table of suspected and blocked parts and requests."""
        return self.sharing.table

    def check(self, call: calls.Call) -> None:
        """Check a request before a send.

        Raises:
            CassiashiftError: PROMPT_BLOCKED; it is blocked, or a part of its
                prompt.
        """
        try:
            self.sharing.check(_subject(call), call.log.verdict)
        except CassiashiftError:
            self.metrics.record_blocked_request()
            raise

    def record_answer(self, call: calls.Call) -> None:
        """Record that an upstream answers a request without crashing."""
        self.sharing.record_answer(_subject(call))

    async def record_failure(
        self,
        call: calls.Call,
        upstream: fleet.Upstream,
        failure: exchange.SendFailedError,
    ) -> None:
        """Find out whether an upstream crashed that broke off a send.

        Returns once that is known, so that a repeat is judged by it.
        """
        if (
            failure.verdict is not Verdict.MAY_HAVE_RUN
            or call.send_events >= poison.BEGUN_EVENTS
        ):
            return
        parts = self.table.find_suspects(
            call.service, call.parts, time.monotonic()
        )
        identity = call.identity if failure.is_broken_off else ''
        if not parts and not identity:
            return
        suspect = poison.SuspectRequest(call.id, parts, identity)
        self._suspects.setdefault(upstream.id, []).append(suspect)
        probe = self._probes.get(upstream.id)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(upstream))
            self._probes[upstream.id] = probe
        await asyncio.shield(probe)

    async def _probe(self, upstream: fleet.Upstream) -> None:
        """Report the suspects of a crash, or drop them without a crash."""
        crashed = False
        try:
            crashed = await probing.has_crashed(upstream.address)
        finally:
            del self._probes[upstream.id]
            suspects = tuple(self._suspects.pop(upstream.id, ()))
        if crashed:
            self.sharing.report_crash(
                poison.CrashReport(
                    upstream.service, upstream.id, upstream.born_ms, suspects
                )
            )


def _subject(call: calls.Call) -> block_sharing.Subject:
    return block_sharing.Subject(
        call.id, call.identity, call.service, call.parts
    )
