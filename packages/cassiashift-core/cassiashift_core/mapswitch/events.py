"""Events and effects of the two state machines, coordinator and rank."""

import attrs

from cassiashift_core import errors
from cassiashift_core.mapswitch import decisions
from cassiashift_core.mapswitch import messages


@attrs.frozen
class Tick:
    """Periodic timer of both machines, a few times a second."""


@attrs.frozen
class Received:
    """A message has arrived; used by both machines."""

    message: messages.Order | messages.Report


@attrs.frozen
class LeadershipGained:
    """The host became leader and has applied the first entry of its term."""

    term: int


@attrs.frozen
class LeadershipLost:
    """The host is no longer leader."""


@attrs.frozen
class DecisionCommitted:
    """The log has committed an entry at an index; raised on each host."""

    decision: decisions.Decision
    index: int


@attrs.frozen
class BarrierPassed:
    """Leadership was confirmed after the ``ReadBarrier`` with the ticket."""

    ticket: int


@attrs.frozen
class SwitchRequested:
    """The planner or an operator requests a switch to another map."""

    ranks: tuple[str, ...]
    body: bytes
    reason: str = ''


@attrs.frozen
class RollbackRequested:
    """An operator requests a switch back to the previous map."""

    reason: str = ''


@attrs.frozen
class RankGone:
    """An incarnation of a rank has ended or can take part in no step.

    A rank that only stalls must not be reported as gone. The event is
    ignored if another incarnation is known.
    """

    rank: str
    incarnation: str


@attrs.frozen
class WeightsLoaded:
    """The engine of a rank has loaded the weights of a version."""

    version: int


@attrs.frozen
class WeightsFailed:
    """The engine of a rank failed to load the weights of a version."""

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
    """Answer a request with an error: no switch was opened."""

    error: errors.CassiashiftError


@attrs.frozen
class SwitchFinished:
    """A switch has been committed or aborted.

    Attributes:
        reason: why it was aborted; empty after a commit.
        duration_s: seconds from the request, or from the change of the
            coordinator, to the outcome.
    """

    version: int
    committed: bool
    reason: str
    duration_s: float


@attrs.frozen
class LoadWeights:
    """Order the engine to load the weights of a map."""

    version: int
    body: bytes


@attrs.frozen
class DropWeights:
    """Order the engine to drop weights that only an aborted map needed."""

    version: int


@attrs.frozen
class ActivateMap:
    """Order the engine to use a version from the given step on."""

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
