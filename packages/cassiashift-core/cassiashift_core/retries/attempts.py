"""The attempts of one call: verdict after each, and whether to retry.

The machine holds no clock and sends nothing. The entry reports how each
attempt ended; the plan answers with the verdict over all attempts and with
whether another attempt may be made.
"""

import enum

import attrs

from cassiashift_core import errors
from cassiashift_core.retries import budget as budgets
from cassiashift_core import verdicts

Verdict = verdicts.Verdict


class AttemptEnd(enum.Enum):
    """How an attempt ended, as the entry knows it.

    The agent passes a request on only once it holds all of its bytes, so
    a request cut off before its last byte was never run.
    """

    ANSWERED = 'answered'
    REFUSED_BY_AGENT = 'refused_by_agent'
    CONNECT_FAILED = 'connect_failed'
    RESET_BEFORE_LAST_BYTE = 'reset_before_last_byte'
    RESET_AFTER_LAST_BYTE = 'reset_after_last_byte'
    TIMEOUT_FENCED = 'timeout_fenced'
    TIMEOUT_UNFENCED = 'timeout_unfenced'
    CANCELLED_UNSENT = 'cancelled_unsent'
    CANCELLED_FENCED = 'cancelled_fenced'
    CANCELLED_SENT = 'cancelled_sent'
    UPSTREAM_DEAD = 'upstream_dead'
    ENTRY_DEAD = 'entry_dead'


_VERDICTS = {
    AttemptEnd.ANSWERED: Verdict.RAN,
    AttemptEnd.REFUSED_BY_AGENT: Verdict.NOT_RUN,
    AttemptEnd.CONNECT_FAILED: Verdict.NOT_RUN,
    AttemptEnd.RESET_BEFORE_LAST_BYTE: Verdict.NOT_RUN,
    AttemptEnd.RESET_AFTER_LAST_BYTE: Verdict.MAY_HAVE_RUN,
    AttemptEnd.TIMEOUT_FENCED: Verdict.NOT_RUN,
    AttemptEnd.TIMEOUT_UNFENCED: Verdict.MAY_HAVE_RUN,
    AttemptEnd.CANCELLED_UNSENT: Verdict.NOT_RUN,
    AttemptEnd.CANCELLED_FENCED: Verdict.NOT_RUN,
    AttemptEnd.CANCELLED_SENT: Verdict.MAY_HAVE_RUN,
    AttemptEnd.UPSTREAM_DEAD: Verdict.MAY_HAVE_RUN,
    AttemptEnd.ENTRY_DEAD: Verdict.MAY_HAVE_RUN,
}

_FINAL = frozenset(
    (
        AttemptEnd.ANSWERED,
        AttemptEnd.CANCELLED_UNSENT,
        AttemptEnd.CANCELLED_FENCED,
        AttemptEnd.CANCELLED_SENT,
    )
)

_CODES = {
    AttemptEnd.REFUSED_BY_AGENT: errors.ErrorCode.OVERLOADED,
    AttemptEnd.TIMEOUT_FENCED: errors.ErrorCode.DEADLINE_EXCEEDED,
    AttemptEnd.TIMEOUT_UNFENCED: errors.ErrorCode.DEADLINE_EXCEEDED,
}


def verdict_of(end: AttemptEnd, answer_began: bool = False) -> Verdict:
    """Return the verdict of one attempt.

    Args:
        end: how the attempt ended.
        answer_began: a byte of the answer has been received. The request
            was then passed on, so the attempt is never ``NOT_RUN``.
    """
    verdict = _VERDICTS[end]
    if answer_began:
        return verdict.combine(Verdict.MAY_HAVE_RUN)
    return verdict


@attrs.frozen
class RetryConfig:
    """Limits of the retries of one call."""

    max_attempts: int = 3


@attrs.frozen
class CallTraits:
    """What decides whether a call may be sent again.

    Attributes:
        idempotent: running the call twice does no harm.
        resumable: the engine can resume a stream from a token count.
        deadline: time at which the answer is of no more use, in seconds.
    """

    idempotent: bool
    resumable: bool = False
    deadline: float | None = None


@attrs.frozen
class Decision:
    """What follows from the end of an attempt.

    Attributes:
        verdict: the verdict over all attempts so far.
        retry: another attempt is to be made.
        resume_from: tokens that the caller holds already; the new attempt
            must start after them.
        code: the error code for the caller when no attempt follows, or
            None after a whole answer.
        reason: why, in words.
    """

    verdict: Verdict
    retry: bool
    reason: str
    resume_from: int = 0
    code: errors.ErrorCode | None = None


@attrs.define
class AttemptPlan:
    """The attempts of one call.

    Call ``begin`` before each attempt, ``answer_received`` when bytes of
    the answer arrive, ``delivered`` when they reach the caller, and
    ``ended`` once for each attempt.
    """

    traits: CallTraits
    budget: budgets.RetryBudget
    cfg: RetryConfig = attrs.field(factory=RetryConfig)
    attempts: int = attrs.field(default=0, init=False)
    verdict: Verdict = attrs.field(default=Verdict.NOT_RUN, init=False)
    tried: list[str] = attrs.field(factory=list, init=False)
    _open: bool = attrs.field(default=False, init=False)
    _answer_began: bool = attrs.field(default=False, init=False)
    _tokens_delivered: int = attrs.field(default=0, init=False)
    _bytes_delivered: bool = attrs.field(default=False, init=False)

    def begin(self, upstream_id: str) -> None:
        """Record the start of an attempt at an upstream.

        Raises:
            CassiashiftError: the previous attempt has not ended.
        """
        if self._open:
            raise errors.CassiashiftError(
                errors.ErrorCode.INTERNAL,
                'the previous attempt has not ended',
                self.verdict.combine(Verdict.MAY_HAVE_RUN),
            )
        if self.attempts == 0:
            self.budget.record_first_try()
        self.attempts += 1
        self.tried.append(upstream_id)
        self._open = True
        self._answer_began = False

    def answer_received(self) -> None:
        """Record that a byte of the answer has come from the upstream."""
        self._answer_began = True

    def delivered(self, tokens: int) -> None:
        """Record that bytes, and so many tokens, reached the caller."""
        self._answer_began = True
        self._bytes_delivered = True
        self._tokens_delivered += tokens

    def ended(self, end: AttemptEnd, now: float) -> Decision:
        """Return the decision after an attempt ended at ``now``.

        An end that arrives when no attempt is open changes nothing: it
        belongs to an attempt that has been decided already.
        """
        if not self._open:
            return self._stop(end, 'no attempt is open')
        self._open = False
        self.verdict = self.verdict.combine(
            verdict_of(end, self._answer_began)
        )
        if end in _FINAL:
            return self._stop(end, end.value)
        obstacle = self._obstacle(now)
        if obstacle:
            return self._stop(end, obstacle)
        return Decision(
            verdict=self.verdict,
            retry=True,
            reason=f'retry after {end.value}',
            resume_from=self._tokens_delivered,
        )

    def try_move(self, now: float) -> Decision | None:
        """Give up the open attempt for another one, if that is allowed.

        For an attempt at an upstream that has become a straggler. Returns
        None, and changes nothing, where another attempt is not allowed.
        The caller then cancels the attempt and drops its late frames.
        """
        moved = self.verdict.combine(Verdict.MAY_HAVE_RUN)
        if not self._open or not self.traits.idempotent:
            return None
        if self._obstacle(now):
            return None
        self._open = False
        self.verdict = moved
        return Decision(
            verdict=moved,
            retry=True,
            reason='moved from a straggler',
            resume_from=self._tokens_delivered,
        )

    def unsent(self, end: AttemptEnd) -> Decision:
        """Return the decision on a call that ends with no attempt open."""
        return self._stop(end, end.value)

    def _obstacle(self, now: float) -> str:
        """Return why no attempt may follow, or an empty string."""
        traits = self.traits
        if not traits.idempotent and not self.verdict.retry_is_safe:
            return 'not idempotent and may have run'
        if self._bytes_delivered and not traits.resumable:
            return 'bytes reached the caller'
        if self.attempts >= self.cfg.max_attempts:
            return 'no attempts left'
        if traits.deadline is not None and now >= traits.deadline:
            return 'deadline exceeded'
        if not self.budget.try_spend():
            return 'retry budget spent'
        return ''

    def _stop(self, end: AttemptEnd, reason: str) -> Decision:
        return Decision(
            verdict=self.verdict,
            retry=False,
            reason=reason,
            code=self._code(end),
        )

    def _code(self, end: AttemptEnd) -> errors.ErrorCode | None:
        if end is AttemptEnd.ANSWERED:
            return None
        if self._bytes_delivered:
            return errors.ErrorCode.STREAM_BROKEN
        non_idempotent = not self.traits.idempotent
        if non_idempotent and self.verdict is Verdict.MAY_HAVE_RUN:
            return errors.ErrorCode.OUTCOME_UNKNOWN
        return _CODES.get(end, errors.ErrorCode.UPSTREAM_FAILED)
