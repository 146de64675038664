"""Scores upstreams for a call, in seconds; the lowest is best."""

from collections.abc import Iterable
import random
from typing import Self

import attrs

from cassiashift_core import manifest
from cassiashift_core.routing import model
from cassiashift_core.routing import prefixes
from cassiashift_core.routing import upstream


@attrs.define
class ScoredUpstream:
    """The score of one upstream for a call.

    Attributes:
        first_token_s: predicted time to the first token.
        held_blocks: leading blocks that the upstream holds.
        blocks_to_move: blocks to import from another upstream.
    """

    upstream_id: str
    score: float
    first_token_s: float
    uncached_tokens: int
    held_blocks: int
    blocks_to_move: int = 0


@attrs.define
class Scorer:
    """Scores upstreams of one pool for one call.

    Attributes:
        depths: leading blocks that each upstream holds.
        longest_holder: the upstream that holds most, if it is alive.
        gap_s: nominal time between tokens, for upstreams without one.
    """

    cfg: model.RoutingConfig
    req: model.RouteRequest
    depths: dict[str, int]
    longest_holder: str | None
    gap_s: float

    @classmethod
    def create(
        cls,
        cfg: model.RoutingConfig,
        req: model.RouteRequest,
        index: prefixes.PrefixIndex,
        upstreams: dict[str, upstream.UpstreamState],
        gap_s: float,
    ) -> Self:
        """Return a scorer with the cached blocks looked up for a call."""
        depths = index.depths(req.prefix_blocks)
        longest_holder = max(
            depths,
            key=lambda name: (depths[name], name),
            default=None,
        )
        if (
            longest_holder is not None
            and not upstreams[longest_holder].view.alive
        ):
            longest_holder = None
        return cls(cfg, req, depths, longest_holder, gap_s)

    def score(
        self, state: upstream.UpstreamState, now: float
    ) -> ScoredUpstream:
        """Return the score of an upstream, with a move of blocks if faster."""
        cfg = self.cfg
        held_blocks = self.depths.get(state.view.id, 0)
        uncached = self._prefill_tokens(held_blocks)
        pending_s, token_s = state.prefill_estimate(now)
        first_token_s = pending_s + uncached * token_s
        scored = ScoredUpstream(
            state.view.id, 0.0, first_token_s, uncached, held_blocks
        )
        if self.longest_holder is not None:
            self._consider_move(scored, pending_s, token_s)
        scored.score = scored.first_token_s + self._gap_price(state)
        if state.view.data_centre != self.req.data_centre:
            scored.score += cfg.remote_price_s
        return scored

    def to_choice(self, scored: ScoredUpstream) -> model.Choice:
        """Return the routing choice for a scored upstream."""
        reason = 'least predicted time'
        if scored.blocks_to_move:
            reason = f'{scored.blocks_to_move} blocks moved'
        elif scored.held_blocks:
            reason = f'{scored.held_blocks} blocks cached'
        return model.Choice(
            upstream_id=scored.upstream_id,
            reason=reason,
            expected_first_token_s=scored.first_token_s,
            uncached_tokens=scored.uncached_tokens,
            prefix_blocks=self.req.prefix_blocks,
            cached_blocks=scored.held_blocks,
            move_from=self.longest_holder if scored.blocks_to_move else None,
            move_blocks=scored.blocks_to_move,
        )

    def _prefill_tokens(self, blocks: int) -> int:
        tokens = self.req.prompt_tokens - blocks * self.cfg.block_tokens
        return tokens if tokens > 0 else 0

    def _gap_price(self, state: upstream.UpstreamState) -> float:
        gap_s = self.gap_s if state.gap_s is None else state.gap_s
        return self.cfg.gap_price * self.req.expected_tokens * gap_s

    def _consider_move(
        self, scored: ScoredUpstream, pending_s: float, token_s: float
    ) -> None:
        """Add a move of blocks to the score if that is faster."""
        longest_held = self.depths[self.longest_holder or '']
        blocks_to_move = longest_held - scored.held_blocks
        if blocks_to_move <= 0:
            return
        cfg = self.cfg
        uncached = self._prefill_tokens(longest_held)
        first_token_s = pending_s + uncached * token_s
        first_token_s += (
            cfg.move_latency_s + blocks_to_move * cfg.move_s_per_block
        )
        if first_token_s < scored.first_token_s:
            scored.first_token_s = first_token_s
            scored.uncached_tokens = uncached
            scored.blocks_to_move = blocks_to_move


def choose_near_best(
    scored: list[ScoredUpstream], margin_s: float, rng: random.Random
) -> ScoredUpstream:
    """Return a random upstream whose score is within a margin of the lowest.

    The margin is in seconds.
    """
    lowest = min(item.score for item in scored)
    near = [item for item in scored if item.score <= lowest + margin_s]
    return rng.choice(near)


def choose_prefill_upstream(
    upstreams: Iterable[upstream.UpstreamState],
    tokens: int,
    now: float,
) -> upstream.UpstreamState | None:
    """Return the upstream that would finish a prefill first, or None."""
    candidates = [
        state
        for state in upstreams
        if state.usable
        and state.view.role is not manifest.Role.DECODE
        and state.spare_capacity(now) >= 1
        and state.allows(now)
    ]
    return min(
        candidates,
        key=lambda state: state.predict_s(tokens, now),
        default=None,
    )
