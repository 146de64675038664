"""Assembles the answer of one call from the frames of its attempts.

Every frame has the id of its attempt and its position. Late frames of an
earlier attempt, or of another call, therefore never reach the caller, and a
resumed stream neither repeats nor omits a part.
"""

import enum

import attrs


class FrameFault(enum.Enum):
    """Why a frame was dropped."""

    OTHER_ATTEMPT = 'other_attempt'
    AFTER_END = 'after_end'
    REPEATED = 'repeated'
    GAP = 'gap'


@attrs.frozen
class Frame:
    """A part of an answer.

    Attributes:
        attempt: id of the attempt.
        position: index of the first part within the whole answer.
        parts: tokens or chunks of bytes, in order.
        last: the frame ends the answer.
    """

    attempt: str
    position: int
    parts: tuple[bytes, ...]
    last: bool = False


@attrs.frozen
class Accepted:
    """Parts to pass on to the caller; ``complete`` ends the answer."""

    parts: tuple[bytes, ...]
    complete: bool = False


@attrs.frozen
class Dropped:
    """The frame is not passed on.

    Attributes:
        broken: the attempt can no longer give a complete answer.
    """

    fault: FrameFault
    broken: bool = False


@attrs.define
class AnswerStream:
    """Passes on the parts of one call's answer, each once and in order.

    Attributes:
        delivered: number of parts passed on.
        complete: the last part was passed on.
        dropped: number of dropped frames by fault.
    """

    delivered: int = attrs.field(default=0, init=False)
    complete: bool = attrs.field(default=False, init=False)
    dropped: dict[FrameFault, int] = attrs.field(factory=dict, init=False)
    _attempt: str | None = attrs.field(default=None, init=False)

    def begin_attempt(self, attempt: str) -> int:
        """Accept only frames of this attempt from now on.

        Returns the position at which the attempt must start.
        """
        self._attempt = attempt
        return self.delivered

    def add_frame(self, frame: Frame) -> Accepted | Dropped:
        """Return the parts of a frame to pass on, or why it is dropped.

        Of a frame that overlaps delivered parts, only the rest is passed
        on.
        """
        fault = self._find_fault(frame)
        if fault is not None:
            self.dropped[fault] = self.dropped.get(fault, 0) + 1
            return Dropped(fault, broken=fault is FrameFault.GAP)
        parts = frame.parts[self.delivered - frame.position :]
        self.delivered += len(parts)
        self.complete = frame.last
        return Accepted(parts, frame.last)

    def _find_fault(self, frame: Frame) -> FrameFault | None:
        if frame.attempt != self._attempt:
            return FrameFault.OTHER_ATTEMPT
        if self.complete:
            return FrameFault.AFTER_END
        if frame.position > self.delivered:
            return FrameFault.GAP
        end = frame.position + len(frame.parts)
        if end < self.delivered:
            return FrameFault.REPEATED
        if end == self.delivered and frame.parts and not frame.last:
            return FrameFault.REPEATED
        return None
