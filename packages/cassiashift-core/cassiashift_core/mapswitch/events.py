"""Events and effects of the two machines of a map switch."""

import attrs

from cassiashift_core import errors
from cassiashift_core.mapswitch import decisions
from cassiashift_core.mapswitch import messages


@attrs.frozen
class Tick:
    """Time has passed; sent to both machines a few times a second."""


@attrs.frozen
class Received:
    """A message has arrived, for either machine."""

    message: messages.Order | messages.Report


@attrs.frozen
class LeadershipGained:
    """The host leads, and has applied the first entry of its term."""

    term: int


@attrs.frozen
class LeadershipLost:
    """The host does not lead any more."""


@attrs.frozen
class DecisionCommitted:
    """The log has committed an entry at an index; sent on each host."""

    decision: decisions.Decision
    index: int


@attrs.frozen
class BarrierPassed:
    """Leadership was confirmed after the barrier was asked for."""

    ticket: int


@attrs.frozen
class SwitchRequested:
    """Somebody wants the group to run on another map."""

    ranks: tuple[str, ...]
    body: bytes
    reason: str = ''


@attrs.frozen
class RollbackRequested:
    """An operator wants the former map back."""

    reason: str = ''


@attrs.frozen
class RankGone:
    """One incarnation of a rank has ended, or cannot take part in a step.

    A rank that only stalls must not be declared gone. The event is ignored
    when a later incarnation is known.
    """

    rank: str
    incarnation: str


@attrs.frozen
class WeightsLoaded:
    """The engine of a rank holds the weights of a version."""

    version: int


@attrs.frozen
class WeightsFailed:
    """The engine of a rank cannot load the weights of a version."""

    version: int
    reason: str


@attrs.frozen
class SendToRank:
    """Send an order to the agent of a rank."""

    rank: str
    message: messages.Order


@attrs.frozen
class SendToCoordinator:
    """Send a report to the coordinator of the group."""

    message: messages.Report


@attrs.frozen
class ProposeDecision:
    """Propose an entry to the replicated log."""

    decision: decisions.Decision


@attrs.frozen
class ReadBarrier:
    """Confirm leadership, then send ``BarrierPassed`` with the ticket."""

    ticket: int


@attrs.frozen
class SwitchRefused:
    """Tell the requester that no switch was begun."""

    error: errors.CassiashiftError


@attrs.frozen
class SwitchFinished:
    """Report the outcome of a switch.

    Attributes:
        reason: why it was aborted; empty after a commit.
        duration_s: time from the request to the outcome.
    """

    version: int
    committed: bool
    reason: str
    duration_s: float


@attrs.frozen
class LoadWeights:
    """Let the engine load the weights that a map asks for."""

    version: int
    body: bytes


@attrs.frozen
class DropWeights:
    """Let the engine drop weights that only an aborted map asked for."""

    version: int


@attrs.frozen
class ActivateMap:
    """Let the engine run on a version from a step on."""

    version: int
    step: int


Event = (
    Tick
    | Received
    | LeadershipGained
    | LeadershipLost
    | DecisionCommitted
    | BarrierPassed
    | SwitchRequested
    | RollbackRequested
    | RankGone
    | WeightsLoaded
    | WeightsFailed
)
Effect = (
    SendToRank
    | SendToCoordinator
    | ProposeDecision
    | ReadBarrier
    | SwitchRefused
    | SwitchFinished
    | LoadWeights
    | DropWeights
    | ActivateMap
)
