"""Judges requests by a table of blocks that entries share.

Connects ``poison.PoisonTable`` with the other entries.
"""

from collections.abc import Callable
from collections.abc import Collection
import time
from typing import Any

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import poison
from cassiashift_core import Verdict
from cassiashift_daemon import logs
from cassiashift_net import links

# Parts in one log line.
MAX_LOGGED_ITEMS = 8


@attrs.frozen
class Subject:
    """What a request is judged by.

    Attributes:
        request: its id.
        identity: equal for all requests that repeat it.
        service: name of the service, or of the pool, that serves it.
        parts: the parts of its prompt that others may share.
    """

    request: str
    identity: str
    service: str
    parts: tuple[str, ...] = ()


@attrs.define(eq=False)
class BlockSharing:
    """The table of one entry, and the messages that keep it up to date.

    Attributes:
        broadcast: sends a message to the other entries.
        send: sends a message to one entry, by its host.
        hosts: returns the hosts of the live entries.
        on_blocked: called after something new was blocked.
    """

    table: poison.PoisonTable
    broadcast: Callable[[Any], None]
    send: Callable[[str, Any], None]
    hosts: Callable[[], Collection[str]]
    on_blocked: Callable[[], None] = lambda: None

    def check(self, subject: Subject, verdict: Verdict) -> None:
        """Check a request before a send.

        Args:
            verdict: of its sends so far.

        Raises:
            CassiashiftError: PROMPT_BLOCKED; it is blocked, or a part of its
                prompt.
        """
        if not self.table.digest:
            return
        judgement = self.table.judge(
            subject.service,
            subject.parts,
            subject.request,
            time.monotonic(),
            self.hosts(),
            is_repeat=verdict is not Verdict.NOT_RUN,
            identity=subject.identity,
        )
        if judgement.decision is poison.Decision.SEND:
            return
        logs.warning(
            'request_judged',
            request=subject.request,
            decision=judgement.decision.value,
            part=judgement.part,
            level=judgement.level,
            ends_in_s=judgement.retry_after_s,
        )
        if judgement.decision is poison.Decision.REFUSE:
            raise CassiashiftError(
                ErrorCode.PROMPT_BLOCKED,
                _reason(judgement),
                verdict,
                retry_after_s=judgement.retry_after_s,
            )
        if judgement.is_request:
            self.broadcast(
                poison.TrialNews(
                    poison.ANY_SERVICE, judgement.part, judgement.level
                )
            )

    def record_answer(self, subject: Subject) -> None:
        """Record that an upstream answers a request without crashing."""
        now = time.monotonic()
        for cleared in (
            self.table.record_answer(subject.service, subject.parts, now),
            self.table.clear_request(subject.identity, now),
        ):
            if cleared is not None:
                self._log_cleared(cleared, request=subject.request)
                self.broadcast(cleared)

    def report_crash(self, report: poison.CrashReport) -> None:
        """Record a crash that this entry has seen, and tell the others."""
        logs.warning(
            'upstream_crashed',
            upstream=report.upstream,
            suspects=len(report.suspects),
            requests=','.join(
                item.request for item in report.suspects[:MAX_LOGGED_ITEMS]
            ),
        )
        self.broadcast(report)
        self._publish(self.table.record_crash(report, time.monotonic()))

    def tick(self) -> None:
        """Send due objections; forget old blocks."""
        now = time.monotonic()
        for objection in self.table.due_objections(now):
            self._log_cleared(objection, age_s=objection.age_s)
            self.broadcast(objection)
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
            self.send(message.host, news)

    def on_trial_news(
        self, sender: links.Sender, message: poison.TrialNews
    ) -> None:
        """Leave the test of a blocked request to another entry."""
        self.table.apply_trial(message, time.monotonic())

    def _publish(self, news: poison.BlockNews | None) -> None:
        """Log new blocks, tell the other entries and apply them here."""
        if news is not None:
            self._log_blocks(news.blocks, 'itself')
            self.broadcast(news)
            self.on_blocked()

    def _log_blocks(
        self, blocks: Collection[poison.BlockRecord], source: str
    ) -> None:
        for block in blocks:
            logs.warning(
                'part_blocked',
                service=block.service,
                part=block.part,
                level=block.level,
                for_s=block.left_s,
                source=source,
            )

    def _log_cleared(self, news: poison.PartsCleared, **fields: Any) -> None:
        logs.info(
            'parts_cleared',
            service=news.service,
            parts=','.join(news.parts[:MAX_LOGGED_ITEMS]),
            **fields,
        )


def _reason(judgement: poison.Judgement) -> str:
    if judgement.is_request:
        return f'request {judgement.part} crashes upstreams'
    return f'part {judgement.part} of the prompt crashes upstreams'
