"""Attempts at upstreams, seen from the entry's side."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
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
    """One attempt: its answer arrives piece by piece.

    Attributes:
        address: link address of the agent.
        began: a byte of the answer has come.
    """

    id: str
    address: str
    owner: 'RemoteAttempts'
    request_id: str = ''
    head: messages.CallHead | None = None
    began: bool = False
    whole: bool = False
    _failure: CassiashiftError | None = None
    _pieces: collections.deque = attrs.field(factory=collections.deque)
    _next: int = 0
    _news: asyncio.Event = attrs.field(factory=asyncio.Event)
    _unpaid: int = 0

    @property
    def verdict(self) -> Verdict:
        """Return what is known of the attempt now."""
        if self.whole:
            return Verdict.RAN
        if self._failure is not None:
            return self._failure.verdict
        return Verdict.MAY_HAVE_RUN

    async def wait_head(self) -> messages.CallHead:
        """Return the answer's head.

        Raises:
            CassiashiftError: the attempt ended before.
        """
        while self.head is None:
            await self._wait()
        return self.head

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the answer's body; it ends only at the end mark.

        Raises:
            CassiashiftError: the attempt broke off.
        """
        while True:
            if self._pieces:
                data = b''.join(self._pieces)
                self._pieces.clear()
                yield data
                self._pay(len(data))
            elif self.whole:
                return
            else:
                await self._wait()

    def received(self, message: Any) -> None:
        """Take a message of this attempt."""
        match message:
            case messages.CallHead():
                self.head = message
                self.began = True
            case messages.CallData():
                self._take(message)
            case messages.CallEnd():
                self._received_last(message)
                self._end(message)
            case messages.CallFailed():
                self._received_last(message)
                self.fail(
                    CassiashiftError(
                        _code(message.code), message.message, message.verdict
                    )
                )
        self._news.set()

    def fail(self, failure: CassiashiftError) -> None:
        """End the attempt with an error, unless it has ended."""
        if self.whole or self._failure is not None:
            return
        if self.began:
            failure.verdict = failure.verdict.combine(Verdict.MAY_HAVE_RUN)
        self._failure = failure
        self._news.set()

    def _received_last(
        self, message: messages.CallEnd | messages.CallFailed
    ) -> None:
        self.owner.record(
            timeline.RECEIVE,
            self.request_id,
            self.id,
            remote=message.clock,
            message=f'{self.id}/end',
        )

    def _take(self, message: messages.CallData) -> None:
        if message.sequence != self._next:
            self._break('a piece of the answer is missing')
            return
        self._next += 1
        self._pieces.append(message.data)

    def _end(self, message: messages.CallEnd) -> None:
        if message.pieces != self._next or self.head is None:
            self._break('the end of the answer does not fit its pieces')
            return
        if self._failure is None:
            self.whole = True

    def _break(self, text: str) -> None:
        self.fail(
            CassiashiftError(
                ErrorCode.STREAM_BROKEN, text, Verdict.MAY_HAVE_RUN
            )
        )

    def _pay(self, size: int) -> None:
        self._unpaid += size
        if self._unpaid >= CREDIT_STEP_BYTES:
            credit = messages.CallCredit(self.id, self._unpaid)
            self.owner.links.send(self.address, credit)
            self._unpaid = 0

    async def _wait(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._news.clear()
        await self._news.wait()


@attrs.define(eq=False)
class RemoteAttempts:
    """All attempts of this entry that are in progress.

    Attributes:
        late: messages of attempts that are over; they are dropped.
    """

    links: links.Links
    record: Callable[..., timeline.Timestamp]
    late: int = 0
    _open: dict[str, RemoteAttempt] = attrs.field(factory=dict)
    _fences: dict[str, asyncio.Future] = attrs.field(factory=dict)

    async def start(
        self, address: str, message: messages.CallStart
    ) -> RemoteAttempt:
        """Send an attempt to an agent.

        Raises:
            CassiashiftError: with ``NOT_RUN`` when the agent is not
                connected; nothing was sent.
        """
        if not await self.links.connected(address, CONNECT_TIMEOUT_S):
            raise CassiashiftError(
                ErrorCode.UPSTREAM_FAILED, 'the agent can not be reached'
            )
        attempt = RemoteAttempt(
            message.attempt, address, self, message.request_id
        )
        self._open[message.attempt] = attempt
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
        """Give a message to its attempt, or drop it."""
        if isinstance(message, messages.Fenced):
            fut = self._fences.pop(message.attempt, None)
            if fut is not None and not fut.done():
                fut.set_result(message)
            return
        attempt = self._open.get(message.attempt)
        if attempt is None:
            self.late += 1
            return
        attempt.received(message)

    def forget(self, attempt: RemoteAttempt) -> None:
        """Take no more messages of an attempt; stop it if it runs."""
        self._open.pop(attempt.id, None)
        if not attempt.whole:
            cancel = messages.CallCancel(attempt.id)
            self.links.send(attempt.address, cancel)

    def link_lost(self, address: str) -> None:
        """End the attempts at an agent whose connection is lost."""
        for attempt in list(self._open.values()):
            if attempt.address == address:
                attempt.fail(
                    CassiashiftError(
                        ErrorCode.UPSTREAM_FAILED,
                        'the connection to the agent is lost',
                        Verdict.MAY_HAVE_RUN,
                    )
                )

    async def fence(self, address: str, attempt: str) -> messages.Fenced:
        """Have an agent refuse an attempt; return what is known of it."""
        fut = self._fences.get(attempt)
        if fut is None:
            fut = asyncio.get_running_loop().create_future()
            self._fences[attempt] = fut
        self.links.send(address, messages.Fence(attempt))
        try:
            async with asyncio.timeout(FENCE_TIMEOUT_S):
                return await asyncio.shield(fut)
        except TimeoutError:
            self._fences.pop(attempt, None)
            return messages.Fenced(attempt, Verdict.MAY_HAVE_RUN, running=True)


def _code(text: str) -> ErrorCode:
    try:
        return ErrorCode(text)
    except ValueError:
        return ErrorCode.UPSTREAM_FAILED
