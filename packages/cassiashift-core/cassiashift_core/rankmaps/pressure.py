"""How much shorter passes are worth to the callers of a group.

Two loads make them worth a switch. Where most slots are taken, requests wait
for the end of passes. And streams grow late while slots are free: a pass makes
one event of every stream, so one that lasts longer than the pause that callers
bear makes all streams of the group late at once.
"""

from cassiashift_core.rankmaps import model

# Passes that read prompts last up to twice as long as those that only write.
READING_FACTOR = 2.0
# From this share of the longest pause on, some passes come close to it.
TOLERABLE_SHARE = 0.5


def pause_s(shape: model.GroupShape, use: float, skew: float) -> float:
    """Return the length of a pass that only writes, in seconds.

    Args:
        use: share of the group's slots that are taken, 0 to 1.
        skew: load of the hottest rank against the mean.
    """
    step_s = shape.step_s + use * shape.slots * shape.step_per_request_s
    share = shape.expert_share
    return shape.stride * step_s * (1 - share + share * skew)


def pressure(shape: model.GroupShape, use: float, skew: float) -> float:
    """Return how much shorter passes are worth, from 0 (idle) to 1.

    Args:
        use: share of the group's slots that are taken, 0 to 1.
        skew: load of the hottest rank against the mean, on the map in use.
    """
    if not use or not shape.longest_pause_s:
        return use
    longest_s = READING_FACTOR * pause_s(shape, use, skew)
    reached = longest_s / shape.longest_pause_s
    late = (reached - TOLERABLE_SHARE) / (1 - TOLERABLE_SHARE)
    return min(1.0, max(use, late))
