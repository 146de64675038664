"""The agent's memory of how non-idempotent attempts ended.

An entry may die between the send and the record of the outcome. The entry
that gets the caller's resend then asks the agent.
"""

import collections

import attrs

from cassiashift_core import Verdict

MAX_OUTCOMES = 4096
MAX_BODY_BYTES = 256 * 1024
MAX_TOTAL_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Outcome:
    """How an attempt ended; the answer belongs to the verdict ``RAN``."""

    verdict: Verdict
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.define
class Answer:
    """An answer that is being gathered while it passes.

    Attributes:
        fits: the body is small enough to be kept.
    """

    status: int = 0
    content_type: str = ''
    fits: bool = True
    _body: bytearray = attrs.field(factory=bytearray)

    def add(self, data: bytes) -> None:
        """Add a piece of the body."""
        self.fits = self.fits and len(self._body) + len(data) <= MAX_BODY_BYTES
        if self.fits:
            self._body += data

    def outcome(self) -> Outcome:
        """Return the outcome of an attempt with this whole answer."""
        if not self.fits:
            return Outcome(Verdict.MAY_HAVE_RUN)
        return Outcome(
            Verdict.RAN, self.status, self.content_type, bytes(self._body)
        )


@attrs.define
class OutcomeMemory:
    """The last outcomes, bounded in count and bytes."""

    _outcomes: collections.OrderedDict[str, Outcome] = attrs.field(
        factory=collections.OrderedDict
    )
    _bytes: int = 0

    def keep(self, attempt: str, outcome: Outcome) -> None:
        """Keep an outcome; forget the oldest ones beyond the bounds."""
        self._outcomes[attempt] = outcome
        self._bytes += len(outcome.body)
        while (
            len(self._outcomes) > MAX_OUTCOMES or self._bytes > MAX_TOTAL_BYTES
        ):
            _, oldest = self._outcomes.popitem(last=False)
            self._bytes -= len(oldest.body)

    def find(self, attempt: str) -> Outcome | None:
        """Return the outcome of an attempt, if it is still known."""
        return self._outcomes.get(attempt)
