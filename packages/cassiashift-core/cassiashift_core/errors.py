"""Errors with stable codes, shared by every package."""

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
        message: one line for a person.
        verdict: whether the request may have run.
        retry_after_s: seconds after which a new try may help, if known.
    """

    code: ErrorCode
    message: str
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    retry_after_s: float | None = None

    def __attrs_post_init__(self) -> None:
        """Give the base class its arguments, for a readable traceback."""
        super().__init__(self.code.value, self.message)

    def __str__(self) -> str:
        """Return the code and the message on one line."""
        return f'{self.code.value}: {self.message}'
