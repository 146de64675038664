"""Settings, requests and decisions of admission."""

from typing import Self

import attrs

from cassiashift_core import errors
from cassiashift_core import manifest
from cassiashift_core import verdicts


@attrs.frozen
class AdmissionConfig:
    """Bounds of the queues of one entry.

    Attributes:
        capacity: calls in progress for a pool until ``set_capacity``.
        max_queued: waiting calls over all pools.
        max_queued_bytes: bytes of the bodies of waiting calls.
        first_token_target_s: bound on the wait and the time to the first
            token together.
        max_wait_s: a call that would wait longer is refused at once.
        min_wait_s: wait that is allowed even if first tokens are late.
        min_retry_after_s: shortest time after which to retry.
        max_retry_after_s: longest time after which to retry.
        retry_jitter: largest random increase of the time to retry, as a
            share of it.
        rate_window_s: averaging time of the service rate of a pool.
    """

    capacity: int = 256
    max_queued: int = 4096
    max_queued_bytes: int = 64 * 1024 * 1024
    first_token_target_s: float = 2.0
    max_wait_s: float = 1.2
    min_wait_s: float = 0.2
    min_retry_after_s: float = 0.5
    max_retry_after_s: float = 30.0
    retry_jitter: float = 0.5
    rate_window_s: float = 5.0


@attrs.frozen
class WorkspaceLimits:
    """One entry's share of a workspace's weight and limits.

    Attributes:
        weight: share of a pool relative to other workspaces.
        requests_per_second: rate of admitted calls.
        tokens_per_second: rate of prompt and output tokens.
        concurrency: calls in progress; the fractional part is cut off, so
            that the entries together do not exceed the limit.
        burst_s: seconds of the rates that may be used at once.
    """

    weight: float = 1.0
    requests_per_second: float = float('inf')
    tokens_per_second: float = float('inf')
    concurrency: float = float('inf')
    burst_s: float = 1.0

    @classmethod
    def for_share(
        cls,
        limits: manifest.Limits,
        weight: float,
        share: float,
        weight_share: float | None = None,
    ) -> Self:
        """Return an entry's share of the limits in the manifest.

        Args:
            limits: the limits of the workspace over all entries.
            weight: the weight of the workspace.
            share: result of ``ShareHolder.share``, from 0 to 1.
            weight_share: result of ``ShareHolder.weight_share``; defaults
                to ``share``.
        """
        return cls(
            weight=weight * (share if weight_share is None else weight_share),
            requests_per_second=limits.requests_per_second * share,
            tokens_per_second=limits.tokens_per_second * share,
            concurrency=limits.concurrency * share,
        )


@attrs.frozen
class AdmissionRequest:
    """A call to admit, queue or refuse.

    Attributes:
        pool: the model or service whose capacity the call uses.
        tokens: prompt tokens and expected output tokens; 1 for a service.
        body_bytes: size of the body held while the call waits.
        priority: a higher one goes first within its workspace.
        deadline: time in seconds after which the answer is useless.
        service_s: expected time from admission to the complete answer.
    """

    request_id: str
    workspace: str
    pool: str
    tokens: int = 1
    body_bytes: int = 0
    priority: int = 0
    deadline: float | None = None
    service_s: float = 0.0


@attrs.frozen
class Refused:
    """The final answer to a call that was not admitted."""

    request_id: str
    code: errors.ErrorCode
    retry_after_s: float
    reason: str
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN

    def to_error(self) -> errors.CassiashiftError:
        """Return the refusal as an error for the caller."""
        return errors.CassiashiftError(
            self.code, self.reason, self.verdict, self.retry_after_s
        )


@attrs.frozen
class Admitted:
    """The call may start now, after waiting for ``waited_s`` seconds."""

    request_id: str
    waited_s: float = 0.0


@attrs.frozen
class Queued:
    """The call was put in the queue.

    Attributes:
        expected_wait_s: estimate of the wait.
        evicted: refusals of waiting calls that were removed to keep the
            queue within its bounds; they must be sent at once.
    """

    request_id: str
    expected_wait_s: float
    evicted: tuple[Refused, ...] = ()
