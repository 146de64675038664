"""Generates the seeded calls of the overload experiment."""

import math
import random

from cassiashift_core.experiment import overload_model

DATA_CENTRES = 3
DRIFT_PERIOD_S = 16.0
MEAN_EVENTS = 22
PROMPT_MEDIAN = 1200
LONG_TAIL_EXPONENT = 1.1
LONGEST_PROMPT = 32_000


def generate(
    cfg: overload_model.OverloadConfig,
    shape: overload_model.OverloadShape,
    seed: int,
) -> list[overload_model.OverloadCall]:
    """Return the calls of a load in the order of their arrival.

    Arrivals are drawn at the peak rate and thinned to the current one.
    """
    rng = random.Random(f'{seed} {shape.name} overload')
    calls = []
    for priority, rate in enumerate(cfg.rates):
        peak = rate * max(1.0, shape.factors[priority]) * (1 + shape.drift)
        now = rng.expovariate(peak)
        while now < cfg.duration_s:
            entry = rng.randrange(cfg.entries)
            factor = _rate_factor(cfg, shape, priority, entry, now)
            if rng.random() * peak < rate * factor:
                calls.append(_draw_call(cfg, shape, priority, entry, now, rng))
            now += rng.expovariate(peak)
    calls.sort(key=lambda call: call.arrives_at)
    for number, call in enumerate(calls):
        call.id = f'c{number}'
    return calls


def _rate_factor(
    cfg: overload_model.OverloadConfig,
    shape: overload_model.OverloadShape,
    priority: int,
    entry: int,
    now: float,
) -> float:
    phase = (entry % DATA_CENTRES) / DATA_CENTRES + now / DRIFT_PERIOD_S
    factor = 1 + shape.drift * math.sin(2 * math.pi * phase)
    if cfg.disturbed_from_s <= now < cfg.disturbed_until_s:
        factor *= shape.factors[priority]
    return factor


def _draw_call(
    cfg: overload_model.OverloadConfig,
    shape: overload_model.OverloadShape,
    priority: int,
    entry: int,
    now: float,
    rng: random.Random,
) -> overload_model.OverloadCall:
    if shape.is_long_tailed:
        drawn = PROMPT_MEDIAN / 2 * rng.paretovariate(LONG_TAIL_EXPONENT)
    else:
        drawn = rng.lognormvariate(math.log(PROMPT_MEDIAN), 0.5)
    events = int(rng.lognormvariate(math.log(MEAN_EVENTS), 0.5))
    return overload_model.OverloadCall(
        id='',
        arrives_at=now,
        workspace=f'w{rng.randrange(cfg.workspaces)}',
        prompt_tokens=min(LONGEST_PROMPT, int(drawn)),
        blocks=(),
        expected_tokens=MEAN_EVENTS,
        output_tokens=max(4, min(100, events)),
        priority=priority,
        entry=entry,
    )
