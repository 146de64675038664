"""Deterministic aperture: the subset of a large pool that an entry uses.

Upstreams are ordered on a ring by a hash, and each entry uses a run of
consecutive upstreams. The runs have equal widths and start at equal
distances, so the numbers of entries that use any two upstreams differ by at
most one. Source: deterministic aperture, Anderson et al. in the
documentation of Finagle.
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
        min_upstreams: fewest upstreams to use, if the pool has as many.
    """

    index: int = 0
    entries: int = 1
    min_upstreams: int = 16

    def width(self, pool_size: int) -> int:
        """Return how many upstreams of a pool the entry uses.

        Each upstream is then used by at least 2 entries on average, if there
        are as many.
        """
        covering = math.ceil(2 * pool_size / self.entries)
        return min(pool_size, max(self.min_upstreams, covering))

    def select(self, ring: Sequence[str], width: int) -> list[str]:
        """Return the entry's run of ``width`` upstreams on the ring."""
        size = len(ring)
        start = self.index * size // self.entries
        return [ring[(start + step) % size] for step in range(width)]


def ring_order(upstream_ids: Iterable[str]) -> list[str]:
    """Return the upstream ids ordered by hash, then by id."""
    return sorted(
        upstream_ids, key=lambda name: (hashing.stable_hash(name), name)
    )
