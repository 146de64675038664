"""A small part of a large pool for each entry, with even cover.

Upstreams stand on a ring in the order of a hash, and entries take runs of
equal width that start at equal distances. The numbers of entries on any
two upstreams differ by at most one. Source: deterministic aperture,
Anderson et al. in the documentation of Finagle.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math

import attrs

from cassiashift_core import hashing


@attrs.frozen
class Aperture:
    """The position of one entry among all entries.

    Attributes:
        index: position of the entry in the sorted list of entries.
        entries: number of entries.
        minimum: upstreams to use, at least.
    """

    index: int = 0
    entries: int = 1
    minimum: int = 16

    def width(self, pool_size: int) -> int:
        """Return the number of upstreams to use of a pool."""
        covering = math.ceil(2 * pool_size / self.entries)
        return min(pool_size, max(self.minimum, covering))

    def select(self, ring: Sequence[str], width: int) -> list[str]:
        """Return a run of upstreams of the ring."""
        size = len(ring)
        start = self.index * size // self.entries
        return [ring[(start + step) % size] for step in range(width)]


def ring_order(upstream_ids: Iterable[str]) -> list[str]:
    """Return the upstreams in the order of the ring."""
    return sorted(
        upstream_ids, key=lambda name: (hashing.stable_hash(name), name)
    )
