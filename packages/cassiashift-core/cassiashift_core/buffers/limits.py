"""What an entry may hold for one connection and in the whole process."""

import attrs

MEGABYTE = 1024 * 1024
# Read from an upstream or written towards a peer without being taken up. A
# caller 1 ms away can still be sent 16 MB/s, more than the link of an entry.
CONNECTION_BYTES = 16 * 1024
# Work that needs more than this is refused first when memory is short.
LARGE_BYTES = 256 * 1024
# Resident memory of an entry that serves no requests, with its libraries and
# the state for control (32 MB at the design size).
IDLE_BYTES = 96 * MEGABYTE
# Parsers, tasks and headers of one request in flight, beside its body.
REQUEST_BYTES = 64 * 1024
# A buffer may exceed its limit by one read, which the kernel makes twice as
# long, so a caller that doesn't read costs up to four limits.
UNREAD_LIMITS = 4
# Buffers are copied when they grow, and freed memory is returned late.
BUFFER_SHARE = 0.75
# Share of the memory for buffers where almost nothing is left beside
# IDLE_BYTES.
SMALLEST_SHARE = 1 / 8
# Share of the buffers from which large work is refused; the rest is kept for
# small requests and for answers that are already on their way.
LARGE_WORK_SHARE = 0.5


@attrs.frozen
class BufferLimits:
    """Limits on buffered bytes.

    Attributes:
        process_bytes: for the process; 0 if the memory is not stated, then
            only the limits per connection apply.
        connection_bytes: for each direction of one connection.
    """

    process_bytes: int = 0
    connection_bytes: int = CONNECTION_BYTES

    @classmethod
    def from_memory(cls, memory_mb: int) -> 'BufferLimits':
        """Return the limits of a process that may use this much memory."""
        memory = memory_mb * MEGABYTE
        free = max(memory - IDLE_BYTES, SMALLEST_SHARE * memory)
        return cls(int(BUFFER_SHARE * free))

    @property
    def is_stated(self) -> bool:
        """Whether the process is limited."""
        return self.process_bytes > 0

    @property
    def large_work_bytes(self) -> int:
        """Return the buffered bytes from which large work is refused."""
        return int(LARGE_WORK_SHARE * self.process_bytes)

    @property
    def unread_bytes(self) -> int:
        """Return what is held for a caller that doesn't read."""
        return UNREAD_LIMITS * self.connection_bytes

    @property
    def resume_bytes(self) -> int:
        """Return the bytes at which a paused caller is written to again."""
        return self.connection_bytes // 2
