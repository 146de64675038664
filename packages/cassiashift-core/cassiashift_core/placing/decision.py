"""Decides which upstream a request is sent to.

``decide`` is a pure function of a snapshot, so that the decision can be
explained without taking it. It computes no more than the choice needs; what
excluded the other upstreams and their cost terms are computed on demand.

Without timings of an engine, an upstream costs its requests in flight. With
them, the cost is the expected time of the request there, and the time that it
adds for the requests already there.
"""

import bisect
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import functools
import itertools
import math
import types

import attrs

from cassiashift_core import costs
from cassiashift_core.costs import timing
from cassiashift_core import fleet
from cassiashift_core.placing import slow_ranks
from cassiashift_core import routes

# Cost of a failure share of 1, in requests in flight.
FAILURE_PENALTY = 8.0
# Cost of an upstream in another data centre, in requests in flight.
DISTANCE_PENALTY = 0.05
# Upstreams whose costs differ by less than this, in requests in flight, are
# taken for equal and drawn from: the figures of other entries are older than
# such a difference, and all entries would choose the same one.
TOLERANCE = 0.25
# More candidates than the first number are sampled, to limit the time of a
# decision to 0.1 ms. The best of 45 is among the best twentieth of any number
# with a probability of 0.9.
MAX_WEIGHED = 72
SAMPLE = 45

Candidate = tuple[fleet.Upstream, fleet.Condition]
# The terms of one upstream, in the order of the fields of ``Terms``.
TermsFunction = Callable[[fleet.Upstream, fleet.Condition], tuple[float, ...]]


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


@attrs.frozen
class Terms:
    """The parts of an upstream's cost, as seconds or requests in flight.

    Attributes:
        own: time of the request at an idle upstream, at the speed of this
            one.
        others: delay by the requests that are there.
        added: delay of those by this request.
        prompts: prompts that this entry has sent there and that are still
            processed.
        failures: for the share of requests that failed.
        distance: for another data centre.
        extra: for coldness, see ``Condition.cold_cost``, and for a slowdown.
    """

    own: float = 0.0
    others: float = 0.0
    added: float = 0.0
    prompts: float = 0.0
    failures: float = 0.0
    distance: float = 0.0
    extra: float = 0.0

    @property
    def total(self) -> float:
        """Return the cost."""
        return sum(attrs.astuple(self))


@attrs.frozen
class Weighed:
    """A candidate as it was weighed.

    Attributes:
        exclusion: None if it could be chosen.
        is_home: the entry has a free slot of its own there.
        age_s: age of what other entries reported of it; infinite without.
    """

    upstream: fleet.Upstream
    terms: Terms
    exclusion: Exclusion | None
    is_home: bool
    age_s: float


@attrs.define(eq=False, slots=False)
class Decision:
    """The chosen upstream; None if none may be used."""

    snapshot: Snapshot
    chosen: fleet.Upstream | None

    @functools.cached_property
    def weighed(self) -> tuple[Weighed, ...]:
        """Return all candidates; see ``Weighed``.

        The excluded come last, those without a free home slot before them,
        and the cheapest of each first.
        """
        snapshot = self.snapshot
        homes = {
            candidate[0].id
            for candidate, count in snapshot.homes or ()
            if candidate[1].in_flight < count
        }
        is_shared = snapshot.homes is not None and not snapshot.may_visit

        def is_open(id_: str) -> bool:
            return not is_shared or id_ in homes

        terms_of = _terms_function(snapshot)
        exclusion = _exclusion_function(snapshot)
        rows = [
            Weighed(
                upstream,
                Terms(*terms_of(upstream, condition)),
                exclusion(upstream, condition)
                or (None if is_open(upstream.id) else Exclusion.NOT_HOME),
                upstream.id in homes,
                snapshot.now - condition.others_at,
            )
            for upstream, condition in snapshot.candidates
        ]
        rows.sort(
            key=lambda row: (
                row.exclusion is not None,
                not row.is_home,
                row.terms.total,
            )
        )
        return tuple(rows)

    @property
    def expected_s(self) -> float:
        """Return the expected time of the request at the chosen upstream.

        Without timings of the engine it is the usual time; 0 if unknown.
        """
        cost = self.snapshot.cost
        if cost is None:
            return 0.0
        if not self.snapshot.has_timings or self.chosen is None:
            return cost.time_s.mean
        terms = next(
            row.terms
            for row in self.weighed
            if row.upstream.id == self.chosen.id
        )
        return terms.own + terms.others + terms.prompts


def decide(snapshot: Snapshot) -> Decision:
    """Return the decision on a request.

    It is the cheapest upstream that accepts. Where slots are divided among
    entries, the cheapest one with a free home slot is preferred; otherwise
    one is drawn by the number of its free slots, as the cheapest one by old
    figures would be that of many entries. Slow upstreams that have what they
    may run are used only if no upstream accepts, at whichever entry its free
    slots are.
    """
    candidates = snapshot.candidates
    if snapshot.homes is None:
        chosen = _choose(snapshot, candidates, _cheapest)
    else:
        chosen = _choose(snapshot, snapshot.homes, _cheapest_home)
        if chosen is None and snapshot.may_visit:
            chosen = _choose(snapshot, candidates, _drawn)
    if chosen is None and snapshot.may_use_slow and _are_slow_left(snapshot):
        snapshot = attrs.evolve(snapshot, ignores_slow=True, may_visit=True)
        choice = _cheapest if snapshot.homes is None else _drawn
        chosen = _choose(snapshot, candidates, choice)
    return Decision(snapshot, chosen)


def fits(cost: costs.Cost, engine: routes.Engine | None) -> bool:
    """Return whether a stated prompt fits into an upstream without others."""
    if engine is None or not engine.capacity_tokens:
        return True
    prompt = cost.prompt_tokens
    return prompt.sigma > 0 or prompt.median < engine.capacity_tokens


def _are_slow_left(snapshot: Snapshot) -> bool:
    """Return whether nothing but slowness excludes the upstreams left."""
    if not snapshot.slowdowns:
        return False
    exclusion = _exclusion_function(snapshot)
    reasons = {exclusion(*item) for item in snapshot.candidates}
    return Exclusion.SLOW in reasons and None not in reasons


def _choose(
    snapshot: Snapshot,
    candidates: Sequence,
    choice: Callable[[Snapshot, Sequence], fleet.Upstream | None],
) -> fleet.Upstream | None:
    """Return the choice from a sample, or else from all candidates."""
    if len(candidates) > MAX_WEIGHED:
        chosen = choice(snapshot, _sample(candidates, snapshot.draw))
        if chosen is not None:
            return chosen
    return choice(snapshot, candidates)


def _cheapest_home(
    snapshot: Snapshot, homes: Sequence[tuple[Candidate, int]]
) -> fleet.Upstream | None:
    free = [
        candidate
        for candidate, count in homes
        if candidate[1].in_flight < count
    ]
    return _cheapest(snapshot, free)


def _cheapest(
    snapshot: Snapshot, candidates: Sequence[Candidate]
) -> fleet.Upstream | None:
    terms_of = _terms_function(snapshot)
    exclusion = _exclusion_function(snapshot)
    tolerance = 0.0
    if snapshot.has_timings:
        tolerance = TOLERANCE * _unit_s(snapshot)
    priced = [
        (sum(terms_of(*candidate)), index)
        for index, candidate in enumerate(candidates)
    ]
    priced.sort()
    equals: list[fleet.Upstream] = []
    bound = math.inf
    # Most checks are saved, as few of the cheapest ones are excluded.
    for cost, index in priced:
        if cost > bound:
            break
        if exclusion(*candidates[index]) is None:
            bound = min(bound, cost + tolerance)
            equals.append(candidates[index][0])
    if not equals:
        return None
    return equals[min(int(snapshot.draw * len(equals)), len(equals) - 1)]


def _drawn(
    snapshot: Snapshot, candidates: Sequence[Candidate]
) -> fleet.Upstream | None:
    """Return an upstream drawn by its free slots, fewer if slow or failing."""
    accepted = _accepted(snapshot, candidates)
    if not accepted:
        return None
    # An upstream whose others are ignored may look more than full.
    limit, slowdowns = snapshot.limit, snapshot.slowdowns
    weights = [
        max(
            1.0,
            (_slots_at(snapshot, upstream) if slowdowns else limit)
            - condition.in_flight
            - condition.others_in_flight,
        )
        / (condition.slowness + FAILURE_PENALTY * condition.failure_share)
        for upstream, condition in accepted
    ]
    sums = list(itertools.accumulate(weights))
    index = bisect.bisect(sums, snapshot.draw * sums[-1])
    return accepted[min(index, len(accepted) - 1)][0]


def _accepted(
    snapshot: Snapshot, candidates: Sequence[Candidate]
) -> list[Candidate]:
    exclusion = _exclusion_function(snapshot)
    return [item for item in candidates if exclusion(*item) is None]


def _sample(candidates: Sequence, draw: float) -> Sequence:
    """Return ``SAMPLE`` candidates at equal distances from a random one."""
    count = len(candidates)
    start = int(draw * count)
    # Another digit of the draw turns the distances, so that pairs of
    # upstreams are not always sampled together.
    stride = 1 + int(draw * count * 1009) % max(1, count // SAMPLE)
    return [
        candidates[(start + number * stride) % count]
        for number in range(SAMPLE)
    ]


def _slots_at(snapshot: Snapshot, upstream: fleet.Upstream) -> float:
    """Return the requests of all entries that an upstream may run."""
    slowdown = snapshot.slowdowns.get(upstream.id, 1.0)
    if slowdown == 1.0 or snapshot.ignores_slow:
        return snapshot.limit
    slots = slow_ranks.may_run(snapshot.engine, slowdown)
    return min(snapshot.limit, slots)


def _exclusion_function(
    snapshot: Snapshot,
) -> Callable[[fleet.Upstream, fleet.Condition], Exclusion | None]:
    """Return the function of what excludes an upstream."""
    limit, now, tried = snapshot.limit, snapshot.now, snapshot.excluded
    room = _token_room(snapshot)
    weight = 0 if snapshot.ignores_others else 1
    slowdowns = snapshot.slowdowns

    def exclusion(
        upstream: fleet.Upstream, condition: fleet.Condition
    ) -> Exclusion | None:
        count = condition.in_flight + weight * condition.others_in_flight
        if count >= limit:
            return Exclusion.FULL
        if upstream.id in tried:
            return Exclusion.TRIED
        if not condition.accepts(now):
            if condition.is_available(now):
                return Exclusion.NEEDS_PERMIT
            return Exclusion.PAUSED
        # An upstream without requests is never excluded: a wrong estimate
        # must not keep a request from being tried anywhere.
        held = condition.tokens + weight * condition.others_tokens
        if held > room and held > 0:
            return Exclusion.NO_MEMORY
        # Last, so that nothing else excludes an upstream that is only slow.
        if slowdowns and count >= _slots_at(snapshot, upstream):
            return Exclusion.SLOW
        return None

    return exclusion


def _token_room(snapshot: Snapshot) -> float:
    """Return the tokens that others may hold beside the request."""
    engine = snapshot.engine
    if engine is None or not engine.capacity_tokens or snapshot.cost is None:
        return math.inf
    return engine.capacity_tokens - snapshot.cost.tokens.high


def _unit_s(snapshot: Snapshot) -> float:
    """Return the delay that one more request in flight causes a request."""
    return (
        snapshot.engine.step_per_request_s * snapshot.cost.output_tokens.mean
    )


def _may_be_cold(snapshot: Snapshot) -> bool:
    """Return whether the service states a rate for cold upstreams."""
    return any(
        condition.coldness.terms.per_s > 0
        for _, condition in snapshot.candidates[:1]
    )


def _terms_function(snapshot: Snapshot) -> TermsFunction:
    """Return the function of the terms of an upstream's cost."""
    has_timings = snapshot.has_timings
    make = _timed_terms_function if has_timings else _plain_terms_function
    terms_of = make(snapshot)
    if not snapshot.slowdowns:
        return terms_of
    unit = _unit_s(snapshot) if has_timings else 1.0
    return _slow_terms_function(snapshot, terms_of, unit)


def _plain_terms_function(snapshot: Snapshot) -> TermsFunction:
    data_centre, now = snapshot.data_centre, snapshot.now
    weight = 0 if snapshot.ignores_others else 1

    def terms(
        upstream: fleet.Upstream, condition: fleet.Condition
    ) -> tuple[float, ...]:
        return (
            0.0,
            condition.in_flight + weight * condition.others_in_flight,
            0.0,
            0.0,
            FAILURE_PENALTY * condition.failure_share,
            0.0 if upstream.data_centre == data_centre else DISTANCE_PENALTY,
            condition.cold_cost(now),
        )

    return terms


def _slow_terms_function(
    snapshot: Snapshot, terms_of: TermsFunction, unit: float
) -> TermsFunction:
    """Return the function of the terms where some upstreams are slow.

    Each request at a slow one, this one included, counts as many as its
    slowdown.

    Args:
        terms_of: function of the terms without slowdowns.
        unit: cost of one more request in flight.
    """
    slowdowns = snapshot.slowdowns
    weight = 0 if snapshot.ignores_others else 1

    def terms(
        upstream: fleet.Upstream, condition: fleet.Condition
    ) -> tuple[float, ...]:
        values = terms_of(upstream, condition)
        if upstream.id not in slowdowns:
            return values
        slowdown = slowdowns[upstream.id]
        count = condition.in_flight + weight * condition.others_in_flight + 1
        return *values[:-1], values[-1] + unit * (slowdown - 1.0) * count

    return terms


def _timed_terms_function(snapshot: Snapshot) -> TermsFunction:
    cost, engine = snapshot.cost, snapshot.engine
    own_s = cost.time_s.mean
    output = cost.output_tokens.mean
    unit_s = _unit_s(snapshot)
    # The part of a step that one other request takes.
    slowdown = engine.step_per_request_s / (
        engine.step_s + engine.step_per_request_s
    )
    context_s = engine.context_per_thousand_s * output / 1000
    # In a lock-step group a prompt delays all requests of the group, at
    # whichever upstream it is processed.
    is_lock_step = engine.sets > 0
    pause_s = 0.0 if is_lock_step else cost.prompt_s
    data_centre, now = snapshot.data_centre, snapshot.now
    may_be_cold = _may_be_cold(snapshot)
    far_s = unit_s * DISTANCE_PENALTY

    def terms(
        upstream: fleet.Upstream, condition: fleet.Condition
    ) -> tuple[float, ...]:
        count = condition.in_flight + condition.others_in_flight
        known_s = (condition.work_ms + condition.others_work_ms) / 1000
        # Both share the upstream until the first of them is done. Requests
        # without an estimate count as long as this one.
        overlap_s = min(known_s, count * own_s) if known_s else count * own_s
        held = condition.tokens + condition.others_tokens
        shared_s = slowdown * overlap_s
        slowness = condition.slowness
        return (
            slowness * own_s,
            slowness * (shared_s + context_s * held),
            shared_s + count * pause_s,
            condition.prompt_ms / 1000,
            unit_s * FAILURE_PENALTY * condition.failure_share,
            0.0 if upstream.data_centre == data_centre else far_s,
            unit_s * condition.cold_cost(now) if may_be_cold else 0.0,
        )

    return terms
