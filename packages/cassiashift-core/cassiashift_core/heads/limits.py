"""Limits on what a listener receives beside bodies."""

import attrs

KILOBYTE = 1024
# Chunks of one byte take five bytes of framing for each.
FRAMING_RATIO = 8


@attrs.frozen
class HeadLimits:
    """Limits of one listener.

    Attributes:
        head_bytes: largest head, with the blank lines before it. Chunk
            sizes and trailers may take as much beside ``FRAMING_RATIO``
            times the body.
        head_s: seconds from the first byte of a head to its last.
        open_bytes: of all heads together that are not complete.
        connections: connections that are open at the same time.
    """

    head_bytes: int = 64 * KILOBYTE
    head_s: float = 10.0
    open_bytes: int = 8 * KILOBYTE * KILOBYTE
    connections: int = 2048

    def framing_bytes(self, body_bytes: int) -> int:
        """Return how much framing a body may have by now."""
        return self.head_bytes + FRAMING_RATIO * body_bytes
