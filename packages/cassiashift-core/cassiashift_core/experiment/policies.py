"""Simple routing policies to compare the router with.

Each has the part of the router's interface that the experiment uses.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import Protocol

import attrs

from cassiashift_core import errors
from cassiashift_core.experiment import model
from cassiashift_core import routing


class Policy(Protocol):
    """The interface of a policy, a part of the router's."""

    def update_upstreams(
        self, views: Iterable[routing.UpstreamView], now: float
    ) -> None:
        """Replace the state of all upstreams."""

    def choose(
        self,
        req: routing.RouteRequest,
        now: float,
        exclude: Collection[str] = frozenset(),
    ) -> routing.Choice | routing.Refusal:
        """Return the upstream for an attempt, or why there is none."""

    def capacity(self, pool_name: str, now: float) -> int:
        """Return how many calls the entry may have in progress."""

    def record_start(
        self,
        upstream_id: str,
        attempt_id: str,
        tokens: int,
        now: float,
        choice: routing.Choice | None = None,
    ) -> None:
        """Record the start of an attempt."""

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Record the first token of an attempt."""

    def record_progress(
        self, attempt_id: str, tokens: int, now: float
    ) -> None:
        """Record further tokens of an attempt."""

    def record_finish(
        self, attempt_id: str, outcome: routing.Outcome, now: float
    ) -> None:
        """Record the end of an attempt."""

    def apply_report(self, report: routing.LoadReport, now: float) -> None:
        """Process a load report."""

    def apply_cache_event(
        self, event: routing.CacheEvent, now: float
    ) -> routing.ResyncNeeded | None:
        """Process a cache event; return a request for a snapshot if needed."""


@attrs.define
class Baseline:
    """Base class of the simple policies.

    Attributes:
        share: fraction of the upstreams' concurrency that the entry may use.
        alive: ids of the upstreams that are alive.
        slots: concurrency of all of them.
        reported: calls in progress by upstream, as last reported.
        outstanding: the entry's attempts in progress by upstream.
    """

    rng: random.Random
    share: float
    alive: list[str] = attrs.field(factory=list)
    slots: int = 0
    reported: dict[str, int] = attrs.field(factory=dict)
    outstanding: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _attempts: dict[str, str] = attrs.field(factory=dict)

    def update_upstreams(
        self, views: Iterable[routing.UpstreamView], now: float
    ) -> None:
        """Replace the state of all upstreams."""
        alive_views = [view for view in views if view.alive]
        self.alive = [view.id for view in alive_views]
        self.slots = sum(view.concurrency for view in alive_views)

    def choose(
        self,
        req: routing.RouteRequest,
        now: float,
        exclude: Collection[str] = frozenset(),
    ) -> routing.Choice | routing.Refusal:
        """Return the policy's choice among the alive upstreams."""
        upstream_ids = [name for name in self.alive if name not in exclude]
        if not upstream_ids:
            return routing.Refusal(
                errors.ErrorCode.NO_UPSTREAM, 'no upstream', 1.0
            )
        return routing.Choice(self.pick(upstream_ids), type(self).__name__)

    def pick(self, upstream_ids: list[str]) -> str:
        """Return the upstream that the policy selects."""
        raise NotImplementedError

    def capacity(self, pool_name: str, now: float) -> int:
        """Return an even share of the upstreams' concurrency."""
        return int(self.slots * self.share)

    def record_start(
        self,
        upstream_id: str,
        attempt_id: str,
        tokens: int,
        now: float,
        choice: routing.Choice | None = None,
    ) -> None:
        """Record the start of an attempt."""
        self.outstanding[upstream_id] += 1
        self._attempts[attempt_id] = upstream_id

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Ignore the first token."""

    def record_progress(
        self, attempt_id: str, tokens: int, now: float
    ) -> None:
        """Ignore tokens."""

    def record_finish(
        self, attempt_id: str, outcome: routing.Outcome, now: float
    ) -> None:
        """Record the end of an attempt."""
        self.outstanding[self._attempts.pop(attempt_id)] -= 1

    def apply_report(self, report: routing.LoadReport, now: float) -> None:
        """Store the reported number of calls in progress."""
        self.reported[report.upstream_id] = report.running

    def apply_cache_event(
        self, event: routing.CacheEvent, now: float
    ) -> routing.ResyncNeeded | None:
        """Ignore the cache event; no snapshot is needed."""
        return None


@attrs.define
class RoundRobin(Baseline):
    """Picks the upstreams in rotation."""

    turn: int = 0

    def pick(self, upstream_ids: list[str]) -> str:
        """Return the next upstream in the rotation."""
        self.turn += 1
        return upstream_ids[self.turn % len(upstream_ids)]


@attrs.define
class TwoChoices(Baseline):
    """Picks the one of two random upstreams with fewer own attempts."""

    def pick(self, upstream_ids: list[str]) -> str:
        """Return the one of two random upstreams with fewer own attempts."""
        pair = self.rng.sample(upstream_ids, min(2, len(upstream_ids)))
        return min(pair, key=lambda name: self.outstanding[name])


@attrs.define
class LeastReported(Baseline):
    """Picks the upstream with the lowest reported load."""

    def pick(self, upstream_ids: list[str]) -> str:
        """Return the least loaded upstream, at random among equals."""
        least = min(
            self.reported.get(upstream_id, 0) for upstream_id in upstream_ids
        )
        least_loaded = [
            upstream_id
            for upstream_id in upstream_ids
            if self.reported.get(upstream_id, 0) == least
        ]
        return self.rng.choice(least_loaded)


POLICIES = ('cassiashift', 'round_robin', 'two_choices', 'least_reported')


def create(
    name: str, cfg: model.ExperimentConfig, index: int, rng: random.Random
) -> Policy:
    """Return the named policy for the entry with an index.

    Any name that is not a simple policy's returns the router.
    """
    share = 1.0 / cfg.entries
    if name == 'round_robin':
        return RoundRobin(rng, share, turn=index)
    if name == 'two_choices':
        return TwoChoices(rng, share)
    if name == 'least_reported':
        return LeastReported(rng, share)
    routing_cfg = routing.RoutingConfig(
        block_tokens=model.BLOCK_TOKENS,
        cache_blocks=cfg.engine.cache_blocks,
    )
    router = routing.Router.from_config(routing_cfg, rng)
    router.set_entries(index, cfg.entries)
    return router
