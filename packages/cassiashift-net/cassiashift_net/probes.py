"""Probes of a connection and their answers, as frames of a link.

They are answered before any other work, so that a round trip tells of the
connection and not of the work behind it.
"""

from collections.abc import Sequence

PROBE = b'~probe'
ANSWER = b'~answer'
TOKEN_BYTES = 8


class MalformedProbeError(ValueError):
    """Frames that begin like a probe or its answer are not one."""


def probe_frames(token: int) -> list[bytes]:
    """Return the frames of a probe."""
    return [PROBE, token.to_bytes(TOKEN_BYTES)]


def is_probe(frames: Sequence[bytes]) -> bool:
    """Return whether frames begin like a probe."""
    return bool(frames) and frames[0] == PROBE


def is_answer(frames: Sequence[bytes]) -> bool:
    """Return whether frames begin like the answer to a probe."""
    return bool(frames) and frames[0] == ANSWER


def answer_frames(frames: Sequence[bytes]) -> list[bytes]:
    """Return the answer to a probe.

    Raises:
        MalformedProbeError: its token has another length.
    """
    return [ANSWER, _token_of(frames)]


def answered_token(frames: Sequence[bytes]) -> int:
    """Return the token that an answer repeats.

    Raises:
        MalformedProbeError: its token has another length.
    """
    return int.from_bytes(_token_of(frames))


def _token_of(frames: Sequence[bytes]) -> bytes:
    if len(frames) != 2 or len(frames[1]) != TOKEN_BYTES:
        raise MalformedProbeError('the token has a wrong length')
    return frames[1]
