"""What is believed about the prefix caches of engines.

Two sources are kept apart in effect: cache events, which are late and may
be missing, and the entry's own sends, which will fill the cache. Each
upstream is modelled as a least-recently-used cache of limited size. When
an event is missing, all that was believed of the upstream is dropped,
since any of it may have been evicted, and a resync is asked for. Blocks of
own sends from then on are believed again at once.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from cassiashift_core.routing import model


@attrs.define
class _Cache:
    """Believed blocks of one upstream, least recently used first."""

    epoch: int = -1
    sequence: int = -1
    synced: bool = False
    blocks: dict[int, None] = attrs.field(factory=dict)


@attrs.define
class PrefixIndex:
    """Believed cache content of all upstreams.

    Attributes:
        cache_blocks: blocks of one upstream, at most.
        total_blocks: blocks of all upstreams, at most.
    """

    cache_blocks: int
    total_blocks: int
    gaps: int = attrs.field(default=0, init=False)
    _caches: dict[str, _Cache] = attrs.field(factory=dict, init=False)
    _holders: dict[int, set[str]] = attrs.field(factory=dict, init=False)
    _count: int = attrs.field(default=0, init=False)

    def __len__(self) -> int:
        """Return the number of believed blocks."""
        return self._count

    def depths(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return how many leading blocks each upstream holds."""
        depths: dict[str, int] = {}
        holders: set[str] | None = None
        for depth, block in enumerate(blocks, start=1):
            found = self._holders.get(block)
            if not found:
                break
            holders = found if holders is None else holders & found
            if not holders:
                break
            for upstream_id in holders:
                depths[upstream_id] = depth
        return depths

    def sent(self, upstream_id: str, blocks: Iterable[int]) -> None:
        """Believe the blocks of a prompt that was sent to an upstream."""
        cache = self._caches.setdefault(upstream_id, _Cache())
        self._store(upstream_id, cache, blocks)

    def event(self, event: model.CacheEvent) -> model.ResyncNeeded | None:
        """Apply a cache event; return what to ask the engine for."""
        cache = self._caches.setdefault(event.upstream_id, _Cache())
        if self._is_old(cache, event):
            return None
        restarted = event.epoch != cache.epoch
        first = restarted and event.sequence == 0
        if event.snapshot or first:
            self._drop(event.upstream_id, cache)
            cache.synced = True
        elif restarted or event.sequence != cache.sequence + 1:
            self._drop(event.upstream_id, cache)
            cache.synced = False
            self.gaps += 1
        cache.epoch = event.epoch
        cache.sequence = event.sequence
        if not cache.synced:
            return model.ResyncNeeded(event.upstream_id)
        self._evict(event.upstream_id, cache, event.evicted)
        self._store(event.upstream_id, cache, event.stored)
        return None

    def forget(self, upstream_id: str) -> None:
        """Drop all that is believed of an upstream."""
        cache = self._caches.pop(upstream_id, None)
        if cache is not None:
            self._drop(upstream_id, cache)

    @staticmethod
    def _is_old(cache: _Cache, event: model.CacheEvent) -> bool:
        seen = (cache.epoch, cache.sequence)
        if event.snapshot and not cache.synced:
            return (event.epoch, event.sequence) < seen
        return (event.epoch, event.sequence) <= seen

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
            self._shrink_largest()

    def _shrink_largest(self) -> None:
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

    def _drop(self, upstream_id: str, cache: _Cache) -> None:
        self._evict(upstream_id, cache, list(cache.blocks))

    def _remove(self, upstream_id: str, cache: _Cache, block: int) -> None:
        del cache.blocks[block]
        self._count -= 1
        holders = self._holders[block]
        holders.discard(upstream_id)
        if not holders:
            del self._holders[block]
