"""Statuses that state to a caller that its request has not run."""

# Each states that the request has not run and never will, so that the caller
# may send it again even where it must not run twice.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def may_forward(status: int) -> bool:
    """Return whether an upstream's status may be sent on to the caller.

    Args:
        status: the HTTP status of an answer that does not state by other
            means that the request has not run. An upstream may give any
            status to a request that it has run.
    """
    return status not in NOT_RUN_STATUSES
