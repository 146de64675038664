"""What one entry knows of the load and the health of upstreams."""

from collections.abc import Iterable
import random

import attrs

from cassiashift_core import fleet
from cassiashift_core.routing import breaker as breakers

# Pauses of the breaker of an upstream, in seconds. The first one outlasts a
# short stall; the longest one bounds how late a returned upstream is used.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# Failures in a row that open the breaker; a refused connection counts whole.
FAILURES_TO_OPEN = 2
# Weight of the newest outcome in the share of failed requests.
FAILURE_WEIGHT = 0.2
# Requests that a share of failures of 1 is worth when upstreams are compared.
FAILURE_PENALTY = 8.0
# Requests that a hop to another data centre is worth in the comparison.
DISTANCE_PENALTY = 0.05


@attrs.define
class UpstreamLoad:
    """Requests in flight and the latest outcomes of one upstream.

    Attributes:
        in_flight: requests of this entry that it has not answered.
        failure_share: recent share of failed requests, 0 to 1.
    """

    in_flight: int = 0
    failures_in_row: int = 0
    failure_share: float = 0.0
    full_until: float = 0.0
    breaker: breakers.Breaker = attrs.field(
        factory=lambda: breakers.Breaker(LONGEST_PAUSE_S)
    )

    def sent(self, now: float) -> None:
        """Note a send."""
        self.breaker.sent(now)
        self.in_flight += 1

    def ended(self) -> None:
        """Note that a request is over, however it ended."""
        self.in_flight -= 1

    def succeeded(self, now: float) -> None:
        """Note a good outcome."""
        self.failures_in_row = 0
        self.failure_share *= 1 - FAILURE_WEIGHT
        self._answered(now)

    def failed(self, now: float, is_down: bool = False) -> None:
        """Note a bad outcome; ``is_down`` when it can't be reached."""
        self.failures_in_row += 1
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        if is_down or self.failures_in_row >= FAILURES_TO_OPEN:
            self.breaker.failed(now, FIRST_PAUSE_S)

    def refused(self, now: float, pause_s: float) -> None:
        """Note that it takes nothing more for a moment."""
        self.full_until = max(self.full_until, now + pause_s)
        self._answered(now)

    def _answered(self, now: float) -> None:
        if self.breaker.state != 'closed':
            self.breaker.succeeded(now)

    def takes(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self.full_until and self.breaker.allows(
            self.in_flight, now
        )


@attrs.define
class Loads:
    """The loads of all upstreams that this entry sends to."""

    data_centre: str
    rng: random.Random
    _loads: dict[str, UpstreamLoad] = attrs.field(factory=dict)

    def of(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream."""
        return self._loads.setdefault(upstream_id, UpstreamLoad())

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        self._loads.pop(upstream_id, None)

    def choose(
        self,
        candidates: Iterable[fleet.Upstream],
        limit: float,
        excluded: Iterable[str],
        now: float,
    ) -> fleet.Upstream | None:
        """Return the best upstream for a request, or None if all are full.

        Args:
            limit: requests in flight from this entry at one upstream.
            excluded: ids that the request was sent to already.
        """
        excluded = set(excluded)
        best, best_rank = None, None
        for upstream in candidates:
            load = self.of(upstream.id)
            if upstream.id in excluded or load.in_flight >= limit:
                continue
            if not load.takes(now):
                continue
            rank = self._rank(upstream, load)
            if best_rank is None or rank < best_rank:
                best, best_rank = upstream, rank
        return best

    def _rank(
        self, upstream: fleet.Upstream, load: UpstreamLoad
    ) -> tuple[float, float]:
        cost = load.in_flight + FAILURE_PENALTY * load.failure_share
        if upstream.data_centre != self.data_centre:
            cost += DISTANCE_PENALTY
        return cost, self.rng.random()
