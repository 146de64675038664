"""Cost of an upstream for a request, as a sum of terms.

Without timings of an engine, an upstream costs its requests in flight. With
them, the cost is the expected time of the request there, and the time that it
adds for the requests already there.
"""

from collections.abc import Callable
from collections.abc import Sequence

import attrs

from cassiashift_core import fleet
from cassiashift_core.placing import snapshot as snapshots

# Cost of a failure share of 1, in requests in flight.
FAILURE_PENALTY = 8.0
# Cost of an upstream in another data centre, in requests in flight.
DISTANCE_PENALTY = 0.05

# The terms of one upstream, in the order of the fields of ``Terms``.
TermsFunction = Callable[[fleet.Upstream, fleet.Condition], tuple[float, ...]]


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


def terms_function(snapshot: snapshots.Snapshot) -> TermsFunction:
    """Return the function of the terms of an upstream's cost."""
    has_timings = snapshot.has_timings
    make = _timed_terms_function if has_timings else _plain_terms_function
    terms_of = make(snapshot)
    if not snapshot.slowdowns:
        return terms_of
    unit = unit_s(snapshot) if has_timings else 1.0
    return _slow_terms_function(snapshot, terms_of, unit)


def _plain_terms_function(snapshot: snapshots.Snapshot) -> TermsFunction:
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
    snapshot: snapshots.Snapshot, terms_of: TermsFunction, unit: float
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
    snapshot: snapshots.Snapshot,
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
    def from_snapshot(cls, snapshot: snapshots.Snapshot) -> '_Times':
        """Return the times of a request at an engine with timings."""
        cost, engine = snapshot.cost, snapshot.engine
        step_s = engine.step_s + engine.step_per_request_s
        per_token_s = engine.context_per_thousand_s / 1000
        # In a lock-step group a prompt delays all requests of the group, at
        # whichever upstream it is processed.
        is_lock_step = engine.sets > 0
        return cls(
            own_s=cost.time_s.mean,
            unit_s=unit_s(snapshot),
            step_share=engine.step_per_request_s / step_s,
            context_s=per_token_s * cost.output_tokens.mean,
            pause_s=0.0 if is_lock_step else cost.prompt_s,
        )


def _timed_terms_function(snapshot: snapshots.Snapshot) -> TermsFunction:
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


def totals(
    snapshot: snapshots.Snapshot, candidates: Sequence[snapshots.Candidate]
) -> list[float]:
    """Return the sum of the terms of each candidate.

    These loops call nothing, which takes half of the time that the functions
    of the terms take for all candidates.
    """
    weight = 0 if snapshot.ignores_others else 1
    if snapshot.has_timings:
        totals, unit = _timed_totals(snapshot, candidates), unit_s(snapshot)
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
    snapshot: snapshots.Snapshot, candidates: Sequence[snapshots.Candidate]
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


def unit_s(snapshot: snapshots.Snapshot) -> float:
    """Return the delay that one more request in flight causes a request."""
    return (
        snapshot.engine.step_per_request_s * snapshot.cost.output_tokens.mean
    )


def _may_be_cold(snapshot: snapshots.Snapshot) -> bool:
    """Return whether the service states a rate for cold upstreams."""
    return any(
        condition.coldness.terms.per_s > 0
        for _, condition in snapshot.candidates[:1]
    )
