"""Estimates how much the callers of a group gain from shorter passes.

Two conditions justify a switch. If most slots are in use, requests wait for
the end of passes. And streams may be late although slots are free: a pass
makes one event of every stream, so a pass longer than the pause that callers
accept makes all streams of the group late at once.
"""

from cassiashift_core.rankmaps import model

# Passes that also read prompts last up to twice as long as decode-only ones.
READING_FACTOR = 2.0
# Above this share of the longest pause, some passes come close to it.
TOLERABLE_SHARE = 0.5


def pass_s(shape: model.GroupShape, utilisation: float, skew: float) -> float:
    """Return the duration of a decode-only pass, in seconds.

    Args:
        utilisation: share of the group's slots in use, 0 to 1.
        skew: load of the hottest rank against the mean, times its slowdown.
    """
    step_s = (
        shape.step_s + utilisation * shape.slots * shape.step_per_request_s
    )
    share = shape.expert_share
    return shape.stride * step_s * (1 - share + share * skew)


def pressure(
    shape: model.GroupShape, utilisation: float, skew: float
) -> float:
    """Return the benefit of shorter passes, from 0 (idle) to 1.

    Args:
        utilisation: share of the group's slots in use, 0 to 1.
        skew: load of the hottest rank against the mean, times its slowdown,
            on the map in use.
    """
    if not utilisation or not shape.longest_pause_s:
        return utilisation
    longest_s = READING_FACTOR * pass_s(shape, utilisation, skew)
    reached = longest_s / shape.longest_pause_s
    late = (reached - TOLERABLE_SHARE) / (1 - TOLERABLE_SHARE)
    return min(1.0, max(utilisation, late))
