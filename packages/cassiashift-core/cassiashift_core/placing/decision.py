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
    """Return whether only slow upstreams can take the request.

    While others are full it waits for them: at a slow rank it would delay all
    requests of the group.
    """
    if not snapshot.slowdowns:
        return False
    exclusion = _exclusion_function(snapshot)
    reasons = {exclusion(*item) for item in snapshot.candidates}
    is_waited_for = reasons & {None, Exclusion.FULL}
    return Exclusion.SLOW in reasons and not is_waited_for


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
    exclusion = _exclusion_function(snapshot)
    tolerance = 0.0
    if snapshot.has_timings:
        tolerance = TOLERANCE * _unit_s(snapshot)
    totals = _totals(snapshot, candidates)
    priced = sorted(zip(totals, itertools.count(), strict=False))
    first = next(
        (
            number
            for number, (_, index) in enumerate(priced)
            if exclusion(*candidates[index]) is None
        ),
        None,
    )
    if first is None:
        return None
    end = bisect.bisect(priced, (priced[first][0] + tolerance, math.inf))
    equals = priced[first:end]
    draw = snapshot.draw
    # Most checks are saved, as few of the cheapest ones are excluded. What is
    # left of a draw that met an excluded one is as random as the draw.
    while True:
        draw *= len(equals)
        number = min(int(draw), len(equals) - 1)
        upstream, condition = candidates[equals[number][1]]
        if number == 0 or exclusion(upstream, condition) is None:
            return upstream
        del equals[number]
        draw -= number


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

    Args:
        terms_of: function of the terms without slowdowns.
        unit: cost of one more request in flight.
    """
    weight = 0 if snapshot.ignores_others else 1

    def terms(
        upstream: fleet.Upstream, condition: fleet.Condition
    ) -> tuple[float, ...]:
        *values, extra = terms_of(upstream, condition)
        cost = _slow_cost(snapshot, weight, upstream, condition)
        return *values, extra + unit * cost

    return terms


def _slow_cost(
    snapshot: Snapshot,
    weight: int,
    upstream: fleet.Upstream,
    condition: fleet.Condition,
) -> float:
    """Return the extra cost of a slow upstream, in requests in flight.

    Each request there, this one included, counts as many as the slowdown.
    """
    slowdown = snapshot.slowdowns.get(upstream.id, 1.0)
    if slowdown == 1.0:
        return 0.0
    count = condition.in_flight + weight * condition.others_in_flight + 1
    return (slowdown - 1.0) * count


@attrs.frozen
class _Times:
    """The times that the terms of all upstreams are made from, in seconds.

    Attributes:
        own_s: mean time of the request.
        unit_s: delay by one more request in flight.
        step_share: part of a step that one other request takes.
        context_s: delay by one token of context.
        pause_s: delay of each other request by its prompt.
    """

    own_s: float
    unit_s: float
    step_share: float
    context_s: float
    pause_s: float

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> '_Times':
        """Return the times of a request at an engine with timings."""
        cost, engine = snapshot.cost, snapshot.engine
        step_s = engine.step_s + engine.step_per_request_s
        per_token_s = engine.context_per_thousand_s / 1000
        # In a lock-step group a prompt delays all requests of the group, at
        # whichever upstream it is processed.
        is_lock_step = engine.sets > 0
        return cls(
            own_s=cost.time_s.mean,
            unit_s=_unit_s(snapshot),
            step_share=engine.step_per_request_s / step_s,
            context_s=per_token_s * cost.output_tokens.mean,
            pause_s=0.0 if is_lock_step else cost.prompt_s,
        )


def _timed_terms_function(snapshot: Snapshot) -> TermsFunction:
    times = _Times.from_snapshot(snapshot)
    data_centre, now = snapshot.data_centre, snapshot.now
    may_be_cold = _may_be_cold(snapshot)
    far_s = times.unit_s * DISTANCE_PENALTY

    def terms(
        upstream: fleet.Upstream, condition: fleet.Condition
    ) -> tuple[float, ...]:
        count = condition.in_flight + condition.others_in_flight
        known_s = (condition.work_ms + condition.others_work_ms) / 1000
        # Both share the upstream until the first of them is done. Requests
        # without an estimate count as long as this one.
        overlap_s = count * times.own_s
        if known_s:
            overlap_s = min(known_s, overlap_s)
        held = condition.tokens + condition.others_tokens
        shared_s = times.step_share * overlap_s
        slowness = condition.slowness
        return (
            slowness * times.own_s,
            slowness * (shared_s + times.context_s * held),
            shared_s + count * times.pause_s,
            condition.prompt_ms / 1000,
            times.unit_s * FAILURE_PENALTY * condition.failure_share,
            0.0 if upstream.data_centre == data_centre else far_s,
            times.unit_s * condition.cold_cost(now) if may_be_cold else 0.0,
        )

    return terms


def _totals(
    snapshot: Snapshot, candidates: Sequence[Candidate]
) -> list[float]:
    """Return the sum of the terms of each candidate.

    These loops call nothing, which takes half of the time that the functions
    of the terms take for all candidates.
    """
    weight = 0 if snapshot.ignores_others else 1
    if snapshot.has_timings:
        totals, unit = _timed_totals(snapshot, candidates), _unit_s(snapshot)
    else:
        unit = 1.0
        totals = [
            condition.in_flight
            + weight * condition.others_in_flight
            + FAILURE_PENALTY * condition.failure_share
            for _, condition in candidates
        ]
    may_be_cold = _may_be_cold(snapshot)
    far = unit * DISTANCE_PENALTY
    data_centre, now = snapshot.data_centre, snapshot.now
    for number, (upstream, condition) in enumerate(candidates):
        if upstream.data_centre != data_centre:
            totals[number] += far
        if may_be_cold:
            totals[number] += unit * condition.cold_cost(now)
    if snapshot.slowdowns:
        for number, candidate in enumerate(candidates):
            totals[number] += unit * _slow_cost(snapshot, weight, *candidate)
    return totals


def _timed_totals(
    snapshot: Snapshot, candidates: Sequence[Candidate]
) -> list[float]:
    """Return the sums of the terms that depend on the engine's timings."""
    times = _Times.from_snapshot(snapshot)
    own_s, pause_s = times.own_s, times.pause_s
    context_s, step_share = times.context_s, times.step_share
    failure_s = times.unit_s * FAILURE_PENALTY
    totals = []
    for _, condition in candidates:
        count = condition.in_flight + condition.others_in_flight
        known_s = (condition.work_ms + condition.others_work_ms) / 1000
        shared_s = count * own_s
        if 0 < known_s < shared_s:
            shared_s = known_s
        shared_s *= step_share
        held = condition.tokens + condition.others_tokens
        totals.append(
            condition.slowness * (own_s + shared_s + context_s * held)
            + shared_s
            + count * pause_s
            + condition.prompt_ms / 1000
            + failure_s * condition.failure_share
        )
    return totals
