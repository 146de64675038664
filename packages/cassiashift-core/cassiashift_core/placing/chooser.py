"""Choice of the upstream for a request."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import random

import attrs

from cassiashift_core import fleet

# Cost of a failure share of 1 in the comparison, in requests in flight.
FAILURE_PENALTY = 8.0
# Cost of an upstream in another data centre, in requests in flight.
DISTANCE_PENALTY = 0.05


@attrs.define
class Chooser:
    """Chooses among the upstreams of a table.

    ``max_in_flight`` is the maximum of requests in flight of all entries at
    one upstream, ``excluded`` the ids of upstreams that must not be chosen.
    """

    upstreams: fleet.UpstreamTable
    data_centre: str
    rng: random.Random

    def choose(
        self,
        candidates: Iterable[fleet.Upstream],
        max_in_flight: float,
        excluded: Collection[str],
        now: float,
    ) -> fleet.Upstream | None:
        """Return the upstream of the lowest cost, or None if none accepts."""

        def accepts(condition: fleet.Condition) -> bool:
            return condition.accepts(now)

        return self._cheapest(
            candidates, max_in_flight, excluded, accepts, now
        )

    def choose_limited(
        self,
        candidates: Iterable[fleet.Upstream],
        max_in_flight: float,
        excluded: Collection[str],
        now: float,
        wanted: int,
    ) -> fleet.Upstream | None:
        """Return the upstream to request a permit for, or None.

        Args:
            wanted: requests for which permits are of use.
        """
        candidates = list(candidates)
        open_count = sum(
            self.upstreams.condition(upstream).permit.is_open(now)
            for upstream in candidates
        )
        if open_count >= wanted:
            return None

        def needs_permit(condition: fleet.Condition) -> bool:
            return condition.needs_permit(now)

        return self._cheapest(
            candidates, max_in_flight, excluded, needs_permit, now
        )

    def room_in_s(
        self, candidates: Iterable[fleet.Upstream], now: float
    ) -> float:
        """Return the seconds until one of some upstreams has room.

        Only their pauses and limits count.
        """
        rooms = [
            self.upstreams.condition(upstream).room_at(now)
            for upstream in candidates
        ]
        return min(rooms, default=now) - now

    def _cheapest(
        self,
        candidates: Iterable[fleet.Upstream],
        max_in_flight: float,
        excluded: Collection[str],
        is_eligible: Callable[[fleet.Condition], bool],
        now: float,
    ) -> fleet.Upstream | None:
        best, lowest_cost = None, None
        for upstream in candidates:
            condition = self.upstreams.condition(upstream)
            if upstream.id in excluded or not (
                condition.all_in_flight < max_in_flight
            ):
                continue
            if not is_eligible(condition):
                continue
            cost = self._cost(upstream, condition, now)
            if lowest_cost is None or cost < lowest_cost:
                best, lowest_cost = upstream, cost
        return best

    def _cost(
        self, upstream: fleet.Upstream, condition: fleet.Condition, now: float
    ) -> tuple[float, float]:
        cost = (
            condition.all_in_flight + FAILURE_PENALTY * condition.failure_share
        )
        cost += condition.cold_cost(now)
        if upstream.data_centre != self.data_centre:
            cost += DISTANCE_PENALTY
        return cost, self.rng.random()
