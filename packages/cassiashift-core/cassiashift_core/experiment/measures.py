"""Measures over the records of a run.

Fairness is measured against weighted max-min shares of what was served:
Jain, Chiu and Hawe, "A quantitative measure of fairness", 1984.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from cassiashift_core.experiment import arrivals
from cassiashift_core.experiment import engine as engines
from cassiashift_core.experiment import entry as entries
from cassiashift_core.experiment import model

GAP_UNITS_PER_S = 10_000


def measure(
    cfg: model.ExperimentConfig,
    scenario: str,
    policy: str,
    owners: Iterable[entries.Entry],
    found: Iterable[engines.Engine],
) -> model.Cell:
    """Return the cell of a finished run."""
    records = [
        record
        for owner in owners
        for record in owner.records
        if record.call.arrives_at >= cfg.warm_up_s
    ]
    served = [item for item in records if item.finished_at is not None]
    waits = [_first_token_s(item) for item in served]
    others = [
        _first_token_s(item)
        for item in served
        if item.call.workspace != arrivals.FLOODING
    ]
    gaps: collections.Counter[int] = collections.Counter()
    for engine in found:
        gaps.update(engine.gaps)
    shares = _parts_of_fair_shares(records)
    span_s = cfg.duration_s - cfg.warm_up_s
    good = sum(
        item.call.output_tokens for item in served if _is_good(cfg, item)
    )
    in_time = sum(wait <= cfg.first_token_target_s for wait in waits)
    refused = sum(item.refused for item in records)
    return model.Cell(
        scenario=scenario,
        policy=policy,
        first_token_ms=_tail(waits),
        others_first_token_ms=_tail(others),
        token_gap_ms=_percentiles(gaps),
        goodput_tokens_per_s=round(good / span_s, 1),
        within_first_token=_ratio(in_time, len(served)),
        within_token_gap=_ratio(_within(cfg, gaps), gaps.total()),
        jain=_jain(shares),
        worst_share=round(min(shares), 3),
        prefix_hits=_prefix_hits(found),
        retries=sum(max(0, item.plan.attempts - 1) for item in records),
        offered=len(records),
        served=len(served),
        refused=refused,
        broken=len(records) - len(served) - refused,
    )


def max_min_shares(
    demands: Mapping[str, float], total: float
) -> dict[str, float]:
    """Return the max-min fair shares of a total."""
    shares = {}
    ordered = sorted(demands, key=lambda name: demands[name])
    for index, name in enumerate(ordered):
        even = total / (len(ordered) - index)
        shares[name] = min(demands[name], even)
        total -= shares[name]
    return shares


def _first_token_s(record: entries.CallRecord) -> float:
    assert record.first_token_at is not None
    return record.first_token_at - record.call.arrives_at


def _is_good(cfg: model.ExperimentConfig, record: entries.CallRecord) -> bool:
    if _first_token_s(record) > cfg.first_token_target_s:
        return False
    steps = max(1, record.call.output_tokens - 1)
    spent = (record.finished_at or 0.0) - (record.first_token_at or 0.0)
    return spent / steps <= cfg.token_gap_target_s


def _within(
    cfg: model.ExperimentConfig, gaps: collections.Counter[int]
) -> int:
    bound = cfg.token_gap_target_s * GAP_UNITS_PER_S
    return sum(count for gap, count in gaps.items() if gap <= bound)


def _tail(times_s: list[float]) -> model.Percentiles:
    return _percentiles(
        collections.Counter(round(time * GAP_UNITS_PER_S) for time in times_s)
    )


def _percentiles(counts: collections.Counter[int]) -> model.Percentiles:
    """Return percentiles of counted times in units of 0.1 ms."""
    values = [_percentile(counts, part) / 10 for part in (0.5, 0.95, 0.99)]
    return model.Percentiles(*values)


def _percentile(counts: collections.Counter[int], part: float) -> int:
    wanted = part * counts.total()
    seen = 0
    value = 0
    for value in sorted(counts):
        seen += counts[value]
        if seen >= wanted:
            break
    return value


def _parts_of_fair_shares(records: list[entries.CallRecord]) -> list[float]:
    """Return what each workspace got of its fair share, at most 1."""
    demands: dict[str, float] = {}
    served: dict[str, float] = {}
    for record in records:
        call = record.call
        tokens = call.prompt_tokens + call.output_tokens
        name = call.workspace
        demands[name] = demands.get(name, 0) + tokens
        if record.finished_at is not None:
            served[name] = served.get(name, 0) + tokens
    shares = max_min_shares(demands, sum(served.values()))
    return [
        min(1.0, served.get(name, 0) / share) if share else 0.0
        for name, share in shares.items()
    ]


def _jain(shares: list[float]) -> float:
    squares = sum(share * share for share in shares)
    if not squares:
        return 0.0
    return round(sum(shares) ** 2 / (len(shares) * squares), 4)


def _prefix_hits(found: Iterable[engines.Engine]) -> float:
    hits = sum(engine.hit_tokens for engine in found)
    return _ratio(hits, sum(engine.prompt_tokens for engine in found))


def _ratio(part: float, total: float) -> float:
    return round(part / total, 4) if total else 0.0
