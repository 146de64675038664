"""What slow ranks of a lock-step group may run.

In a pass, every rank first does its own part of the work, and the pass waits
for the slowest one. A slow rank may run so many requests that its part takes
no longer than that of a rank of normal speed with all slots in use.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from cassiashift_core.costs import timing
from cassiashift_core import routes

# Products of timings may be smaller than a whole number by rounding.
ROUNDING = 1e-9


def may_run(engine: routes.Engine | None, slowdown: float) -> float:
    """Return the requests of all entries that an upstream may run.

    It is a whole number. Without timings of the engine there is no bound.
    """
    if slowdown <= 1.0 or not timing.has_timings(engine):
        return math.inf
    step_s, per_request_s = engine.step_s, engine.step_per_request_s
    longest_s = step_s + engine.slots * per_request_s
    count = (longest_s / slowdown - step_s) / per_request_s
    return max(0.0, math.floor(count + ROUNDING))


def slow_slots(
    upstreams: Iterable[str],
    limit: float,
    engine: routes.Engine | None,
    slowdowns: Mapping[str, float],
) -> dict[str, float]:
    """Return what the slow ones of some upstreams may run, by id.

    It is empty if none of the upstreams could run a request then: slow ones
    are used like others if there are no others.

    Args:
        upstreams: their ids.
        limit: requests in flight that one upstream may have.
        slowdowns: those of the slow upstreams by id.
    """
    if not slowdowns or not timing.has_timings(engine):
        return {}
    slots = {}
    count = 0
    for id_ in upstreams:
        count += 1
        slowdown = slowdowns.get(id_, 1.0)
        if slowdown > 1.0:
            slots[id_] = min(limit, may_run(engine, slowdown))
    is_left = len(slots) < count or any(slots.values())
    return slots if is_left else {}


def total_slots(
    count: int, limit: float, slots_of_slow: Mapping[str, float]
) -> float:
    """Return the requests that a number of upstreams may have in flight.

    Args:
        limit: requests in flight that one upstream may have.
        slots_of_slow: see ``slow_slots``.
    """
    slow = sum(slots_of_slow.values())
    return (count - len(slots_of_slow)) * limit + slow
