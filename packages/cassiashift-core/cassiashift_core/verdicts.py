"""Verdicts: whether a request may have run on an upstream."""

import enum


class Verdict(enum.Enum):
    """Whether a request ran, as far as that can be proved.

    ``NOT_RUN`` is used only if the request never left the entry, the agent
    refused it, or the agent fenced its attempt before it arrived. ``RAN``
    requires an answer from the upstream. Every other case is
    ``MAY_HAVE_RUN``.
    """

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'

    @property
    def retry_is_safe(self) -> bool:
        """Whether a non-idempotent request may be sent again."""
        return self is Verdict.NOT_RUN

    def combine(self, other: 'Verdict') -> 'Verdict':
        """Return the verdict on a request from those of two attempts.

        It is the one by which the request ran more certainly.
        """
        order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
