"""Durations at a model engine by its stated timings."""

import math

from cassiashift_core import routes

TOKENS_PER_CONTEXT_UNIT = 1000


def has_timings(engine: routes.Engine | None) -> bool:
    """Return whether an engine states what its requests cost."""
    return engine is not None and (
        engine.step_s > 0 and engine.step_per_request_s > 0
    )


def prompt_s(engine: routes.Engine, tokens: float) -> float:
    """Return the time in which a prompt is processed by itself."""
    seconds = engine.pairs_per_million_s * tokens * (tokens - 1) / 2e6
    if engine.read_tokens_per_s > 0:
        seconds += tokens / engine.read_tokens_per_s
    if engine.chunk_tokens > 0:
        # Every chunk takes part in a step.
        seconds += math.ceil(tokens / engine.chunk_tokens) * engine.step_s
    return seconds


def step_s(engine: routes.Engine, in_flight: float, tokens: float) -> float:
    """Return the duration of a token step.

    Args:
        in_flight: requests that generate output.
        tokens: their tokens of context together.
    """
    context = tokens / TOKENS_PER_CONTEXT_UNIT
    return (
        engine.step_s
        + in_flight * engine.step_per_request_s
        + context * engine.context_per_thousand_s
    )


def remaining_s(
    engine: routes.Engine,
    prompt_left_s: float,
    output_left: float,
    in_flight: float,
    tokens: float,
) -> float:
    """Return the time until a request is done, at an unchanged load."""
    return prompt_left_s + output_left * step_s(engine, in_flight, tokens)
