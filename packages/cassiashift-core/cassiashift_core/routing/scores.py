"""Scores of upstreams for a call, in seconds; the lowest is best."""

from collections.abc import Iterable
import random
from typing import Self

import attrs

from cassiashift_core import manifest
from cassiashift_core.routing import model
from cassiashift_core.routing import prefixes
from cassiashift_core.routing import upstream


@attrs.define
class Scored:
    """A possible choice and its score.

    Attributes:
        first_s: predicted time to the first token.
        cached: leading blocks that the upstream holds.
        moved: blocks to import from another upstream.
    """

    upstream_id: str
    score: float
    first_s: float
    uncached_tokens: int
    cached: int
    moved: int = 0


@attrs.define
class Scorer:
    """Scores upstreams of one pool for one call.

    Attributes:
        depths: leading blocks that each upstream holds.
        deepest: the upstream that holds most, if it can be read.
        gap_s: nominal time between tokens, for upstreams without one.
    """

    cfg: model.RoutingConfig
    req: model.RouteRequest
    depths: dict[str, int]
    deepest: str | None
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
        """Return a scorer for a call."""
        depths = index.depths(req.prefix_blocks)
        deepest = max(
            depths, key=lambda name: (depths[name], name), default=None
        )
        if deepest is not None and not upstreams[deepest].view.alive:
            deepest = None
        return cls(cfg, req, depths, deepest, gap_s)

    def score(self, state: upstream.UpstreamState, now: float) -> Scored:
        """Return the score of an upstream."""
        cfg = self.cfg
        cached = self.depths.get(state.view.id, 0)
        uncached = self._uncached(cached)
        pending_s, token_s = state.predictor(now)
        first_s = pending_s + uncached * token_s
        scored = Scored(state.view.id, 0.0, first_s, uncached, cached)
        if self.deepest is not None:
            self._consider_move(scored, pending_s, token_s)
        scored.score = scored.first_s + self._gap_price(state)
        if state.view.data_centre != self.req.data_centre:
            scored.score += cfg.remote_price_s
        return scored

    def choice(self, scored: Scored) -> model.Choice:
        """Return the choice that belongs to a score."""
        reason = 'least predicted time'
        if scored.moved:
            reason = f'{scored.moved} blocks moved'
        elif scored.cached:
            reason = f'{scored.cached} blocks cached'
        return model.Choice(
            upstream_id=scored.upstream_id,
            reason=reason,
            expected_first_token_s=scored.first_s,
            uncached_tokens=scored.uncached_tokens,
            prefix_blocks=self.req.prefix_blocks,
            cached_blocks=scored.cached,
            move_from=self.deepest if scored.moved else None,
            move_blocks=scored.moved,
        )

    def _uncached(self, blocks: int) -> int:
        tokens = self.req.prompt_tokens - blocks * self.cfg.block_tokens
        return tokens if tokens > 0 else 0

    def _gap_price(self, state: upstream.UpstreamState) -> float:
        gap_s = self.gap_s if state.gap_s is None else state.gap_s
        return self.cfg.gap_price * self.req.expected_tokens * gap_s

    def _consider_move(
        self, scored: Scored, pending_s: float, token_s: float
    ) -> None:
        """Take a move of blocks into the score if that is cheaper."""
        depth = self.depths[self.deepest or '']
        moved = depth - scored.cached
        if moved <= 0:
            return
        cfg = self.cfg
        uncached = self._uncached(depth)
        first_s = pending_s + uncached * token_s
        first_s += cfg.move_latency_s + moved * cfg.move_s_per_block
        if first_s < scored.first_s:
            scored.first_s = first_s
            scored.uncached_tokens = uncached
            scored.moved = moved


def pick(scored: list[Scored], margin_s: float, rng: random.Random) -> Scored:
    """Return one at random among those near the lowest score."""
    lowest = min(item.score for item in scored)
    near = [item for item in scored if item.score <= lowest + margin_s]
    return rng.choice(near)


def best_prefill(
    upstreams: Iterable[upstream.UpstreamState],
    tokens: int,
    now: float,
) -> upstream.UpstreamState | None:
    """Return the upstream that would finish a prefill first."""
    able = [
        state
        for state in upstreams
        if state.usable
        and state.view.role is not manifest.Role.DECODE
        and state.room(now) >= 1
        and state.allows(now)
    ]
    return min(
        able, key=lambda state: state.predict_s(tokens, now), default=None
    )
