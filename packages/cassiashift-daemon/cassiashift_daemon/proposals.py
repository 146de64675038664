"""Proposes commands to the log from any entry."""

import asyncio
import itertools
from typing import Any

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core.state import commands
from cassiashift_core.state import results
from cassiashift_core import Verdict
from cassiashift_net import links
from cassiashift_net import proposal_messages

TRY_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05
PROPOSAL_TIMEOUT_S = 5.0


@attrs.define(eq=False)
class Proposer:
    """Sends a proposal to the voters until one returns a result.

    Every command can safely be sent again: it has a request id or an attempt
    id by which the state machine detects duplicates.

    Attributes:
        leader: voter that is tried first; empty if none is known.
        try_timeout_s: seconds after which another voter is tried.
    """

    host: str
    links: links.Links
    voters: dict[str, str]
    leader: str = ''
    try_timeout_s: float = TRY_TIMEOUT_S
    _waiting: dict[str, asyncio.Future] = attrs.field(factory=dict)
    _numbers: Any = attrs.field(factory=itertools.count)
    _round_robin: Any = attrs.field(factory=itertools.count)

    async def propose(
        self, command: Any, timeout_s: float = PROPOSAL_TIMEOUT_S
    ) -> Any:
        """Propose a command and return its result.

        Raises:
            CassiashiftError: with ``NO_QUORUM``; no result arrived in time.
                The command may still take effect.
        """
        data = commands.CODEC.encode(command)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._try_until_result(data)
        except TimeoutError:
            raise CassiashiftError(
                ErrorCode.NO_QUORUM,
                'no majority of the voters answered in time',
                Verdict.MAY_HAVE_RUN,
                retry_after_s=1.0,
            ) from None

    def receive_answer(
        self, message: proposal_messages.ProposalAnswer
    ) -> None:
        """Process a voter's answer; one that arrives too late is dropped."""
        fut = self._waiting.pop(message.token, None)
        if fut is not None and not fut.done():
            fut.set_result(message)

    async def _try_until_result(self, data: bytes) -> Any:
        while True:
            answer = await self._try(data)
            if answer is not None and not answer.error:
                return results.CODEC.decode(answer.result)
            self.leader = answer.leader if answer is not None else ''
            if self.leader not in self.voters:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _try(
        self, data: bytes
    ) -> proposal_messages.ProposalAnswer | None:
        token = f'{self.host}/{next(self._numbers)}'
        fut = asyncio.get_running_loop().create_future()
        self._waiting[token] = fut
        self.links.send(
            self._choose_address(), proposal_messages.Proposal(token, data)
        )
        try:
            async with asyncio.timeout(self.try_timeout_s):
                return await fut
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(token, None)

    def _choose_address(self) -> str:
        if self.leader in self.voters:
            return self.voters[self.leader]
        addresses = list(self.voters.values())
        return addresses[next(self._round_robin) % len(addresses)]
