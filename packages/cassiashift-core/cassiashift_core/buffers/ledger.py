"""Counts buffered bytes, and decides what to refuse and whom to give up."""

import enum

import attrs

from cassiashift_core.buffers import limits as buffer_limits

# An upstream aborts a stream that isn't read for some seconds. Its own
# buffers fill after the caller's, so this is well before it.
UNREAD_S = 2.0
# A caller that was slow for less than this isn't given up to free memory:
# two lost packets cause such a wait.
SHORTEST_UNREAD_S = 0.5


class Refusal(enum.Enum):
    """Why new work is refused."""

    LARGE = 'large_work'
    FULL = 'no_memory'


@attrs.define(eq=False)
class Ledger:
    """Buffered bytes of a process, and the callers that don't read.

    Attributes:
        held_bytes: bodies of requests and answers that are held.
        requests: requests in flight.
        passed_bytes: bytes of bodies and events so far, in one direction.
    """

    limits: buffer_limits.BufferLimits = buffer_limits.BufferLimits()
    held_bytes: int = 0
    requests: int = 0
    passed_bytes: int = 0
    # Key of a caller to the time since which it hasn't read, oldest first.
    _unread: dict[int, float] = attrs.field(factory=dict)

    @property
    def buffered_bytes(self) -> int:
        """Return what is held, with the buffers of callers that don't read.

        For each of these, both the bytes towards the caller and those read
        ahead from the upstream are at their limit.
        """
        unread = self.limits.unread_bytes * len(self._unread)
        requests = buffer_limits.REQUEST_BYTES * self.requests
        return self.held_bytes + unread + requests

    @property
    def unread_count(self) -> int:
        """Return how many callers are waited for."""
        return len(self._unread)

    def begin_request(self) -> None:
        """Count a request in flight."""
        self.requests += 1

    def end_request(self) -> None:
        """Count the end of a request in flight."""
        self.requests -= 1

    def hold(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Count bytes that are held no longer."""
        self.held_bytes -= size

    def refusal(self, size: int, held: int = 0) -> Refusal | None:
        """Return why work of a size is refused now; None if it is not.

        Args:
            size: bytes that it is known to need.
            held: how many of them are counted as held already.
        """
        if not self.limits.is_stated:
            return None
        others = self.buffered_bytes - held
        if others + size > self.limits.process_bytes:
            return Refusal.FULL
        is_large = size > buffer_limits.LARGE_BYTES
        if is_large and others > self.limits.large_work_bytes:
            return Refusal.LARGE
        return None

    def begin_wait(self, key: int, now: float) -> None:
        """Record that a caller doesn't read what it is sent."""
        self._unread.setdefault(key, now)

    def end_wait(self, key: int) -> None:
        """Record that a caller has read, or that its answer has ended."""
        self._unread.pop(key, None)

    def to_give_up(self, now: float) -> list[int]:
        """Return the callers whose answers have to end as incomplete.

        These are the ones that haven't read for ``UNREAD_S``; and if the
        process holds too much, as many as have to go, those that haven't
        read for the longest time first. There are none while the memory of
        the process is not stated.
        """
        if not self.limits.is_stated:
            return []
        excess = self.buffered_bytes - self.limits.process_bytes
        freed = self.limits.unread_bytes + buffer_limits.REQUEST_BYTES
        given_up = []
        for key, since in self._unread.items():
            waited_s = now - since
            if waited_s < SHORTEST_UNREAD_S:
                break
            if waited_s < UNREAD_S and excess <= 0:
                break
            given_up.append(key)
            excess -= freed
        return given_up
