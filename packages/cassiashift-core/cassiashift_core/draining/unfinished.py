"""Requests that are in progress when their process ends.

The report of them is bounded, so it is decided here which ones it lists.
"""

import collections
from collections.abc import Iterable
import enum
import heapq

import attrs

from cassiashift_core import errors
from cassiashift_core import verdicts


class Phase(enum.Enum):
    """How far a request has come."""

    READING = 'reading'
    WAITING = 'waiting'
    SENT = 'sent'
    ANSWERING = 'answering'


@attrs.frozen
class Unfinished:
    """A request that has no complete answer yet.

    Attributes:
        id: its id, as the caller sent it.
        phase: reading its body, waiting for an upstream, sent to one, or the
            caller has been sent a part of the answer.
        arrived_at: monotonic time at which its head was read.
        ends_at: monotonic time at which it ends in any case; None if nothing
            ends it.
        route: name of its route; empty while unknown.
        kind: kind of its route; empty while unknown.
        upstream: id of the upstream that it was sent to last; empty if none.
        sends: number of sends, with one in progress.
        events: number of events, or chunks of its body, in the answer so far.
    """

    id: str
    phase: Phase
    arrived_at: float
    ends_at: float | None = None
    route: str = ''
    kind: str = ''
    upstream: str = ''
    sends: int = 0
    events: int = 0


@attrs.frozen
class EndReport:
    """What a process reports of its requests in progress as it ends.

    Attributes:
        listed: the requests to report one by one, in this order.
        left_out: number of further requests.
        phases: number of requests by phase, all of them.
    """

    listed: tuple[Unfinished, ...]
    left_out: int
    phases: dict[Phase, int]


def kind_of_call(is_idempotent: bool) -> str:
    """Return the kind of a call that goes through agents."""
    return 'idempotent' if is_idempotent else 'once'


def error_at_end(
    request: Unfinished, goes_on: bool
) -> errors.CassiashiftError:
    """Return the final answer to a call that its process can't wait for.

    Args:
        goes_on: the call is not stopped by its final answer.
    """
    if goes_on or request.sends:
        return errors.CassiashiftError(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            'this entry stops before the call has ended',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
    return errors.CassiashiftError(
        errors.ErrorCode.DRAINING,
        'this entry stops before the call can begin',
        retry_after_s=0.0,
    )


def count_phases(requests: Iterable[Unfinished]) -> dict[Phase, int]:
    """Return the number of requests in each phase, also where it is 0."""
    counts = collections.Counter(request.phase for request in requests)
    return {phase: counts[phase] for phase in Phase}


def report_end(
    requests: list[Unfinished], stop_asked_at: float | None, limit: int
) -> EndReport:
    """Return the report of the requests in progress at an end.

    Requests that arrived after the stop was asked for come first: the process
    took them although it was about to end. Among equal ones, those come first
    whose answer has begun, then those that have been in progress for longer.

    Args:
        requests: all requests in progress.
        stop_asked_at: monotonic time of the first signal to stop; None
            without one.
        limit: largest number of requests to list.
    """

    def rank(request: Unfinished) -> tuple[bool, bool, float]:
        is_late = stop_asked_at is not None and (
            request.arrived_at > stop_asked_at
        )
        has_begun = request.phase is Phase.ANSWERING
        return not is_late, not has_begun, request.arrived_at

    listed = tuple(heapq.nsmallest(limit, requests, key=rank))
    return EndReport(
        listed, len(requests) - len(listed), count_phases(requests)
    )
