"""Builds the coordinator's orders from the state of the log.

Only answers carry the bodies of committed maps.
"""

from cassiashift_core.mapswitch import decisions
from cassiashift_core.mapswitch import messages


def make_stage(
    group_decisions: decisions.GroupDecisions, fence: messages.Fence
) -> messages.Stage:
    """Return the order to load the weights of the open switch."""
    return messages.Stage(
        group=group_decisions.opened.group,
        version=group_decisions.opened.version,
        body=group_decisions.opened.body,
        standing=group_decisions.standing.stripped(),
        fence=fence,
    )


def make_arm(
    group_decisions: decisions.GroupDecisions,
    fence: messages.Fence,
    rank: str,
    step: int,
    arm_round: int,
) -> messages.Arm:
    """Return the order for one rank to hold a step."""
    return messages.Arm(
        group=group_decisions.opened.group,
        version=group_decisions.opened.version,
        step=step,
        round=arm_round,
        member=rank in group_decisions.opened.ranks,
        standing=group_decisions.standing.stripped(),
        fence=fence,
    )


def make_decided(
    group: str,
    group_decisions: decisions.GroupDecisions,
    fence: messages.Fence,
) -> messages.Decided:
    """Return the message with the outcome of the last switch."""
    return messages.Decided(group, group_decisions.standing.stripped(), fence)


def make_answer(
    ask: messages.Ask,
    group_decisions: decisions.GroupDecisions,
    fence: messages.Fence,
) -> messages.Answer:
    """Return the reply to an ``Ask``, with the bodies of the maps."""
    return messages.Answer(
        group=ask.group,
        nonce=ask.nonce,
        standing=group_decisions.standing,
        fence=fence,
    )
