"""Keeps calls that crash upstreams away from them, over all agents.

Agents tell which attempts an upstream has crashed under; the entries of a
data centre share what follows from that. Parts of prompts are not judged
here.
"""

from collections.abc import Callable
from collections.abc import Collection
import random
import time
from typing import Any

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import poison
from cassiashift_core import Verdict
from cassiashift_daemon import logs
from cassiashift_daemon import peers
from cassiashift_net import links

# An entry that has missed news asks another one for its blocks.
PULL_INTERVAL_S = 1.0


@attrs.frozen
class GuardedCall:
    """What identifies a call and its repeats.

    Attributes:
        request_id: id of this call only.
        identity: equal for all calls that repeat this one.
        pool: name of the pool whose upstreams serve it.
    """

    request_id: str
    identity: str
    pool: str


@attrs.define(eq=False)
class RequestGuard:
    """Judges calls before each attempt, and reports crashes.

    Attributes:
        entries: returns the names of the entries of the data centre.
    """

    host: str
    peers: peers.Peers
    entries: Callable[[], Collection[str]]
    rng: random.Random
    table: poison.PoisonTable

    def check(self, call: GuardedCall, verdict: Verdict) -> None:
        """Check a call before an attempt.

        Args:
            verdict: of the attempts so far.

        Raises:
            CassiashiftError: PROMPT_BLOCKED; calls like it crash upstreams.
        """
        if not self.table.digest:
            return
        judgement = self.table.judge(
            call.pool,
            (),
            call.request_id,
            time.monotonic(),
            self.entries(),
            identity=call.identity,
        )
        if judgement.decision is poison.Decision.SEND:
            return
        logs.warning(
            'request_judged',
            request=call.request_id,
            decision=judgement.decision.value,
            identity=judgement.part,
            level=judgement.level,
            ends_in_s=judgement.retry_after_s,
        )
        if judgement.decision is poison.Decision.TRIAL:
            self._broadcast(
                poison.TrialNews(
                    poison.ANY_SERVICE, judgement.part, judgement.level
                )
            )
            return
        raise CassiashiftError(
            ErrorCode.PROMPT_BLOCKED,
            f'request {judgement.part} crashes upstreams',
            verdict,
            retry_after_s=judgement.retry_after_s,
        )

    def record_answer(self, call: GuardedCall) -> None:
        """Record that an upstream has answered a call."""
        cleared = self.table.clear_request(call.identity, time.monotonic())
        if cleared is not None:
            logs.info(
                'request_cleared',
                request=call.request_id,
                identity=call.identity,
            )
            self._broadcast(cleared)

    def record_crash(
        self, call: GuardedCall, upstream: str, crash: int
    ) -> None:
        """Record that an upstream crashed under a call.

        Args:
            crash: tells the crashes of one upstream apart.
        """
        logs.warning(
            'upstream_crashed',
            upstream=upstream,
            request=call.request_id,
            identity=call.identity,
        )
        suspect = poison.SuspectRequest(call.request_id, (), call.identity)
        report = poison.CrashReport(call.pool, upstream, crash, (suspect,))
        self._broadcast(report)
        self._record(report)

    def pull(self) -> None:
        """Ask another entry for its blocks."""
        others = [host for host in self.entries() if host != self.host]
        if others:
            host = self.rng.choice(others)
            self.peers.send(host, poison.BlockPull(self.host))

    def tick(self) -> None:
        """Send due objections; forget old blocks."""
        now = time.monotonic()
        for objection in self.table.due_objections(now):
            self._broadcast(objection)
        self.table.forget_expired(now)

    def handlers(self) -> dict[type, Any]:
        """Return the handlers of the messages on crashes by message type."""
        return {
            poison.CrashReport: lambda sender, message: self._record(message),
            poison.PartsCleared: self._on_cleared,
            poison.BlockNews: self._on_block_news,
            poison.BlockPull: self._on_block_pull,
            poison.TrialNews: self._on_trial_news,
        }

    def _record(self, report: poison.CrashReport) -> None:
        self._publish(self.table.record_crash(report, time.monotonic()))

    def _on_cleared(
        self, sender: links.Sender, message: poison.PartsCleared
    ) -> None:
        self._publish(self.table.apply_cleared(message, time.monotonic()))

    def _on_block_news(
        self, sender: links.Sender, message: poison.BlockNews
    ) -> None:
        adopted = self.table.apply_blocks(message, time.monotonic())
        self._log_blocks(adopted, sender.host)

    def _on_block_pull(
        self, sender: links.Sender, message: poison.BlockPull
    ) -> None:
        news = self.table.blocks(time.monotonic())
        if news is not None:
            self.peers.send(message.host, news)

    def _on_trial_news(
        self, sender: links.Sender, message: poison.TrialNews
    ) -> None:
        self.table.apply_trial(message, time.monotonic())

    def _publish(self, news: poison.BlockNews | None) -> None:
        if news is not None:
            self._log_blocks(news.blocks, 'itself')
            self._broadcast(news)

    def _broadcast(self, message: Any) -> None:
        for host in self.entries():
            if host != self.host:
                self.peers.send(host, message)

    def _log_blocks(self, blocks, source: str) -> None:
        for block in blocks:
            logs.warning(
                'request_blocked',
                identity=block.part,
                level=block.level,
                for_s=block.left_s,
                source=source,
            )
