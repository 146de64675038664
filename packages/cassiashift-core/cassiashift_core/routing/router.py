"""The router of one entry.

Scores the usable upstreams of a call's pool by the predicted time to the
first token plus a weighted time between tokens. It chooses at random among
the upstreams with nearly the lowest score, so that entries with the same
outdated load reports do not all choose the same one.
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
    """Chooses upstreams and tracks their load, health and caches."""

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
        self._aperture = aperture.Aperture(min_upstreams=cfg.aperture)
        self._prefixes = prefixes.PrefixIndex(
            cfg.cache_blocks, cfg.total_blocks
        )

    @classmethod
    def from_config(cls, cfg: Any, rng: random.Random) -> Self:
        """Return a router without upstreams."""
        return cls(cfg or model.RoutingConfig(), rng)

    def set_entries(self, index: int, entries: int) -> None:
        """Set the entry's index and the number of entries (aperture)."""
        self._aperture = aperture.Aperture(
            index, max(1, entries), self.cfg.aperture
        )

    def update_upstreams(
        self, views: Iterable[model.UpstreamView], now: float
    ) -> None:
        """Replace the set of upstreams by the current membership."""
        views_by_id = {view.id: view for view in views}
        for upstream_id in list(self._upstreams):
            if upstream_id not in views_by_id:
                del self._upstreams[upstream_id]
                self._prefixes.remove_upstream(upstream_id)
        first_time = not self._upstreams
        for view in views_by_id.values():
            self._update_upstream(view, None if first_time else now)
        self._pools = pools.build(views_by_id.values())

    def choose(
        self,
        req: model.RouteRequest,
        now: float,
        exclude: Collection[str] = frozenset(),
    ) -> model.Choice | model.Refusal:
        """Return the upstream for an attempt, or why there is none.

        The aperture is widened while fewer than half of
        ``RoutingConfig.aperture`` upstreams can serve the call, or none
        has capacity.

        Args:
            req: the call.
            now: time in seconds.
            exclude: ids of upstreams not to choose.
        """
        pool = self._pools.get(req.pool)
        if pool is None:
            return _refuse_unserved(req.pool)
        pool.check_health(self._upstreams, self._aperture, self.cfg, now)
        scorer = scores.Scorer.create(
            self.cfg, req, self._prefixes, self._upstreams, pool.gap_s
        )
        width = self._aperture.width(len(pool.ring))
        while True:
            names = [
                name
                for name in self._aperture.select(pool.ring, width)
                if name not in exclude and self._can_serve(name, req)
            ]
            if 2 * len(names) < self.cfg.aperture and width < len(pool.ring):
                width = min(len(pool.ring), 2 * width)
                continue
            if not names:
                return _refuse_unserved(req.pool)
            scored = [
                scorer.score(self._upstreams[name], now)
                for name in self._probe_due(names, now)
                or self._available(names, now)
            ]
            if scored:
                margin_s = self.cfg.tie_margin_s
                best = scores.choose_near_best(scored, margin_s, self.rng)
                return self._with_prefill(scorer.to_choice(best), pool, now)
            if width == len(pool.ring):
                return _refuse_full(req.pool)
            width = min(len(pool.ring), 2 * width)

    def capacity(self, pool_name: str, now: float) -> int:
        """Return how many calls of a pool this entry may have in progress."""
        pool = self._pools.get(pool_name)
        if pool is None:
            return 0
        width = self._aperture.width(len(pool.ring))
        names = self._aperture.select(pool.ring, width)
        total = 0.0
        for name in names:
            state = self._upstreams[name]
            own_calls = len(state.attempts)
            if state.usable and state.allows(now):
                total += own_calls + max(0.0, state.spare_capacity(now))
            else:
                total += own_calls
        return int(total)

    def record_start(
        self,
        upstream_id: str,
        attempt_id: str,
        tokens: int,
        now: float,
        choice: model.Choice | None = None,
    ) -> None:
        """Record the start of an attempt.

        ``tokens`` are the prompt tokens to prefill. A ``choice`` replaces
        them by its own count, and its prefix is assumed to be cached.
        """
        state = self._upstreams.get(upstream_id)
        if state is None:
            return
        self._attempts[attempt_id] = upstream_id
        if choice is not None:
            tokens = choice.uncached_tokens
            self._prefixes.record_sent(upstream_id, choice.prefix_blocks)
        state.record_start(attempt_id, tokens, now)

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Record the first token of an attempt; ignore unknown attempts."""
        state = self._state_of(attempt_id)
        if state is not None:
            state.record_first_token(attempt_id, now)

    def record_progress(
        self, attempt_id: str, tokens: int, now: float
    ) -> None:
        """Record tokens of an attempt since its last progress."""
        state = self._state_of(attempt_id)
        if state is not None:
            state.record_progress(attempt_id, tokens, now)

    def record_finish(
        self, attempt_id: str, outcome: model.Outcome, now: float
    ) -> None:
        """Record the end of an attempt."""
        state = self._state_of(attempt_id)
        self._attempts.pop(attempt_id, None)
        if state is not None:
            state.record_finish(attempt_id, outcome, now)

    def attempts_to_move(self, now: float) -> list[str]:
        """Return ids of attempts at stragglers, to be moved elsewhere.

        The entry must have chosen another upstream before it cancels an
        attempt.
        """
        return [
            attempt_id
            for state in self._upstreams.values()
            if state.paused and state.is_slow(now)
            for attempt_id in state.attempts
        ]

    def apply_report(self, report: model.LoadReport, now: float) -> None:
        """Apply a load report; reports may arrive late."""
        state = self._upstreams.get(report.upstream_id)
        if state is not None:
            state.apply_report(report, now)

    def apply_cache_event(
        self, event: model.CacheEvent, now: float
    ) -> model.ResyncNeeded | None:
        """Apply a cache event; return a resync request if one is needed."""
        if event.upstream_id not in self._upstreams:
            return None
        return self._prefixes.apply_event(event)

    def _update_upstream(
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
            self._prefixes.remove_upstream(view.id)
        state.view = view
        state.limit.set_maximum(view.concurrency)

    def _state_of(self, attempt_id: str) -> upstream.UpstreamState | None:
        upstream_id = self._attempts.get(attempt_id)
        state = self._upstreams.get(upstream_id or '')
        if state is None or attempt_id not in state.attempts:
            return None
        return state

    def _can_serve(self, name: str, req: model.RouteRequest) -> bool:
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
        """Add an upstream for the prefill if the chosen one only decodes."""
        chosen = self._upstreams[choice.upstream_id]
        if chosen.view.role is not manifest.Role.DECODE:
            return choice
        width = self._aperture.width(len(pool.ring))
        names = self._aperture.select(pool.ring, width)
        prefill_upstream = scores.choose_prefill_upstream(
            (self._upstreams[name] for name in names),
            choice.uncached_tokens,
            now,
        )
        if prefill_upstream is None:
            return choice
        return attrs.evolve(choice, prefill_on=prefill_upstream.view.id)

    def _probe_due(self, names: list[str], now: float) -> list[str]:
        """Return at most one upstream that is due for a probe."""
        return [
            name for name in names if self._upstreams[name].is_probe_due(now)
        ][:1]

    def _available(self, names: list[str], now: float) -> list[str]:
        """Return the upstreams with capacity whose breakers allow a call.

        Breakers are ignored if all upstreams have capacity and no breaker
        allows a call: an attempt is better than a refusal.
        """
        with_capacity = [
            name
            for name in names
            if self._upstreams[name].spare_capacity(now) >= 1
        ]
        allowed = [
            name for name in with_capacity if self._upstreams[name].allows(now)
        ]
        if allowed or len(with_capacity) < len(names):
            return allowed
        return with_capacity


def _refuse_unserved(pool: str) -> model.Refusal:
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
