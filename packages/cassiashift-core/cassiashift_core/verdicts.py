"""Verdicts: whether a request may have run on an upstream."""

import enum


class Verdict(enum.Enum):
    """State whether a request ran, as far as the system can prove it.

    ``NOT_RUN`` is given only where the request never left the entry, where
    the agent refused it, or where the agent fenced its attempt before it
    arrived. ``RAN`` needs an answer from the upstream. Everything else is
    ``MAY_HAVE_RUN``.
    """

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'

    @property
    def retry_is_safe(self) -> bool:
        """Tell whether a non-idempotent request may be sent again."""
        return self is Verdict.NOT_RUN

    def combine(self, other: 'Verdict') -> 'Verdict':
        """Return the verdict over two attempts of one request."""
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
