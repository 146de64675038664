"""Scores of upstreams for a call, in seconds; the lowest is best."""

from collections.abc import Iterable
import random

import attrs

from cassiashift_core import manifest
from cassiashift_core.routing import model
from cassiashift_core.routing import prefixes
from cassiashift_core.routing import upstream


@attrs.frozen
class Scored:
    """A possible choice and its score."""

    score: float
    choice: model.Choice


@attrs.define
class Scorer:
    """Scores upstreams of one pool.

    Attributes:
        slowness: the pool's median slowness.
    """

    cfg: model.RoutingConfig
    index: prefixes.PrefixIndex
    upstreams: dict[str, upstream.UpstreamState]
    slowness: float

    def score(
        self, req: model.RouteRequest, names: Iterable[str], now: float
    ) -> list[Scored]:
        """Return a score for each upstream, in the order given."""
        depths = self.index.depths(req.prefix_blocks)
        deepest = max(depths, key=lambda name: depths[name], default=None)
        return [
            self._score_one(req, name, depths, deepest, now) for name in names
        ]

    def _score_one(
        self,
        req: model.RouteRequest,
        name: str,
        depths: dict[str, int],
        deepest: str | None,
        now: float,
    ) -> Scored:
        state = self.upstreams[name]
        cached = depths.get(name, 0)
        first_s = state.predict_s(self._uncached(req, cached), now)
        choice = model.Choice(
            upstream_id=name,
            reason=f'{cached} cached blocks' if cached else 'least load',
            expected_first_token_s=first_s,
            uncached_tokens=self._uncached(req, cached),
            prefix_blocks=req.prefix_blocks,
            cached_blocks=cached,
        )
        if deepest is not None and depths[deepest] > cached:
            choice = self._with_move(req, choice, deepest, depths, now)
        score = choice.expected_first_token_s + self._gap_price(req, state)
        if state.view.data_centre != req.data_centre:
            score += self.cfg.remote_price_s
        return Scored(score, choice)

    def _uncached(self, req: model.RouteRequest, blocks: int) -> int:
        return max(0, req.prompt_tokens - blocks * self.cfg.block_tokens)

    def _gap_price(
        self, req: model.RouteRequest, state: upstream.UpstreamState
    ) -> float:
        gap_s = self.cfg.step_s if state.gap_s is None else state.gap_s
        return self.cfg.gap_price * req.expected_tokens * gap_s

    def _with_move(
        self,
        req: model.RouteRequest,
        choice: model.Choice,
        source: str,
        depths: dict[str, int],
        now: float,
    ) -> model.Choice:
        """Return the choice with a move of blocks if that is cheaper."""
        if not self.upstreams[source].view.alive:
            return choice
        cfg = self.cfg
        moved = depths[source] - choice.cached_blocks
        uncached = self._uncached(req, depths[source])
        state = self.upstreams[choice.upstream_id]
        first_s = state.predict_s(uncached, now)
        first_s += cfg.move_latency_s + moved * cfg.move_s_per_block
        if first_s >= choice.expected_first_token_s:
            return choice
        return attrs.evolve(
            choice,
            reason=f'{moved} blocks moved',
            expected_first_token_s=first_s,
            uncached_tokens=uncached,
            move_from=source,
            move_blocks=moved,
        )


def pick(
    scored: list[Scored], margin_s: float, rng: random.Random
) -> model.Choice:
    """Return a choice at random among those near the lowest score."""
    lowest = min(item.score for item in scored)
    near = [item for item in scored if item.score <= lowest + margin_s]
    return rng.choice(near).choice


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
