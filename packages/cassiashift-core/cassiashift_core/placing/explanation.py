"""Explains a decision to an operator."""

from collections.abc import Mapping
import enum
import math

import attrs

from cassiashift_core.placing import decision as decisions

UNIT_TIME = 'seconds'
UNIT_COUNT = 'requests in flight'


class Outcome(enum.Enum):
    """What would be done with a request."""

    SENT = 'sent'
    QUEUED = 'queued'
    REFUSED = 'refused'


class Role(enum.Enum):
    """What an upstream is to a decision."""

    CHOSEN = 'chosen'
    RUNNER_UP = 'runner_up'
    EXCLUDED = 'excluded'


@attrs.frozen
class Admittance:
    """What admission would do with a request.

    Attributes:
        reason: why it would be refused.
        wait_s: expected wait in the queue; None if not queued, or if no end
            of the wait is in sight.
        retry_after_s: when its caller would be informed to return.
    """

    outcome: Outcome
    reason: str = ''
    wait_s: float | None = None
    retry_after_s: float | None = None


@attrs.frozen
class Row:
    """One upstream of a decision.

    Attributes:
        exclusion: why it could not be chosen; empty if it could.
        cost: the sum of ``terms``.
        terms: the parts of the cost by name, as in ``Terms``.
        in_flight: requests of this entry; ``others_in_flight`` of the rest.
        work_age_s: age of what other entries reported of their work there;
            None if they reported nothing.
        announced_age_s: age of the newest announcement of the upstream.
        slowdown: how much slower it is than others of its group; 1 if it is
            not, or if nothing was reported.
        slowdown_age_s: age of the newest report of that known here; None if
            it is not slow.
    """

    upstream: str
    data_centre: str
    role: Role
    exclusion: str
    cost: float
    terms: dict[str, float]
    in_flight: int
    others_in_flight: int
    work_age_s: float | None
    announced_age_s: float | None
    slowdown: float = 1.0
    slowdown_age_s: float | None = None


@attrs.frozen
class Explanation:
    """A decision in a form that can be printed.

    Attributes:
        chosen: the upstream, if the request were started now; None if none
            could take it.
        unit: unit of the costs.
        limit: requests in flight of all entries that an upstream may have.
        is_sampled: only some of the upstreams were weighed, so that the
            chosen one may not be the cheapest.
        rows: the chosen one, the runners-up by cost, then the excluded.
    """

    admittance: Admittance
    chosen: str | None
    unit: str
    limit: float
    is_sampled: bool
    prompt_tokens: float
    output_tokens: float
    expected_s: float
    rows: tuple[Row, ...]


def explain(
    decision: decisions.Decision,
    admittance: Admittance,
    announced_ages_s: Mapping[str, float],
) -> Explanation:
    """Return the explanation of a decision.

    Args:
        announced_ages_s: ages of the announcements by upstream.
    """
    snapshot = decision.snapshot
    chosen = None if decision.chosen is None else decision.chosen.id
    conditions = {
        upstream.id: condition for upstream, condition in snapshot.candidates
    }
    rows = []
    for weighed in decision.weighed:
        id_ = weighed.upstream.id
        slowdown = conditions[id_].slowdown
        factor = slowdown.factor_at(snapshot.now)
        rows.append(
            Row(
                upstream=id_,
                data_centre=weighed.upstream.data_centre,
                role=_role(weighed, chosen),
                exclusion=weighed.exclusion.value if weighed.exclusion else '',
                cost=weighed.terms.total,
                terms=attrs.asdict(weighed.terms),
                in_flight=conditions[id_].in_flight,
                others_in_flight=conditions[id_].others_in_flight,
                work_age_s=_finite(weighed.age_s),
                announced_age_s=announced_ages_s.get(id_),
                slowdown=factor,
                slowdown_age_s=(
                    slowdown.age_s(snapshot.now) if factor > 1 else None
                ),
            )
        )
    # The chosen one is drawn among about equal ones, so it need not be first.
    rows.sort(key=lambda row: row.role is not Role.CHOSEN)
    cost = snapshot.cost
    return Explanation(
        admittance=admittance,
        chosen=chosen,
        unit=UNIT_TIME if snapshot.has_timings else UNIT_COUNT,
        limit=snapshot.limit,
        is_sampled=len(snapshot.candidates) > decisions.MAX_WEIGHED,
        prompt_tokens=0.0 if cost is None else cost.prompt_tokens.mean,
        output_tokens=0.0 if cost is None else cost.output_tokens.mean,
        expected_s=decision.expected_s,
        rows=tuple(rows),
    )


def _role(weighed: decisions.Weighed, chosen: str | None) -> Role:
    if weighed.exclusion is not None:
        return Role.EXCLUDED
    return Role.CHOSEN if weighed.upstream.id == chosen else Role.RUNNER_UP


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None
