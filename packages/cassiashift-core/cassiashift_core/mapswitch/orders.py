"""Builds the coordinator's orders from the state of the log.

Only answers carry the bodies of committed maps.
"""

from cassiashift_core.mapswitch import decisions
from cassiashift_core.mapswitch import messages


def make_stage(
    log: decisions.GroupDecisions, fence: messages.Fence
) -> messages.Stage:
    """Return the order to load the weights of the open switch."""
    return messages.Stage(
        group=log.opened.group,
        version=log.opened.version,
        body=log.opened.body,
        standing=log.standing.stripped(),
        fence=fence,
    )


def make_arm(
    log: decisions.GroupDecisions,
    fence: messages.Fence,
    rank: str,
    step: int,
    arm_round: int,
) -> messages.Arm:
    """Return the order for one rank to hold a step."""
    return messages.Arm(
        group=log.opened.group,
        version=log.opened.version,
        step=step,
        round=arm_round,
        member=rank in log.opened.ranks,
        standing=log.standing.stripped(),
        fence=fence,
    )


def make_decided(
    group: str, log: decisions.GroupDecisions, fence: messages.Fence
) -> messages.Decided:
    """Return the message with the outcome of the last switch."""
    return messages.Decided(group, log.standing.stripped(), fence)


def make_answer(
    ask: messages.Ask, log: decisions.GroupDecisions, fence: messages.Fence
) -> messages.Answer:
    """Return the reply to an ``Ask``, with the bodies of the maps."""
    return messages.Answer(
        group=ask.group,
        nonce=ask.nonce,
        standing=log.standing,
        fence=fence,
    )
