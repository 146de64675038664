"""Keeps requests that crash upstreams away from them.

Connects ``poison.PoisonTable`` with the requests of this entry, with probes
of upstreams that broke off an answer, and with the other entries.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import poison
from cassiashift_core import Verdict
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import metrics
from cassiashift_daemon import logs
from cassiashift_daemon import probing
from cassiashift_net import links

# Parts and suspects in one log line.
MAX_LOGGED_ITEMS = 8


@attrs.define(eq=False)
class PoisonGuard:
    """Judges requests before each send, and reports crashes.

    Attributes:
        on_blocked: called after new parts were blocked.
    """

    table: poison.PoisonTable
    runner: fleet_runner.FleetRunner
    metrics: metrics.Metrics
    on_blocked: Callable[[], None] = lambda: None
    _suspects: dict[str, list[poison.SuspectRequest]] = attrs.field(
        factory=dict
    )
    _probes: dict[str, asyncio.Task] = attrs.field(factory=dict)

    def check(self, call: calls.Call) -> None:
        """Check a request before a send.

        Raises:
            CassiashiftError: PROMPT_BLOCKED; it is blocked, or a part of its
                prompt.
        """
        if not self.table.digest:
            return
        judgement = self.table.judge(
            call.service,
            call.parts,
            call.id,
            time.monotonic(),
            [record.host for record in self.runner.live_records()],
            is_repeat=call.log.verdict is not Verdict.NOT_RUN,
            identity=call.identity,
        )
        if judgement.decision is poison.Decision.SEND:
            return
        logs.warning(
            'request_judged',
            request=call.id,
            decision=judgement.decision.value,
            part=judgement.part,
            level=judgement.level,
            ends_in_s=judgement.retry_after_s,
        )
        if judgement.decision is poison.Decision.TRIAL:
            if judgement.is_request:
                self.runner.broadcast(
                    poison.TrialNews(
                        poison.ANY_SERVICE, judgement.part, judgement.level
                    )
                )
            return
        self.metrics.record_blocked_request()
        raise CassiashiftError(
            ErrorCode.PROMPT_BLOCKED,
            _reason(judgement),
            call.log.verdict,
            retry_after_s=judgement.retry_after_s,
        )

    def record_answer(self, call: calls.Call) -> None:
        """Record that an upstream answers a request without crashing."""
        now = time.monotonic()
        for cleared in (
            self.table.record_answer(call.service, call.parts, now),
            self.table.clear_request(call.identity, now),
        ):
            if cleared is not None:
                logs.info(
                    'parts_cleared',
                    service=cleared.service,
                    parts=','.join(cleared.parts),
                    request=call.id,
                )
                self.runner.broadcast(cleared)

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

    def tick(self) -> None:
        """Send due objections; forget old blocks."""
        now = time.monotonic()
        for objection in self.table.due_objections(now):
            logs.info(
                'parts_cleared',
                service=objection.service,
                parts=','.join(objection.parts[:MAX_LOGGED_ITEMS]),
                age_s=objection.age_s,
            )
            self.runner.broadcast(objection)
        self.table.forget_expired(now)

    def handlers(self) -> dict[type, Any]:
        """Return the handlers of the messages on crashes by message type."""
        return {
            poison.CrashReport: self.on_crash_report,
            poison.PartsCleared: self.on_parts_cleared,
            poison.BlockNews: self.on_block_news,
            poison.BlockPull: self.on_block_pull,
            poison.TrialNews: self.on_trial_news,
        }

    def on_crash_report(
        self, sender: links.Sender, message: poison.CrashReport
    ) -> None:
        """Count a crash that another entry reports."""
        self._publish(self.table.record_crash(message, time.monotonic()))

    def on_parts_cleared(
        self, sender: links.Sender, message: poison.PartsCleared
    ) -> None:
        """Clear parts that another entry has seen answered."""
        self._publish(self.table.apply_cleared(message, time.monotonic()))

    def on_block_news(
        self, sender: links.Sender, message: poison.BlockNews
    ) -> None:
        """Adopt another entry's blocks."""
        adopted = self.table.apply_blocks(message, time.monotonic())
        self._log_blocks(adopted, sender.host)
        if adopted:
            self.on_blocked()

    def on_block_pull(
        self, sender: links.Sender, message: poison.BlockPull
    ) -> None:
        """Reply with all blocks."""
        news = self.table.blocks(time.monotonic())
        if news is not None:
            self.runner.send(message.host, news)

    def on_trial_news(
        self, sender: links.Sender, message: poison.TrialNews
    ) -> None:
        """Leave the test of a blocked request to another entry."""
        self.table.apply_trial(message, time.monotonic())

    async def _probe(self, upstream: fleet.Upstream) -> None:
        """Report the suspects of a crash, or drop them without a crash."""
        crashed = False
        try:
            crashed = await probing.has_crashed(upstream.address)
        finally:
            del self._probes[upstream.id]
            suspects = tuple(self._suspects.pop(upstream.id, ()))
        if not crashed:
            return
        logs.warning(
            'upstream_crashed',
            upstream=upstream.id,
            suspects=len(suspects),
            requests=','.join(
                item.request for item in suspects[:MAX_LOGGED_ITEMS]
            ),
        )
        report = poison.CrashReport(
            upstream.service, upstream.id, upstream.born_ms, suspects
        )
        self.runner.broadcast(report)
        self._publish(self.table.record_crash(report, time.monotonic()))

    def _publish(self, news: poison.BlockNews | None) -> None:
        """Log new blocks, tell the other entries and apply them here."""
        if news is not None:
            self._log_blocks(news.blocks, 'itself')
            self.runner.broadcast(news)
            self.on_blocked()

    def _log_blocks(self, blocks, source: str) -> None:
        for block in blocks:
            logs.warning(
                'part_blocked',
                service=block.service,
                part=block.part,
                level=block.level,
                for_s=block.left_s,
                source=source,
            )


def _reason(judgement: poison.Judgement) -> str:
    if judgement.is_request:
        return f'request {judgement.part} crashes upstreams'
    return f'part {judgement.part} of the prompt crashes upstreams'
