"""Puts the answer of one call together from the frames of its attempts.

Every frame names its attempt and its position, so a late answer of an
earlier attempt, or the answer of another call, never reaches the caller,
and a resumed stream neither doubles a part nor leaves one out.
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
        last: the end mark; nothing follows.
    """

    attempt: str
    position: int
    parts: tuple[bytes, ...]
    last: bool = False


@attrs.frozen
class Accepted:
    """What to pass on to the caller; ``whole`` ends the answer."""

    parts: tuple[bytes, ...]
    whole: bool = False


@attrs.frozen
class Dropped:
    """The frame is not passed on.

    Attributes:
        broken: the attempt can no longer give a whole answer.
    """

    fault: FrameFault
    broken: bool = False


@attrs.define
class AnswerStream:
    """The answer of one call.

    Attributes:
        delivered: parts that were passed on.
        whole: the end mark was passed on.
        dropped: number of dropped frames by fault.
    """

    delivered: int = attrs.field(default=0, init=False)
    whole: bool = attrs.field(default=False, init=False)
    dropped: dict[FrameFault, int] = attrs.field(factory=dict, init=False)
    _attempt: str | None = attrs.field(default=None, init=False)

    def expect(self, attempt: str) -> int:
        """Take frames of this attempt only; return where it starts."""
        self._attempt = attempt
        return self.delivered

    def take(self, frame: Frame) -> Accepted | Dropped:
        """Decide about a frame.

        A frame that overlaps what was delivered passes on the rest of it.
        """
        fault = self._fault(frame)
        if fault is not None:
            self.dropped[fault] = self.dropped.get(fault, 0) + 1
            return Dropped(fault, broken=fault is FrameFault.GAP)
        parts = frame.parts[self.delivered - frame.position :]
        self.delivered += len(parts)
        self.whole = frame.last
        return Accepted(parts, frame.last)

    def _fault(self, frame: Frame) -> FrameFault | None:
        if frame.attempt != self._attempt:
            return FrameFault.OTHER_ATTEMPT
        if self.whole:
            return FrameFault.AFTER_END
        if frame.position > self.delivered:
            return FrameFault.GAP
        ends_at = frame.position + len(frame.parts)
        if ends_at < self.delivered:
            return FrameFault.REPEATED
        if ends_at == self.delivered and frame.parts and not frame.last:
            return FrameFault.REPEATED
        return None
