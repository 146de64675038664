"""What a decision on the upstream for a request is made from."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import math
import types

import attrs

from cassiashift_core import costs
from cassiashift_core.costs import timing
from cassiashift_core import fleet
from cassiashift_core import routes

Candidate = tuple[fleet.Upstream, fleet.Condition]


class Exclusion(enum.Enum):
    """Why an upstream could not be chosen."""

    TRIED = 'tried'
    FULL = 'full'
    SLOW = 'slow'
    NO_MEMORY = 'no_memory'
    NEEDS_PERMIT = 'needs_permit'
    PAUSED = 'paused'
    NOT_HOME = 'not_home'


@attrs.frozen
class Snapshot:
    """What a decision is made from.

    Attributes:
        candidates: the upstreams that may be used, with their conditions.
        limit: requests in flight of all entries that one upstream may have.
        draw: random number from 0 to 1, for the choice among equals.
        excluded: ids of upstreams that must not be chosen.
        cost: expected cost of the request.
        engine: engine of its service; None for plain services.
        time_left_s: time until the request must be answered.
        homes: candidates with home slots of this entry, and their number;
            None if all slots are its own. See ``workload.home_slots``.
        may_visit: it may use other slots than these too.
        ignores_others: what the other entries reported does not count.
        slowdowns: those of the slow upstreams, by id.
        may_use_slow: a slow upstream may be used up to the limit if no other
            one accepts the request.
        ignores_slow: no upstream is excluded because it is slow.
    """

    candidates: Sequence[Candidate]
    limit: float
    now: float
    data_centre: str
    draw: float = 0.0
    excluded: Collection[str] = ()
    cost: costs.Cost | None = None
    engine: routes.Engine | None = None
    time_left_s: float = math.inf
    homes: Sequence[tuple[Candidate, int]] | None = None
    may_visit: bool = True
    ignores_others: bool = False
    slowdowns: Mapping[str, float] = types.MappingProxyType({})
    may_use_slow: bool = True
    ignores_slow: bool = False

    @property
    def has_timings(self) -> bool:
        """Return whether costs are times, not numbers of requests."""
        return self.cost is not None and timing.has_timings(self.engine)
