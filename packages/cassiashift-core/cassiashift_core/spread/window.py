"""A bounded window of the latest deltas."""

import collections
import itertools

import attrs

from cassiashift_core.spread import messages

MAX_REPLY_BYTES = 65_536


@attrs.define
class Window:
    """Consecutive deltas; the oldest are removed beyond a bound.

    Attributes:
        head: the revision after the latest delta or snapshot.
        size_bytes: size of the data of all deltas.
    """

    max_deltas: int
    max_bytes: int
    head: int = 0
    size_bytes: int = 0
    _items: collections.deque[messages.Delta] = attrs.field(
        factory=collections.deque
    )

    def __len__(self) -> int:
        """Return the number of deltas."""
        return len(self._items)

    @property
    def base(self) -> int:
        """Return the lowest revision to which the kept deltas apply."""
        return self._items[0].previous if self._items else self.head

    def reset(self, revision: int) -> None:
        """Remove all deltas, as a snapshot replaced the state."""
        self._items.clear()
        self.size_bytes = 0
        self.head = revision

    def append(self, delta: messages.Delta) -> None:
        """Add the delta that follows the head."""
        self._items.append(delta)
        self.size_bytes += len(delta.data)
        self.head = delta.revision
        while self._items and self._exceeds_bounds():
            self.size_bytes -= len(self._items.popleft().data)

    def since(
        self, revision: int, limit: int | None = None
    ) -> tuple[messages.Delta, ...] | None:
        """Return the deltas after a revision, None if they are not kept.

        At most ``MAX_REPLY_BYTES`` are returned, but at least one delta
        if it is within the limit.

        Args:
            revision: the revision of a child.
            limit: highest revision that the child may get.
        """
        if revision >= self.head:
            return ()
        newer = list(
            itertools.takewhile(
                lambda item: item.revision > revision, reversed(self._items)
            )
        )
        if not newer or newer[-1].previous != revision:
            return None
        newer.reverse()
        return _limit_size(newer, limit)

    def _exceeds_bounds(self) -> bool:
        if len(self._items) > self.max_deltas:
            return True
        return self.size_bytes > self.max_bytes


def _limit_size(
    items: list[messages.Delta], limit: int | None
) -> tuple[messages.Delta, ...]:
    chosen = []
    size = 0
    for item in items:
        size += len(item.data)
        if chosen and size > MAX_REPLY_BYTES:
            break
        if limit is not None and item.revision > limit:
            break
        chosen.append(item)
    return tuple(chosen)
