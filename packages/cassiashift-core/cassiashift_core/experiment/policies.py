"""Policies to compare the router with.

Each gives the part of the router's interface that the experiment uses.
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
    """What the experiment asks of a policy."""

    def update_upstreams(
        self, views: Iterable[routing.UpstreamView], now: float
    ) -> None:
        """Replace what is known of all upstreams."""

    def choose(
        self,
        req: routing.RouteRequest,
        now: float,
        exclude: Collection[str] = frozenset(),
    ) -> routing.Choice | routing.Refusal:
        """Return the upstream for an attempt."""

    def capacity(self, pool_name: str, now: float) -> int:
        """Return the calls that the entry may have in progress."""

    def record_start(
        self,
        upstream_id: str,
        attempt_id: str,
        tokens: int,
        now: float,
        choice: routing.Choice | None = None,
    ) -> None:
        """Count an attempt."""

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Count a first token."""

    def record_progress(
        self, attempt_id: str, tokens: int, now: float
    ) -> None:
        """Count tokens."""

    def record_finish(
        self, attempt_id: str, outcome: routing.Outcome, now: float
    ) -> None:
        """Count the end of an attempt."""

    def apply_report(self, report: routing.LoadReport, now: float) -> None:
        """Take a load report."""

    def apply_cache_event(
        self, event: routing.CacheEvent, now: float
    ) -> routing.ResyncNeeded | None:
        """Take a cache event."""


@attrs.define
class Baseline:
    """What simple policies have in common.

    Attributes:
        share: part of the upstreams' concurrency that the entry may use.
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
        """Replace what is known of all upstreams."""
        live = [view for view in views if view.alive]
        self.alive = [view.id for view in live]
        self.slots = sum(view.concurrency for view in live)

    def choose(
        self,
        req: routing.RouteRequest,
        now: float,
        exclude: Collection[str] = frozenset(),
    ) -> routing.Choice | routing.Refusal:
        """Return the policy's upstream."""
        names = [name for name in self.alive if name not in exclude]
        if not names:
            return routing.Refusal(
                errors.ErrorCode.NO_UPSTREAM, 'no upstream', 1.0
            )
        return routing.Choice(self.pick(names), type(self).__name__)

    def pick(self, names: list[str]) -> str:
        """Return one of the names."""
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
        """Count an attempt."""
        self.outstanding[upstream_id] += 1
        self._attempts[attempt_id] = upstream_id

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Ignore a first token."""

    def record_progress(
        self, attempt_id: str, tokens: int, now: float
    ) -> None:
        """Ignore tokens."""

    def record_finish(
        self, attempt_id: str, outcome: routing.Outcome, now: float
    ) -> None:
        """Count the end of an attempt."""
        self.outstanding[self._attempts.pop(attempt_id)] -= 1

    def apply_report(self, report: routing.LoadReport, now: float) -> None:
        """Keep the reported load."""
        self.reported[report.upstream_id] = report.running

    def apply_cache_event(
        self, event: routing.CacheEvent, now: float
    ) -> routing.ResyncNeeded | None:
        """Ignore a cache event."""
        return None


@attrs.define
class RoundRobin(Baseline):
    """Takes upstreams in turn."""

    turn: int = 0

    def pick(self, names: list[str]) -> str:
        """Return the next name."""
        self.turn += 1
        return names[self.turn % len(names)]


@attrs.define
class TwoChoices(Baseline):
    """Takes the one with fewer own calls of two at random."""

    def pick(self, names: list[str]) -> str:
        """Return the better of two names."""
        pair = self.rng.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: self.outstanding[name])


@attrs.define
class LeastReported(Baseline):
    """Takes the one with the least reported load."""

    def pick(self, names: list[str]) -> str:
        """Return the least loaded name, at random among equals."""
        lowest = min(self.reported.get(name, 0) for name in names)
        equal = [
            name for name in names if self.reported.get(name, 0) == lowest
        ]
        return self.rng.choice(equal)


POLICIES = ('cassiashift', 'round_robin', 'two_choices', 'least_reported')


def create(
    name: str, cfg: model.ExperimentConfig, index: int, rng: random.Random
) -> Policy:
    """Return the policy of one entry."""
    share = 1.0 / cfg.entries
    if name == 'round_robin':
        return RoundRobin(rng, share, turn=index)
    if name == 'two_choices':
        return TwoChoices(rng, share)
    if name == 'least_reported':
        return LeastReported(rng, share)
    settings = routing.RoutingConfig(
        block_tokens=model.BLOCK_TOKENS,
        cache_blocks=cfg.engine.cache_blocks,
    )
    router = routing.Router.from_config(settings, rng)
    router.set_entries(index, cfg.entries)
    return router
