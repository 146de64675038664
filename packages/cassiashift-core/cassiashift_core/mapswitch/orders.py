"""Builds the orders that a coordinator sends from what the log holds."""

from cassiashift_core.mapswitch import decisions
from cassiashift_core.mapswitch import messages


def stage(
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


def arm(
    log: decisions.GroupDecisions,
    fence: messages.Fence,
    rank: str,
    step: int,
    arm_round: int,
) -> messages.Arm:
    """Return the order to hold a step for the open switch."""
    return messages.Arm(
        group=log.opened.group,
        version=log.opened.version,
        step=step,
        round=arm_round,
        member=rank in log.opened.ranks,
        standing=log.standing.stripped(),
        fence=fence,
    )


def decided(
    group: str, log: decisions.GroupDecisions, fence: messages.Fence
) -> messages.Decided:
    """Return the news of the last outcome."""
    return messages.Decided(group, log.standing.stripped(), fence)


def answer(
    ask: messages.Ask, log: decisions.GroupDecisions, fence: messages.Fence
) -> messages.Answer:
    """Return the answer to a rank's question, with the maps' bodies."""
    return messages.Answer(
        group=ask.group,
        nonce=ask.nonce,
        standing=log.standing,
        fence=fence,
    )
