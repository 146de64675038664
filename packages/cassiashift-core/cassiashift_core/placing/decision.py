"""Decides which upstream a request is sent to.

``decide`` is a pure function of a snapshot, so that the decision can be
explained without taking it. It computes no more than the choice needs; what
excluded the other upstreams and their cost terms are computed on demand.
"""

import bisect
from collections.abc import Callable
from collections.abc import Sequence
import functools
import itertools
import math

import attrs

from cassiashift_core import costs
from cassiashift_core import fleet
from cassiashift_core.placing import slow_ranks
from cassiashift_core.placing import snapshot as snapshots
from cassiashift_core.placing import terms as cost_terms
from cassiashift_core import routes

# Upstreams whose costs differ by less than this, in requests in flight, are
# taken for equal and drawn from: the figures of other entries are older than
# such a difference, and all entries would choose the same one.
TOLERANCE = 0.25
# More candidates than the first number are sampled, to limit the time of a
# decision to 0.1 ms. The best of 45 is among the best twentieth of any number
# with a probability of 0.9.
MAX_WEIGHED = 72
SAMPLE = 45


@attrs.frozen
class Weighed:
    """A candidate as it was weighed.

    Attributes:
        exclusion: None if it could be chosen.
        is_home: the entry has a free slot of its own there.
        age_s: age of what other entries reported of it; infinite without.
    """

    upstream: fleet.Upstream
    terms: cost_terms.Terms
    exclusion: snapshots.Exclusion | None
    is_home: bool
    age_s: float


@attrs.define(eq=False, slots=False)
class Decision:
    """The chosen upstream; None if none may be used."""

    snapshot: snapshots.Snapshot
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

        terms_of = cost_terms.terms_function(snapshot)
        exclusion = _exclusion_function(snapshot)
        rows = [
            Weighed(
                upstream,
                cost_terms.Terms(*terms_of(upstream, condition)),
                exclusion(upstream, condition)
                or (
                    None
                    if is_open(upstream.id)
                    else snapshots.Exclusion.NOT_HOME
                ),
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


def decide(snapshot: snapshots.Snapshot) -> Decision:
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


def _are_slow_left(snapshot: snapshots.Snapshot) -> bool:
    """Return whether only slow upstreams can take the request.

    While others are full it waits for them: at a slow rank it would delay all
    requests of the group.
    """
    if not snapshot.slowdowns:
        return False
    exclusion = _exclusion_function(snapshot)
    reasons = {exclusion(*item) for item in snapshot.candidates}
    is_waited_for = reasons & {None, snapshots.Exclusion.FULL}
    return snapshots.Exclusion.SLOW in reasons and not is_waited_for


def _choose(
    snapshot: snapshots.Snapshot,
    candidates: Sequence,
    choice: Callable[[snapshots.Snapshot, Sequence], fleet.Upstream | None],
) -> fleet.Upstream | None:
    """Return the choice from a sample, or else from all candidates."""
    if len(candidates) > MAX_WEIGHED:
        chosen = choice(snapshot, _sample(candidates, snapshot.draw))
        if chosen is not None:
            return chosen
    return choice(snapshot, candidates)


def _cheapest_home(
    snapshot: snapshots.Snapshot,
    homes: Sequence[tuple[snapshots.Candidate, int]],
) -> fleet.Upstream | None:
    free = [
        candidate
        for candidate, count in homes
        if candidate[1].in_flight < count
    ]
    return _cheapest(snapshot, free)


def _cheapest(
    snapshot: snapshots.Snapshot, candidates: Sequence[snapshots.Candidate]
) -> fleet.Upstream | None:
    exclusion = _exclusion_function(snapshot)
    tolerance = 0.0
    if snapshot.has_timings:
        tolerance = TOLERANCE * cost_terms.unit_s(snapshot)
    totals = cost_terms.totals(snapshot, candidates)
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
    snapshot: snapshots.Snapshot, candidates: Sequence[snapshots.Candidate]
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
        / (
            condition.slowness
            + cost_terms.FAILURE_PENALTY * condition.failure_share
        )
        for upstream, condition in accepted
    ]
    sums = list(itertools.accumulate(weights))
    index = bisect.bisect(sums, snapshot.draw * sums[-1])
    return accepted[min(index, len(accepted) - 1)][0]


def _accepted(
    snapshot: snapshots.Snapshot, candidates: Sequence[snapshots.Candidate]
) -> list[snapshots.Candidate]:
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


def _slots_at(snapshot: snapshots.Snapshot, upstream: fleet.Upstream) -> float:
    """Return the requests of all entries that an upstream may run."""
    slowdown = snapshot.slowdowns.get(upstream.id, 1.0)
    if slowdown == 1.0 or snapshot.ignores_slow:
        return snapshot.limit
    slots = slow_ranks.may_run(snapshot.engine, slowdown)
    return min(snapshot.limit, slots)


def _exclusion_function(
    snapshot: snapshots.Snapshot,
) -> Callable[[fleet.Upstream, fleet.Condition], snapshots.Exclusion | None]:
    """Return the function of what excludes an upstream."""
    limit, now, tried = snapshot.limit, snapshot.now, snapshot.excluded
    room = _token_room(snapshot)
    weight = 0 if snapshot.ignores_others else 1
    slowdowns = snapshot.slowdowns

    def exclusion(
        upstream: fleet.Upstream, condition: fleet.Condition
    ) -> snapshots.Exclusion | None:
        count = condition.in_flight + weight * condition.others_in_flight
        if count >= limit:
            return snapshots.Exclusion.FULL
        if upstream.id in tried:
            return snapshots.Exclusion.TRIED
        if not condition.accepts(now):
            if condition.is_available(now):
                return snapshots.Exclusion.NEEDS_PERMIT
            return snapshots.Exclusion.PAUSED
        # An upstream without requests is never excluded: a wrong estimate
        # must not keep a request from being tried anywhere.
        held = condition.tokens + weight * condition.others_tokens
        if held > room and held > 0:
            return snapshots.Exclusion.NO_MEMORY
        # Last, so that nothing else excludes an upstream that is only slow.
        if slowdowns and count >= _slots_at(snapshot, upstream):
            return snapshots.Exclusion.SLOW
        return None

    return exclusion


def _token_room(snapshot: snapshots.Snapshot) -> float:
    """Return the tokens that others may hold beside the request."""
    engine = snapshot.engine
    if engine is None or not engine.capacity_tokens or snapshot.cost is None:
        return math.inf
    return engine.capacity_tokens - snapshot.cost.tokens.high
