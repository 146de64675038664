"""Load and health of upstreams as observed by one entry."""

from collections.abc import Iterable
import random

import attrs

from cassiashift_core import fleet
from cassiashift_core.placing import backoff
from cassiashift_core.routing import breaker as breakers

# Pauses of an upstream's circuit breaker. The first one outlasts a short
# stall; the longest one bounds the delay until a recovered upstream is used.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# Consecutive failures that open the breaker; a refused connection opens it at
# once.
FAILURES_TO_OPEN = 2
# Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.2
# Cost of a failure share of 1 in the comparison, in requests in flight.
FAILURE_PENALTY = 8.0
# Cost of an upstream in another data centre, in requests in flight.
DISTANCE_PENALTY = 0.05


@attrs.define
class UpstreamLoad:
    """Requests in flight and recent outcomes of one upstream.

    Attributes:
        in_flight: requests of this entry that have not ended.
        failure_share: moving average of failed requests, 0 to 1.
        full_until: time until which it is skipped after a refusal.
    """

    in_flight: int = 0
    failures_in_row: int = 0
    failure_share: float = 0.0
    full_until: float = 0.0
    breaker: breakers.Breaker = attrs.field(
        factory=lambda: breakers.Breaker(LONGEST_PAUSE_S)
    )

    def record_send(self, now: float) -> None:
        """Record that a request was sent."""
        self.breaker.record_send(now)
        self.in_flight += 1

    def record_end(self) -> None:
        """Record the end of a request, whatever its outcome."""
        self.in_flight -= 1

    def record_success(self, now: float) -> None:
        """Record a successful request."""
        self.failures_in_row = 0
        self.failure_share *= 1 - FAILURE_WEIGHT
        self._close_breaker(now)

    def record_failure(self, now: float, is_down: bool = False) -> None:
        """Record a failed request; ``is_down`` if it can't be reached."""
        self.failures_in_row += 1
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        if is_down or self.failures_in_row >= FAILURES_TO_OPEN:
            self.breaker.record_failure(now, FIRST_PAUSE_S)

    def record_refusal(self, now: float, pause_s: float) -> None:
        """Record a refusal; the upstream is skipped for a pause."""
        self.full_until = max(self.full_until, now + pause_s)
        self._close_breaker(now)

    def _close_breaker(self, now: float) -> None:
        if self.breaker.state != 'closed':
            self.breaker.record_success(now)

    def accepts(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self.full_until and self.breaker.allows(
            self.in_flight, now
        )


@attrs.define
class Loads:
    """Loads of all upstreams that this entry sends to, by id.

    Attributes:
        back_offs: pauses that upstreams have asked for.
    """

    data_centre: str
    rng: random.Random
    back_offs: backoff.BackOffs = attrs.field(factory=backoff.BackOffs)
    _loads: dict[str, UpstreamLoad] = attrs.field(factory=dict)

    def for_upstream(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream; created on first use."""
        return self._loads.setdefault(upstream_id, UpstreamLoad())

    def forget(self, upstream_id: str) -> None:
        """Drop the load of an upstream that is gone."""
        self._loads.pop(upstream_id, None)
        self.back_offs.forget(upstream_id)

    def choose(
        self,
        candidates: Iterable[fleet.Upstream],
        limit: float,
        excluded: Iterable[str],
        now: float,
    ) -> fleet.Upstream | None:
        """Return the upstream of the lowest cost, or None if none accepts.

        Args:
            limit: maximum of requests in flight from this entry at one
                upstream.
            excluded: ids of upstreams that must not be chosen.
        """
        excluded = set(excluded)
        best, lowest_cost = None, None
        for upstream in candidates:
            load = self.for_upstream(upstream.id)
            if upstream.id in excluded or load.in_flight >= limit:
                continue
            if not load.accepts(now) or now < self.back_offs.ends_at(upstream):
                continue
            cost = self._cost(upstream, load)
            if lowest_cost is None or cost < lowest_cost:
                best, lowest_cost = upstream, cost
        return best

    def _cost(
        self, upstream: fleet.Upstream, load: UpstreamLoad
    ) -> tuple[float, float]:
        cost = load.in_flight + FAILURE_PENALTY * load.failure_share
        if upstream.data_centre != self.data_centre:
            cost += DISTANCE_PENALTY
        return cost, self.rng.random()
