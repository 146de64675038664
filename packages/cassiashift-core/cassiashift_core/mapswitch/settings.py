"""Settings of the two state machines, coordinator and rank."""

import attrs

ARM_TIMEOUT_S = 5.0
ASK_INTERVAL_S = 0.2
LEAD_STEPS = 8
MAX_ROUNDS = 5
RESEND_INTERVAL_S = 0.25
STAGE_TIMEOUT_S = 300.0


@attrs.frozen
class CoordinatorConfig:
    """Settings of a group's coordinator; times are in seconds.

    Attributes:
        lead_steps: steps between the newest report and the first step of
            the new map; doubled in each further round.
        stage_timeout_s: time in which all ranks have to load the weights.
        arm_timeout_s: time in which all ranks have to arm, over all rounds.
        resend_interval_s: time after which unanswered orders are repeated.
        max_rounds: arm rounds before the switch is aborted.
    """

    group: str
    lead_steps: int = LEAD_STEPS
    stage_timeout_s: float = STAGE_TIMEOUT_S
    arm_timeout_s: float = ARM_TIMEOUT_S
    resend_interval_s: float = RESEND_INTERVAL_S
    max_rounds: int = MAX_ROUNDS


@attrs.frozen
class RankConfig:
    """Settings of a rank's machine; times are in seconds.

    Attributes:
        incarnation: unique for each start of the agent.
        ask_interval_s: time after which an unanswered ``Ask`` is repeated.
    """

    group: str
    rank: str
    incarnation: str
    ask_interval_s: float = ASK_INTERVAL_S
