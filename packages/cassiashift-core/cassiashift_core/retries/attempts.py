"""Decides after each attempt of a call on its verdict and on a retry.

The plan reads no clock and sends nothing. The entry reports how each attempt
ended; the plan returns the verdict over all attempts and whether to make
another one.
"""

import enum

import attrs

from cassiashift_core import errors
from cassiashift_core.retries import budget as budgets
from cassiashift_core import verdicts

Verdict = verdicts.Verdict


class AttemptEnd(enum.Enum):
    """How an attempt ended, as far as the entry knows.

    The agent passes a request on only after it has received all of its
    bytes, so a request cut off before its last byte was never run.
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

_FINAL_ENDS = frozenset(
    (
        AttemptEnd.ANSWERED,
        AttemptEnd.CANCELLED_UNSENT,
        AttemptEnd.CANCELLED_FENCED,
        AttemptEnd.CANCELLED_SENT,
    )
)

_ERROR_CODES = {
    AttemptEnd.REFUSED_BY_AGENT: errors.ErrorCode.OVERLOADED,
    AttemptEnd.TIMEOUT_FENCED: errors.ErrorCode.DEADLINE_EXCEEDED,
    AttemptEnd.TIMEOUT_UNFENCED: errors.ErrorCode.DEADLINE_EXCEEDED,
}


def verdict_of(end: AttemptEnd, answer_started: bool = False) -> Verdict:
    """Return the verdict of one attempt.

    Args:
        end: how the attempt ended.
        answer_started: a byte of the answer was received. The request was
            then passed on, so the verdict is never ``NOT_RUN``.
    """
    verdict = _VERDICTS[end]
    if answer_started:
        return verdict.combine(Verdict.MAY_HAVE_RUN)
    return verdict


@attrs.frozen
class RetryConfig:
    """Limit on the attempts of one call, the first one included."""

    max_attempts: int = 3


@attrs.frozen
class CallTraits:
    """Properties of a call that decide whether it may be retried.

    Attributes:
        idempotent: running the call twice does no harm.
        resumable: the engine can resume a stream from a token count.
        deadline: time in seconds after which the answer is useless.
    """

    idempotent: bool
    resumable: bool = False
    deadline: float | None = None


@attrs.frozen
class Decision:
    """The decision after an attempt has ended.

    Attributes:
        verdict: the verdict over all attempts so far.
        retry: another attempt is to be made.
        resume_from: number of tokens that the caller already has; the new
            attempt must start after them.
        code: the error code for the caller when no attempt follows, or
            None after a complete answer.
        reason: explanation of the decision.
    """

    verdict: Verdict
    retry: bool
    reason: str
    resume_from: int = 0
    code: errors.ErrorCode | None = None


@attrs.define
class AttemptPlan:
    """Tracks the attempts of one call and decides on retries.

    Call ``begin_attempt`` before each attempt, ``record_answer_byte`` when
    bytes of the answer arrive, ``record_delivery`` when they reach the
    caller, and ``record_end`` once for each attempt.

    Attributes:
        attempts: number of attempts so far.
        verdict: the verdict over the attempts that have ended.
        tried: ids of the upstreams, one for each attempt.
    """

    traits: CallTraits
    budget: budgets.RetryBudget
    cfg: RetryConfig = attrs.field(factory=RetryConfig)
    attempts: int = attrs.field(default=0, init=False)
    verdict: Verdict = attrs.field(default=Verdict.NOT_RUN, init=False)
    tried: list[str] = attrs.field(factory=list, init=False)
    _attempt_open: bool = attrs.field(default=False, init=False)
    _answer_started: bool = attrs.field(default=False, init=False)
    _tokens_delivered: int = attrs.field(default=0, init=False)
    _bytes_delivered: bool = attrs.field(default=False, init=False)

    def begin_attempt(self, upstream_id: str) -> None:
        """Record the start of an attempt at an upstream.

        Raises:
            CassiashiftError: the previous attempt has not ended.
        """
        if self._attempt_open:
            raise errors.CassiashiftError(
                errors.ErrorCode.INTERNAL,
                'the previous attempt has not ended',
                self.verdict.combine(Verdict.MAY_HAVE_RUN),
            )
        if self.attempts == 0:
            self.budget.record_first_try()
        self.attempts += 1
        self.tried.append(upstream_id)
        self._attempt_open = True
        self._answer_started = False

    def record_answer_byte(self) -> None:
        """Record that a byte of the answer was received."""
        self._answer_started = True

    def record_delivery(self, tokens: int) -> None:
        """Record that bytes with this number of tokens reached the caller."""
        self._answer_started = True
        self._bytes_delivered = True
        self._tokens_delivered += tokens

    def record_end(self, end: AttemptEnd, now: float) -> Decision:
        """Record the end of the open attempt and return the decision.

        Without an open attempt nothing changes: the end belongs to an
        attempt whose decision was made already.
        """
        if not self._attempt_open:
            return self._stop(end, 'no attempt is open')
        self._attempt_open = False
        self.verdict = self.verdict.combine(
            verdict_of(end, self._answer_started)
        )
        if end in _FINAL_ENDS:
            return self._stop(end, end.value)
        stop_reason = self._reason_to_stop(now)
        if stop_reason:
            return self._stop(end, stop_reason)
        return Decision(
            verdict=self.verdict,
            retry=True,
            reason=f'retry after {end.value}',
            resume_from=self._tokens_delivered,
        )

    def try_move(self, now: float) -> Decision | None:
        """End the open attempt at a straggler in favour of another one.

        Returns None, and changes nothing, if another attempt is not
        allowed. Otherwise the caller cancels the open attempt and drops
        its late frames.
        """
        new_verdict = self.verdict.combine(Verdict.MAY_HAVE_RUN)
        if not self._attempt_open or not self.traits.idempotent:
            return None
        if self._reason_to_stop(now):
            return None
        self._attempt_open = False
        self.verdict = new_verdict
        return Decision(
            verdict=new_verdict,
            retry=True,
            reason='moved from a straggler',
            resume_from=self._tokens_delivered,
        )

    def end_without_attempt(self, end: AttemptEnd) -> Decision:
        """Return the decision on a call that ends without an open attempt."""
        return self._stop(end, end.value)

    def _reason_to_stop(self, now: float) -> str:
        """Return why no attempt may follow, or '' after a budget withdrawal.

        If nothing else forbids a retry, one is withdrawn from the budget.
        """
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
            code=self._error_code(end),
        )

    def _error_code(self, end: AttemptEnd) -> errors.ErrorCode | None:
        if end is AttemptEnd.ANSWERED:
            return None
        if self._bytes_delivered:
            return errors.ErrorCode.STREAM_BROKEN
        non_idempotent = not self.traits.idempotent
        if non_idempotent and self.verdict is Verdict.MAY_HAVE_RUN:
            return errors.ErrorCode.OUTCOME_UNKNOWN
        return _ERROR_CODES.get(end, errors.ErrorCode.UPSTREAM_FAILED)
