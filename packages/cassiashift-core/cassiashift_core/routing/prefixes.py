"""Estimates which prompt blocks the prefix caches of engines hold.

There are two sources: cache events, which arrive late and may be lost, and
the entry's own calls, whose prompts will be cached. Each upstream is
modelled as a least-recently-used cache of limited size. When an event is
missing, all blocks assumed for the upstream are dropped, since any of them
may have been evicted, and a resync is requested. Blocks of calls sent after
that are assumed to be cached, without waiting for the resync.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from cassiashift_core.routing import model


@attrs.define
class _Cache:
    """Assumed cache content of one upstream.

    Attributes:
        is_synced: no event of the epoch is missing.
        blocks: block hashes, least recently used first.
    """

    epoch: int = -1
    sequence: int = -1
    is_synced: bool = False
    blocks: dict[int, None] = attrs.field(factory=dict)


@attrs.define
class PrefixIndex:
    """Assumed cache content of all upstreams.

    Attributes:
        cache_blocks: most blocks of one upstream.
        total_blocks: most blocks of all upstreams together.
        gap_count: gaps found in the sequences of events.
    """

    cache_blocks: int
    total_blocks: int
    gap_count: int = attrs.field(default=0, init=False)
    _caches: dict[str, _Cache] = attrs.field(factory=dict, init=False)
    _holders: dict[int, set[str]] = attrs.field(factory=dict, init=False)
    _count: int = attrs.field(default=0, init=False)

    def __len__(self) -> int:
        """Return the number of assumed blocks of all upstreams."""
        return self._count

    def depths(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks that each upstream holds.

        Upstreams that lack the first block are left out.
        """
        depths: dict[str, int] = {}
        holders: set[str] | None = None
        for depth, block in enumerate(blocks, start=1):
            block_holders = self._holders.get(block)
            if not block_holders:
                break
            holders = (
                block_holders if holders is None else holders & block_holders
            )
            if not holders:
                break
            for upstream_id in holders:
                depths[upstream_id] = depth
        return depths

    def record_sent(self, upstream_id: str, blocks: Iterable[int]) -> None:
        """Assume that an upstream caches the blocks of a sent prompt."""
        cache = self._caches.setdefault(upstream_id, _Cache())
        self._store(upstream_id, cache, blocks)

    def apply_event(
        self, event: model.CacheEvent
    ) -> model.ResyncNeeded | None:
        """Apply a cache event.

        Returns a resync request while events of the engine are missing.
        """
        cache = self._caches.setdefault(event.upstream_id, _Cache())
        if self._is_old(cache, event):
            return None
        restarted = event.epoch != cache.epoch
        is_first = restarted and event.sequence == 0
        if event.snapshot or is_first:
            self._clear(event.upstream_id, cache)
            cache.is_synced = True
        elif restarted or event.sequence != cache.sequence + 1:
            self._clear(event.upstream_id, cache)
            cache.is_synced = False
            self.gap_count += 1
        cache.epoch = event.epoch
        cache.sequence = event.sequence
        if not cache.is_synced:
            return model.ResyncNeeded(event.upstream_id)
        self._evict(event.upstream_id, cache, event.evicted)
        self._store(event.upstream_id, cache, event.stored)
        return None

    def remove_upstream(self, upstream_id: str) -> None:
        """Drop all assumed blocks of an upstream."""
        cache = self._caches.pop(upstream_id, None)
        if cache is not None:
            self._clear(upstream_id, cache)

    @staticmethod
    def _is_old(cache: _Cache, event: model.CacheEvent) -> bool:
        last_applied = (cache.epoch, cache.sequence)
        if event.snapshot and not cache.is_synced:
            return (event.epoch, event.sequence) < last_applied
        return (event.epoch, event.sequence) <= last_applied

    def _store(
        self, upstream_id: str, cache: _Cache, blocks: Iterable[int]
    ) -> None:
        for block in blocks:
            if block in cache.blocks:
                del cache.blocks[block]
            else:
                self._holders.setdefault(block, set()).add(upstream_id)
                self._count += 1
            cache.blocks[block] = None
        while len(cache.blocks) > self.cache_blocks:
            self._remove(upstream_id, cache, next(iter(cache.blocks)))
        while self._count > self.total_blocks:
            self._evict_from_largest()

    def _evict_from_largest(self) -> None:
        upstream_id, cache = max(
            self._caches.items(), key=lambda item: len(item[1].blocks)
        )
        oldest = list(cache.blocks)[: max(1, len(cache.blocks) // 8)]
        self._evict(upstream_id, cache, oldest)

    def _evict(
        self, upstream_id: str, cache: _Cache, blocks: Iterable[int]
    ) -> None:
        for block in blocks:
            if block in cache.blocks:
                self._remove(upstream_id, cache, block)

    def _clear(self, upstream_id: str, cache: _Cache) -> None:
        self._evict(upstream_id, cache, list(cache.blocks))

    def _remove(self, upstream_id: str, cache: _Cache, block: int) -> None:
        del cache.blocks[block]
        self._count -= 1
        holders = self._holders[block]
        holders.discard(upstream_id)
        if not holders:
            del self._holders[block]
