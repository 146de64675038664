"""Keeps the outcomes of non-idempotent attempts on the agent.

An entry may crash after it has sent an attempt and before it has recorded
the outcome. The entry that gets the caller's retry then asks the agent.
"""

import collections

import attrs

from cassiashift_core import Verdict

MAX_OUTCOMES = 4096
MAX_BODY_BYTES = 256 * 1024
MAX_TOTAL_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Outcome:
    """How an attempt ended; an answer comes with the verdict ``RAN`` only."""

    verdict: Verdict
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.define
class AnswerBuffer:
    """Buffers an answer while it is forwarded.

    Attributes:
        fits: the body has at most ``MAX_BODY_BYTES``, so it is kept.
    """

    status: int = 0
    content_type: str = ''
    fits: bool = True
    _body: bytearray = attrs.field(factory=bytearray)

    def add(self, data: bytes) -> None:
        """Append a chunk of the body; ignore it if the body got too large."""
        self.fits = self.fits and len(self._body) + len(data) <= MAX_BODY_BYTES
        if self.fits:
            self._body += data

    def outcome(self) -> Outcome:
        """Return the outcome of an attempt whose answer is complete.

        A body that is too large gives ``MAY_HAVE_RUN``, since the answer
        can't be replayed.
        """
        if not self.fits:
            return Outcome(Verdict.MAY_HAVE_RUN)
        return Outcome(
            Verdict.RAN, self.status, self.content_type, bytes(self._body)
        )


@attrs.define
class OutcomeStore:
    """The latest outcomes, at most ``MAX_OUTCOMES`` in ``MAX_TOTAL_BYTES``."""

    _outcomes: collections.OrderedDict[str, Outcome] = attrs.field(
        factory=collections.OrderedDict
    )
    _bytes: int = 0

    def add(self, attempt: str, outcome: Outcome) -> None:
        """Add an outcome and drop the oldest ones beyond the bounds."""
        self._outcomes[attempt] = outcome
        self._bytes += len(outcome.body)
        while (
            len(self._outcomes) > MAX_OUTCOMES or self._bytes > MAX_TOTAL_BYTES
        ):
            _, oldest = self._outcomes.popitem(last=False)
            self._bytes -= len(oldest.body)

    def find(self, attempt: str) -> Outcome | None:
        """Return the outcome of an attempt, or None if it is not held."""
        return self._outcomes.get(attempt)
