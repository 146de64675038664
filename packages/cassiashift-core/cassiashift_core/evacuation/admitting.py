"""Which orders an entry proposes, and what it answers to operators."""

from collections.abc import Collection

from cassiashift_core.errors import CassiashiftError
from cassiashift_core.errors import ErrorCode
from cassiashift_core.evacuation import model
from cassiashift_core import verdicts

RETRY_AFTER_S = 0.5


def check_known(data_centre: str, known: Collection[str]) -> None:
    """Check the name of a data centre.

    Raises:
        CassiashiftError: NOT_FOUND; it is not among the known ones.
    """
    if data_centre not in known:
        names = ', '.join(sorted(known)) or 'none'
        raise CassiashiftError(
            ErrorCode.NOT_FOUND,
            f'there is no data centre {data_centre!r}; known: {names}',
        )


def remaining_s(received_at: float, now: float, valid_s: float) -> float:
    """Return the seconds for which an order may still be proposed.

    Args:
        valid_s: seconds for which operators resend an order. An older one is
            abandoned, and the next order may contradict it.
    """
    return received_at + valid_s - now


def check_fresh(received_at: float, now: float, valid_s: float) -> None:
    """Check that an order may still be proposed.

    Raises:
        CassiashiftError: NO_QUORUM; it has waited too long.
    """
    if remaining_s(received_at, now, valid_s) <= 0:
        raise CassiashiftError(
            ErrorCode.NO_QUORUM,
            'the order has waited too long; it was not proposed',
            retry_after_s=RETRY_AFTER_S,
        )


def check_taken(order: model.Order, standing: model.Standing) -> None:
    """Check that an order is in force.

    Raises:
        CassiashiftError: CONFLICT; a later opposite order is in the log. The
            order has changed nothing and may be given again.
    """
    if standing is model.Standing.SUPERSEDED:
        opposite = 'end' if order.is_start else 'start'
        raise CassiashiftError(
            ErrorCode.CONFLICT,
            f'a later {opposite} of the evacuation of {order.data_centre}'
            f' is in the log',
            verdicts.Verdict.NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
        )
