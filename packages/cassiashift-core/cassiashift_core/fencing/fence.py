"""The fence of an agent: refuses orders older than one already seen.

The agent keeps the highest token for each of its upstreams, since upstreams
may ignore fencing tokens. After a restart it has no tokens and refuses every
order until a majority of voters has replied. An order is sent only after it
is committed, so a majority of voters has its token in the log, and every
other majority contains at least one of these voters.
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
    """The voters that an agent queries, and its upstreams."""

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
    """An upstream has announced itself to the agent."""

    upstream: str


@attrs.frozen
class Send:
    """Send a message to a host; the message may be lost."""

    receiver: str
    message: Any


@attrs.define
class Fence:
    """Keeps the highest token for each upstream of one agent.

    Attributes:
        rng: source of the nonces of quorum reads.
    """

    cfg: FenceConfig
    rng: random.Random
    _highest: dict[str, tokens.Token] = attrs.field(factory=dict)
    _pending_reads: dict[str, quorum.QuorumRead] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, cfg: FenceConfig, rng: random.Random) -> 'Fence':
        """Return the fence of a started agent, with a read per upstream."""
        fence = cls(cfg=cfg, rng=rng)
        for upstream in cfg.upstreams:
            fence._pending_reads[upstream] = quorum.QuorumRead.start(rng)
        return fence

    def handle(self, event: Any, now: float) -> list[Send]:
        """Return the messages to send after an event."""
        return self._handle(event, now)

    def is_ready(self, upstream: str) -> bool:
        """Return whether the highest token of an upstream is known."""
        return upstream in self._highest

    def highest(self, upstream: str) -> tokens.Token | None:
        """Return the highest token of an upstream, or None if unknown."""
        return self._highest.get(upstream)

    def check(self, upstream: str, token: tokens.Token) -> None:
        """Accept the token of an order, or raise an error.

        An accepted token becomes the highest of the upstream.

        Raises:
            CassiashiftError: with the code ``FENCED`` if the token is older
                than the highest, ``NO_QUORUM`` if no majority has replied
                yet, ``NOT_FOUND`` if the agent has no such upstream.
        """
        highest = self._highest.get(upstream)
        if highest is None:
            raise self._unavailable_error(upstream)
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
        for upstream, read in self._pending_reads.items():
            if not read.is_due(now):
                continue
            query = messages.FenceQuery(read.nonce, (upstream,))
            missing = read.missing_voters(self.cfg.voters)
            effects.extend(Send(voter, query) for voter in missing)
        return effects

    @_handle.register
    def _(self, event: UpstreamAdded, now: float) -> list[Send]:
        upstream = event.upstream
        if (
            upstream not in self._highest
            and upstream not in self._pending_reads
        ):
            self._pending_reads[upstream] = quorum.QuorumRead.start(self.rng)
        return []

    @_handle.register
    def _(self, event: Received, now: float) -> list[Send]:
        if isinstance(event.message, messages.FenceReply):
            self._apply_reply(event.sender, event.message)
        return []

    def _apply_reply(self, sender: str, reply: messages.FenceReply) -> None:
        for upstream, read in list(self._pending_reads.items()):
            complete = read.add_answer(
                sender, reply.nonce, reply, self.cfg.voters
            )
            if complete:
                del self._pending_reads[upstream]
                self._highest[upstream] = _initial_token(upstream, read)

    def _unavailable_error(self, upstream: str) -> errors.CassiashiftError:
        if upstream in self._pending_reads:
            return errors.CassiashiftError(
                errors.ErrorCode.NO_QUORUM,
                f'the fencing token of {upstream} is not known yet',
            )
        return errors.CassiashiftError(
            errors.ErrorCode.NOT_FOUND, f'the agent has no upstream {upstream}'
        )


def _initial_token(upstream: str, read: quorum.QuorumRead) -> tokens.Token:
    replies = list(read.answers.values())
    term = max(reply.term for reply in replies)
    highest_tokens = [
        reply.tokens.get(upstream, tokens.Token()) for reply in replies
    ]
    return max([*highest_tokens, tokens.Token(term, 0)])


def build_reply(
    query: messages.FenceQuery,
    term: int,
    highest_tokens: dict[str, tokens.Token],
) -> messages.FenceReply:
    """Return a voter's reply to a query.

    Args:
        query: the agent's query.
        term: the highest term that the voter knows.
        highest_tokens: the highest token in the voter's log for each
            upstream.
    """
    requested = {
        upstream: highest_tokens[upstream]
        for upstream in query.upstreams
        if upstream in highest_tokens
    }
    return messages.FenceReply(query.nonce, term, requested)
