"""Exit statuses of the command line; scripts may rely on them."""

import enum

from cassiashift_core import ErrorCode


class ExitStatus(enum.IntEnum):
    """Exit status of a command; ``REFUSED`` means the key was refused."""

    OK = 0
    FAILURE = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    REFUSED = 5
    NOT_IN_FORCE = 6
    INTERRUPTED = 130


_STATUS_OF_CODE = {
    ErrorCode.BAD_REQUEST: ExitStatus.BAD_INPUT,
    ErrorCode.BODY_TOO_LARGE: ExitStatus.BAD_INPUT,
    ErrorCode.CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.DRAINING: ExitStatus.UNREACHABLE,
    ErrorCode.FORBIDDEN: ExitStatus.REFUSED,
    ErrorCode.MANIFEST_INVALID: ExitStatus.BAD_INPUT,
    ErrorCode.NOT_FOUND: ExitStatus.BAD_INPUT,
    ErrorCode.NOT_LEADER: ExitStatus.UNREACHABLE,
    ErrorCode.NO_QUORUM: ExitStatus.UNREACHABLE,
    ErrorCode.OVERLOADED: ExitStatus.UNREACHABLE,
    ErrorCode.UNAUTHENTICATED: ExitStatus.REFUSED,
}


def for_error_code(code: ErrorCode) -> ExitStatus:
    """Return the exit status of an error code, else ``FAILURE``."""
    return _STATUS_OF_CODE.get(code, ExitStatus.FAILURE)
