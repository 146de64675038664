"""The fence of an agent: no order older than one already seen passes.

The agent keeps the highest token for each of its upstreams, for the sake of
upstreams that ignore fencing numbers. After a restart it knows nothing and
lets no order pass before a majority of voters has answered. An order is sent
only after it is committed, so a majority holds its token in the log, and
every other majority contains one of these voters.
"""

import functools
import random
from typing import Any

import attrs

from cassiashift_core import errors
from cassiashift_core.fencing import messages
from cassiashift_core.fencing import tokens
from cassiashift_core.spread import quorum


@attrs.frozen
class FenceConfig:
    """Settings of one agent."""

    voters: tuple[str, ...]
    upstreams: tuple[str, ...]


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class Received:
    """A message has arrived; ``sender`` is the authenticated host."""

    sender: str
    message: Any


@attrs.frozen
class UpstreamAdded:
    """A further upstream has announced itself to the agent."""

    upstream: str


@attrs.frozen
class Send:
    """Send a message to a host; it may get lost."""

    receiver: str
    message: Any


@attrs.define
class Fence:
    """The highest token for each upstream of one agent."""

    cfg: FenceConfig
    rng: random.Random
    _highest: dict[str, tokens.Token] = attrs.field(factory=dict)
    _reads: dict[str, quorum.QuorumRead] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, cfg: FenceConfig, rng: random.Random) -> 'Fence':
        """Return the fence of an agent that has just started."""
        fence = cls(cfg=cfg, rng=rng)
        for upstream in cfg.upstreams:
            fence._reads[upstream] = quorum.QuorumRead.start(rng)
        return fence

    def handle(self, event: Any, now: float) -> list[Send]:
        """Return the effects of an event at a time."""
        return self._handle(event, now)

    def is_ready(self, upstream: str) -> bool:
        """Tell whether orders for an upstream can be judged."""
        return upstream in self._highest

    def highest(self, upstream: str) -> tokens.Token | None:
        """Return the highest token seen for an upstream."""
        return self._highest.get(upstream)

    def check(self, upstream: str, token: tokens.Token) -> None:
        """Let an order pass, or refuse it.

        Raises:
            CassiashiftError: with the code ``FENCED`` if the token is older
                than one seen, ``NO_QUORUM`` if the agent does not know yet,
                ``NOT_FOUND`` if the upstream is not behind this agent.
        """
        highest = self._highest.get(upstream)
        if highest is None:
            raise self._unknown(upstream)
        if token < highest:
            raise errors.CassiashiftError(
                errors.ErrorCode.FENCED,
                f'token {token.term}.{token.index} is older than '
                f'{highest.term}.{highest.index}',
            )
        self._highest[upstream] = token

    @functools.singledispatchmethod
    def _handle(self, event: Any, now: float) -> list[Send]:
        raise TypeError(f'unknown event {type(event).__name__}')

    @_handle.register
    def _(self, event: Tick, now: float) -> list[Send]:
        effects = []
        for upstream, read in self._reads.items():
            if not read.is_due(now):
                continue
            query = messages.FenceQuery(read.nonce, (upstream,))
            missing = read.missing(self.cfg.voters)
            effects.extend(Send(voter, query) for voter in missing)
        return effects

    @_handle.register
    def _(self, event: UpstreamAdded, now: float) -> list[Send]:
        upstream = event.upstream
        if upstream not in self._highest and upstream not in self._reads:
            self._reads[upstream] = quorum.QuorumRead.start(self.rng)
        return []

    @_handle.register
    def _(self, event: Received, now: float) -> list[Send]:
        if isinstance(event.message, messages.FenceReply):
            self._on_reply(event.sender, event.message)
        return []

    def _on_reply(self, sender: str, reply: messages.FenceReply) -> None:
        for upstream, read in list(self._reads.items()):
            complete = read.add_answer(
                sender, reply.nonce, reply, self.cfg.voters
            )
            if complete:
                del self._reads[upstream]
                self._highest[upstream] = _floor(upstream, read)

    def _unknown(self, upstream: str) -> errors.CassiashiftError:
        if upstream in self._reads:
            return errors.CassiashiftError(
                errors.ErrorCode.NO_QUORUM,
                f'the fencing token of {upstream} is not known yet',
            )
        return errors.CassiashiftError(
            errors.ErrorCode.NOT_FOUND, f'no upstream {upstream} here'
        )


def _floor(upstream: str, read: quorum.QuorumRead) -> tokens.Token:
    replies = list(read.answers.values())
    term = max(reply.term for reply in replies)
    held = [reply.tokens.get(upstream, tokens.Token()) for reply in replies]
    return max([*held, tokens.Token(term, 0)])


def answer(
    query: messages.FenceQuery, term: int, held: dict[str, tokens.Token]
) -> messages.FenceReply:
    """Return a voter's answer to a query.

    Args:
        query: the agent's question.
        term: the highest term that the voter knows.
        held: the highest token in the voter's log for each upstream.
    """
    asked = {
        upstream: held[upstream]
        for upstream in query.upstreams
        if upstream in held
    }
    return messages.FenceReply(query.nonce, term, asked)
