"""The error class with stable codes that every package uses."""

import enum

import attrs

from cassiashift_core import verdicts


class ErrorCode(enum.Enum):
    """Stable codes that callers and operators may rely on."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    CONFLICT = 'conflict'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    DRAINING = 'draining'
    FENCED = 'fenced'
    FORBIDDEN = 'forbidden'
    INTERNAL = 'internal'
    KEY_REUSED = 'key_reused'
    LIMIT_EXCEEDED = 'limit_exceeded'
    MANIFEST_INVALID = 'manifest_invalid'
    NOT_FOUND = 'not_found'
    NOT_LEADER = 'not_leader'
    NO_QUORUM = 'no_quorum'
    NO_UPSTREAM = 'no_upstream'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    OVERLOADED = 'overloaded'
    PROMPT_BLOCKED = 'prompt_blocked'
    STORAGE_DAMAGED = 'storage_damaged'
    STORAGE_REFUSED = 'storage_refused'
    STREAM_BROKEN = 'stream_broken'
    UNAUTHENTICATED = 'unauthenticated'
    UPSTREAM_FAILED = 'upstream_failed'


@attrs.define(eq=False, slots=False)
class CassiashiftError(Exception):
    """An error with a code, a message and a verdict.

    Args:
        code: the stable code.
        message: one line for people; programs use the code.
        verdict: whether the request may have run.
        retry_after_s: seconds after which a retry may succeed, if known.
    """

    code: ErrorCode
    message: str
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    retry_after_s: float | None = None

    def __attrs_post_init__(self) -> None:
        """Pass code and message to ``Exception``, for a readable traceback."""
        super().__init__(self.code.value, self.message)

    def __str__(self) -> str:
        """Return the code and the message on one line."""
        return f'{self.code.value}: {self.message}'
