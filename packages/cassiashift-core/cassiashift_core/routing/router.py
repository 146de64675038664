"""The router of one entry.

Scores the usable upstreams of a call's pool by the predicted time to the
first token, to which the time between tokens adds a price. The best is
chosen, at random among those that are nearly as good, so that entries with
the same lagged reports do not all choose the same one.
"""

from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import Any
from typing import Self

import attrs

from cassiashift_core import errors
from cassiashift_core import manifest
from cassiashift_core.routing import aperture
from cassiashift_core.routing import limits
from cassiashift_core.routing import model
from cassiashift_core.routing import pools
from cassiashift_core.routing import prefixes
from cassiashift_core.routing import scores
from cassiashift_core.routing import upstream

ErrorCode = errors.ErrorCode
FULL_RETRY_AFTER_S = 0.2
NO_UPSTREAM_RETRY_AFTER_S = 2.0


@attrs.define
class Router:
    """Chooses upstreams and keeps what is known of them."""

    cfg: model.RoutingConfig
    rng: random.Random
    _aperture: aperture.Aperture = attrs.field(init=False)
    _upstreams: dict[str, upstream.UpstreamState] = attrs.field(
        factory=dict, init=False
    )
    _pools: dict[str, pools.Pool] = attrs.field(factory=dict, init=False)
    _attempts: dict[str, str] = attrs.field(factory=dict, init=False)
    _prefixes: prefixes.PrefixIndex = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the aperture and the prefix index."""
        cfg = self.cfg
        self._aperture = aperture.Aperture(minimum=cfg.aperture)
        self._prefixes = prefixes.PrefixIndex(
            cfg.cache_blocks, cfg.total_blocks
        )

    @classmethod
    def from_config(cls, cfg: Any, rng: random.Random) -> Self:
        """Return a router without upstreams."""
        return cls(cfg or model.RoutingConfig(), rng)

    def set_entries(self, index: int, entries: int) -> None:
        """Set the entry's position among all, for the aperture."""
        self._aperture = aperture.Aperture(
            index, max(1, entries), self.cfg.aperture
        )

    def update_upstreams(
        self, views: Iterable[model.UpstreamView], now: float
    ) -> None:
        """Replace what membership knows of all upstreams."""
        known = {view.id: view for view in views}
        for upstream_id in list(self._upstreams):
            if upstream_id not in known:
                del self._upstreams[upstream_id]
                self._prefixes.forget(upstream_id)
        first_time = not self._upstreams
        for view in known.values():
            self._update_one(view, None if first_time else now)
        self._pools = pools.build(known.values())

    def choose(
        self,
        req: model.RouteRequest,
        now: float,
        exclude: Collection[str] = frozenset(),
    ) -> model.Choice | model.Refusal:
        """Return the upstream for an attempt, or why there is none."""
        pool = self._pools.get(req.pool)
        if pool is None:
            return _refuse_unknown(req.pool)
        pool.check_health(self._upstreams, self.cfg, now)
        ring = [
            name
            for name in pool.ring
            if name not in exclude and self._serves(name, req)
        ]
        if not ring:
            return _refuse_unknown(req.pool)
        scorer = scores.Scorer.create(
            self.cfg, req, self._prefixes, self._upstreams, pool.gap_s
        )
        width = self._aperture.width(len(ring))
        while True:
            names = self._aperture.select(ring, width)
            scored = [
                scorer.score(self._upstreams[name], now)
                for name in self._probe(names, now) or self._open(names, now)
            ]
            if scored:
                margin_s = self.cfg.tie_margin_s
                best = scores.pick(scored, margin_s, self.rng)
                return self._with_prefill(scorer.choice(best), pool, now)
            if width == len(ring):
                return _refuse_full(req.pool)
            width = min(len(ring), 2 * width)

    def capacity(self, pool_name: str, now: float) -> int:
        """Return the calls that this entry may have in progress."""
        pool = self._pools.get(pool_name)
        if pool is None:
            return 0
        width = self._aperture.width(len(pool.ring))
        names = self._aperture.select(pool.ring, width)
        total = 0.0
        for name in names:
            state = self._upstreams[name]
            own = len(state.attempts)
            if state.usable and state.allows(now):
                total += own + max(0.0, state.room(now))
            else:
                total += own
        return int(total)

    def started(
        self,
        upstream_id: str,
        attempt_id: str,
        tokens: int,
        now: float,
        choice: model.Choice | None = None,
    ) -> None:
        """Count an attempt; ``tokens`` are prompt tokens to prefill.

        With the choice, its prefix is believed to be cached from now on.
        """
        state = self._upstreams.get(upstream_id)
        if state is None:
            return
        self._attempts[attempt_id] = upstream_id
        if choice is not None:
            tokens = choice.uncached_tokens
            self._prefixes.sent(upstream_id, choice.prefix_blocks)
        state.start(attempt_id, tokens, now)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Count the first token of an attempt."""
        state = self._state_of(attempt_id)
        if state is not None:
            state.first_token(attempt_id, now)

    def progressed(self, attempt_id: str, tokens: int, now: float) -> None:
        """Count tokens of an attempt since its last progress."""
        state = self._state_of(attempt_id)
        if state is not None:
            state.progress(attempt_id, tokens, now)

    def finished(
        self, attempt_id: str, outcome: model.Outcome, now: float
    ) -> None:
        """Count the end of an attempt."""
        state = self._state_of(attempt_id)
        self._attempts.pop(attempt_id, None)
        if state is not None:
            state.finish(attempt_id, outcome, now)

    def attempts_to_move(self, now: float) -> list[str]:
        """Return the attempts at stragglers, for a try elsewhere.

        The entry must have chosen another upstream before it gives an
        attempt up.
        """
        return [
            attempt_id
            for state in self._upstreams.values()
            if state.paused and state.is_slow(now)
            for attempt_id in state.attempts
        ]

    def report(self, report: model.LoadReport, now: float) -> None:
        """Take a load report, late or not."""
        state = self._upstreams.get(report.upstream_id)
        if state is not None:
            state.report(report, now)

    def cache_event(
        self, event: model.CacheEvent, now: float
    ) -> model.ResyncNeeded | None:
        """Take a cache event; return a wanted resync."""
        if event.upstream_id not in self._upstreams:
            return None
        return self._prefixes.event(event)

    def _update_one(
        self, view: model.UpstreamView, joined_at: float | None
    ) -> None:
        state = self._upstreams.get(view.id)
        if state is None:
            self._upstreams[view.id] = upstream.UpstreamState(
                self.cfg,
                view,
                joined_at,
                limits.AdaptiveLimit(view.concurrency),
            )
            return
        if view.alive and not state.view.alive:
            state.joined_at = joined_at
        if not view.alive and state.view.alive:
            self._prefixes.forget(view.id)
        state.view = view
        state.limit.set_maximum(view.concurrency)

    def _state_of(self, attempt_id: str) -> upstream.UpstreamState | None:
        upstream_id = self._attempts.get(attempt_id)
        state = self._upstreams.get(upstream_id or '')
        if state is None or attempt_id not in state.attempts:
            return None
        return state

    def _serves(self, name: str, req: model.RouteRequest) -> bool:
        state = self._upstreams[name]
        if not state.usable or state.view.role is manifest.Role.PREFILL:
            return False
        if req.adapter is None:
            return True
        return any(
            req.adapter in offer.adapters
            for offer in state.view.offers
            if (offer.model, offer.version) == (req.model, req.version)
        )

    def _with_prefill(
        self, choice: model.Choice, pool: pools.Pool, now: float
    ) -> model.Choice:
        """Add an upstream for the prefill if the chosen only decodes."""
        chosen = self._upstreams[choice.upstream_id]
        if chosen.view.role is not manifest.Role.DECODE:
            return choice
        width = self._aperture.width(len(pool.ring))
        names = self._aperture.select(pool.ring, width)
        helper = scores.best_prefill(
            (self._upstreams[name] for name in names),
            choice.uncached_tokens,
            now,
        )
        if helper is None:
            return choice
        return attrs.evolve(choice, prefill_on=helper.view.id)

    def _probe(self, names: list[str], now: float) -> list[str]:
        """Return an upstream that should be probed now, if there is one."""
        return [
            name for name in names if self._upstreams[name].wants_probe(now)
        ][:1]

    def _open(self, names: list[str], now: float) -> list[str]:
        """Return the upstreams with room whose breaker allows a call.

        Breakers are ignored when they leave none, since a truthful try
        is better than a refusal.
        """
        roomy = [
            name for name in names if self._upstreams[name].room(now) >= 1
        ]
        allowed = [name for name in roomy if self._upstreams[name].allows(now)]
        if allowed or len(roomy) < len(names):
            return allowed
        return roomy


def _refuse_unknown(pool: str) -> model.Refusal:
    return model.Refusal(
        ErrorCode.NO_UPSTREAM,
        f'no upstream serves {pool}',
        NO_UPSTREAM_RETRY_AFTER_S,
    )


def _refuse_full(pool: str) -> model.Refusal:
    return model.Refusal(
        ErrorCode.OVERLOADED,
        f'every upstream of {pool} is full',
        FULL_RETRY_AFTER_S,
    )
