"""Choice of the upstream for a request."""

from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import Any

import attrs

from cassiashift_core import fleet
from cassiashift_core.placing import snapshot as snapshots
from cassiashift_core.placing import terms


@attrs.define
class Chooser:
    """Makes snapshots of a table of upstreams, and chooses for permits.

    ``max_in_flight`` is the maximum of requests in flight of all entries at
    one upstream, ``excluded`` the ids of upstreams that must not be chosen.
    """

    upstreams: fleet.UpstreamTable
    data_centre: str
    rng: random.Random

    def snapshot(
        self,
        candidates: Iterable[fleet.Upstream],
        limit: float,
        excluded: Collection[str],
        now: float,
        **fields: Any,
    ) -> snapshots.Snapshot:
        """Return the snapshot to decide from.

        Args:
            limit: maximum of requests in flight of all entries at one
                upstream.
            fields: other fields of the snapshot.
        """
        if 'draw' not in fields:
            fields['draw'] = self.rng.random()
        return snapshots.Snapshot(
            self.upstreams.with_conditions(candidates),
            limit,
            now,
            self.data_centre,
            excluded=excluded,
            slowdowns=self.upstreams.slow_factors(now),
            **fields,
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

        best, lowest_cost = None, None
        for upstream in candidates:
            condition = self.upstreams.condition(upstream)
            if (
                upstream.id in excluded
                or condition.all_in_flight >= max_in_flight
                or not condition.needs_permit(now)
            ):
                continue
            cost = self._cost(upstream, condition, now)
            if lowest_cost is None or cost < lowest_cost:
                best, lowest_cost = upstream, cost
        return best

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

    def _cost(
        self, upstream: fleet.Upstream, condition: fleet.Condition, now: float
    ) -> tuple[float, float]:
        cost = (
            condition.all_in_flight
            + terms.FAILURE_PENALTY * condition.failure_share
        )
        cost += condition.cold_cost(now)
        if upstream.data_centre != self.data_centre:
            cost += terms.DISTANCE_PENALTY
        return cost, self.rng.random()
