"""Attempts at upstreams, on the entry's side."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import math
import time
from typing import Any

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import timeline
from cassiashift_core import Verdict
from cassiashift_net import links
from cassiashift_net import messages

MESSAGE_TYPES = (
    messages.CallHead,
    messages.CallData,
    messages.CallEnd,
    messages.CallFailed,
    messages.Fenced,
)
CREDIT_STEP_BYTES = 64 * 1024
FENCE_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5


@attrs.define(eq=False)
class RemoteAttempt:
    """One attempt, whose answer arrives in chunks.

    Attributes:
        address: link address of the agent.
        started_at: monotonic time in seconds.
        head: status and headers, once they have arrived.
        has_begun: the head of the answer has arrived.
        complete: every chunk and the end mark have arrived.
        crash: number of the crash of the upstream under it; 0 for none.
    """

    id: str
    address: str
    attempts: 'RemoteAttempts'
    request_id: str = ''
    started_at: float = attrs.field(factory=time.monotonic)
    head: messages.CallHead | None = None
    has_begun: bool = False
    complete: bool = False
    crash: int = 0
    _failure: CassiashiftError | None = None
    _chunks: collections.deque = attrs.field(factory=collections.deque)
    _next_sequence: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _uncredited_bytes: int = 0

    @property
    def chunk_count(self) -> int:
        """Return the number of chunks of the answer that have arrived."""
        return self._next_sequence

    @property
    def verdict(self) -> Verdict:
        """Whether the attempt has run, as far as is known now."""
        if self.complete:
            return Verdict.RAN
        if self._failure is not None:
            return self._failure.verdict
        return Verdict.MAY_HAVE_RUN

    async def wait_head(self) -> messages.CallHead:
        """Return the answer's head; wait for it if need be.

        Raises:
            CassiashiftError: the attempt failed before.
        """
        while self.head is None:
            await self._wait_for_change()
        return self.head

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the answer's body up to the end mark.

        Raises:
            CassiashiftError: the attempt failed before the end mark.
        """
        while True:
            if self._chunks:
                data = b''.join(self._chunks)
                self._chunks.clear()
                yield data
                self._return_credit(len(data))
            elif self.complete:
                return
            else:
                await self._wait_for_change()

    def received(self, message: Any) -> None:
        """Process a message of this attempt from the agent."""
        match message:
            case messages.CallHead():
                self.head = message
                self.has_begun = True
            case messages.CallData():
                self._add_chunk(message)
            case messages.CallEnd():
                self._record_last(message)
                self._add_end_mark(message)
            case messages.CallFailed():
                self._record_last(message)
                self.crash = message.crash
                self.fail(
                    CassiashiftError(
                        _parse_code(message.code),
                        message.message,
                        message.verdict,
                    )
                )
        self._changed.set()

    def fail(self, failure: CassiashiftError) -> None:
        """Fail the attempt, unless it has ended already.

        The verdict is ``MAY_HAVE_RUN`` at least, if an answer has begun.
        """
        if self.complete or self._failure is not None:
            return
        if self.has_begun:
            failure.verdict = failure.verdict.combine(Verdict.MAY_HAVE_RUN)
        self._failure = failure
        self._changed.set()

    def _record_last(
        self, message: messages.CallEnd | messages.CallFailed
    ) -> None:
        self.attempts.record(
            timeline.RECEIVE,
            self.request_id,
            self.id,
            remote=message.clock,
            message=f'{self.id}/end',
        )

    def _add_chunk(self, message: messages.CallData) -> None:
        if message.sequence != self._next_sequence:
            self._fail_broken('a chunk of the answer is missing')
            return
        self._next_sequence += 1
        self._chunks.append(message.data)

    def _add_end_mark(self, message: messages.CallEnd) -> None:
        if message.pieces != self._next_sequence or self.head is None:
            self._fail_broken(
                'the end mark does not match the chunks received'
            )
            return
        if self._failure is None:
            self.complete = True

    def _fail_broken(self, text: str) -> None:
        self.fail(
            CassiashiftError(
                ErrorCode.STREAM_BROKEN, text, Verdict.MAY_HAVE_RUN
            )
        )

    def _return_credit(self, size: int) -> None:
        self._uncredited_bytes += size
        if self._uncredited_bytes >= CREDIT_STEP_BYTES:
            credit = messages.CallCredit(self.id, self._uncredited_bytes)
            self.attempts.links.send(self.address, credit)
            self._uncredited_bytes = 0

    async def _wait_for_change(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._changed.clear()
        await self._changed.wait()


@attrs.define(eq=False)
class RemoteAttempts:
    """The attempts of this entry that are in progress.

    Attributes:
        late_messages: messages dropped because their attempt is over.
    """

    links: links.Links
    record: Callable[..., timeline.Timestamp]
    late_messages: int = 0
    _in_progress: dict[str, RemoteAttempt] = attrs.field(factory=dict)
    _fence_replies: dict[str, asyncio.Future] = attrs.field(factory=dict)

    async def start(
        self, address: str, message: messages.CallStart
    ) -> RemoteAttempt:
        """Send an attempt to an agent.

        Raises:
            CassiashiftError: with ``NOT_RUN``; the agent is not connected
                and nothing was sent.
        """
        if not await self.links.wait_connected(address, CONNECT_TIMEOUT_S):
            raise CassiashiftError(
                ErrorCode.UPSTREAM_FAILED, 'the agent can not be reached'
            )
        attempt = RemoteAttempt(
            message.attempt, address, self, message.request_id
        )
        self._in_progress[message.attempt] = attempt
        clock = self.record(
            timeline.SEND,
            message.request_id,
            message.attempt,
            message=f'{message.attempt}/start',
            upstream=message.upstream,
        )
        self.links.send(address, attrs.evolve(message, clock=clock))
        return attempt

    def received(self, message: Any) -> None:
        """Pass a message to its attempt; drop it if the attempt is over."""
        if isinstance(message, messages.Fenced):
            fut = self._fence_replies.pop(message.attempt, None)
            if fut is not None and not fut.done():
                fut.set_result(message)
            return
        attempt = self._in_progress.get(message.attempt)
        if attempt is None:
            self.late_messages += 1
            return
        attempt.received(message)

    def release(self, attempt: RemoteAttempt) -> None:
        """Drop further messages of an attempt; cancel it if incomplete."""
        self._in_progress.pop(attempt.id, None)
        if not attempt.complete:
            cancel = messages.CallCancel(attempt.id)
            self.links.send(attempt.address, cancel)

    def link_lost(self, address: str, before: float = math.inf) -> None:
        """Fail the attempts at an agent whose connection is lost.

        Args:
            before: monotonic time; later attempts use another connection.
        """
        for attempt in list(self._in_progress.values()):
            if attempt.address == address and attempt.started_at < before:
                attempt.fail(
                    CassiashiftError(
                        ErrorCode.UPSTREAM_FAILED,
                        'the connection to the agent is lost',
                        Verdict.MAY_HAVE_RUN,
                    )
                )

    async def fence(self, address: str, attempt: str) -> messages.Fenced:
        """Have an agent fence an attempt; return the attempt's state.

        Without an answer in time, the attempt counts as running.
        """
        fut = self._fence_replies.get(attempt)
        if fut is None:
            fut = asyncio.get_running_loop().create_future()
            self._fence_replies[attempt] = fut
        self.links.send(address, messages.Fence(attempt))
        try:
            async with asyncio.timeout(FENCE_TIMEOUT_S):
                return await asyncio.shield(fut)
        except TimeoutError:
            self._fence_replies.pop(attempt, None)
            return messages.Fenced(attempt, Verdict.MAY_HAVE_RUN, running=True)


def _parse_code(text: str) -> ErrorCode:
    try:
        return ErrorCode(text)
    except ValueError:
        return ErrorCode.UPSTREAM_FAILED
