"""Computes the measures of a run from its call records.

Fairness is measured against max-min fair shares of the tokens served:
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
    all_entries: Iterable[entries.Entry],
    all_engines: Iterable[engines.Engine],
) -> model.Cell:
    """Return the measures of a finished run, without the warm-up."""
    records = [
        record
        for entry in all_entries
        for record in entry.records
        if record.call.arrives_at >= cfg.warm_up_s
    ]
    served = [item for item in records if item.finished_at is not None]
    first_token_s = [_first_token_s(item) for item in served]
    others_first_token_s = [
        _first_token_s(item)
        for item in served
        if item.call.workspace != arrivals.FLOODING_WORKSPACE
    ]
    token_gaps: collections.Counter[int] = collections.Counter()
    for engine in all_engines:
        token_gaps.update(engine.token_gaps)
    shares = _fair_share_fractions(records)
    measured_s = cfg.duration_s - cfg.warm_up_s
    good_tokens = sum(
        item.call.output_tokens for item in served if _meets_targets(cfg, item)
    )
    in_time = sum(
        time_s <= cfg.first_token_target_s for time_s in first_token_s
    )
    refused = sum(item.refused for item in records)
    return model.Cell(
        scenario=scenario,
        policy=policy,
        first_token_ms=_time_percentiles(first_token_s),
        others_first_token_ms=_time_percentiles(others_first_token_s),
        token_gap_ms=_percentiles(token_gaps),
        goodput_tokens_per_s=round(good_tokens / measured_s, 1),
        within_first_token=_ratio(in_time, len(served)),
        within_token_gap=_ratio(
            _gaps_in_target(cfg, token_gaps), token_gaps.total()
        ),
        jain=_jain(shares),
        worst_share=round(min(shares), 3),
        prefix_hits=_prefix_hits(all_engines),
        retries=sum(max(0, item.plan.attempts - 1) for item in records),
        offered=len(records),
        served=len(served),
        refused=refused,
        broken=len(records) - len(served) - refused,
    )


def max_min_shares(
    demands: Mapping[str, float], total: float
) -> dict[str, float]:
    """Return the max-min fair share of a total for each demand."""
    shares = {}
    ordered = sorted(demands, key=lambda name: demands[name])
    for index, name in enumerate(ordered):
        equal_share = total / (len(ordered) - index)
        shares[name] = min(demands[name], equal_share)
        total -= shares[name]
    return shares


def _first_token_s(record: entries.CallRecord) -> float:
    assert record.first_token_at is not None
    return record.first_token_at - record.call.arrives_at


def _meets_targets(
    cfg: model.ExperimentConfig, record: entries.CallRecord
) -> bool:
    if _first_token_s(record) > cfg.first_token_target_s:
        return False
    steps = max(1, record.call.output_tokens - 1)
    decode_s = (record.finished_at or 0.0) - (record.first_token_at or 0.0)
    return decode_s / steps <= cfg.token_gap_target_s


def _gaps_in_target(
    cfg: model.ExperimentConfig, token_gaps: collections.Counter[int]
) -> int:
    bound = cfg.token_gap_target_s * GAP_UNITS_PER_S
    return sum(count for gap, count in token_gaps.items() if gap <= bound)


def _time_percentiles(times_s: list[float]) -> model.Percentiles:
    return _percentiles(
        collections.Counter(round(time * GAP_UNITS_PER_S) for time in times_s)
    )


def _percentiles(counts: collections.Counter[int]) -> model.Percentiles:
    """Return the percentiles, in ms, of times counted in units of 0.1 ms."""
    values = [
        _percentile(counts, fraction) / 10 for fraction in (0.5, 0.95, 0.99)
    ]
    return model.Percentiles(*values)


def _percentile(counts: collections.Counter[int], fraction: float) -> int:
    threshold = fraction * counts.total()
    counted = 0
    value = 0
    for value in sorted(counts):
        counted += counts[value]
        if counted >= threshold:
            break
    return value


def _fair_share_fractions(records: list[entries.CallRecord]) -> list[float]:
    """Return the part of its fair share that each workspace got, up to 1."""
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


def _prefix_hits(all_engines: Iterable[engines.Engine]) -> float:
    hits = sum(engine.hit_tokens for engine in all_engines)
    return _ratio(hits, sum(engine.prompt_tokens for engine in all_engines))


def _ratio(part: float, total: float) -> float:
    return round(part / total, 4) if total else 0.0
