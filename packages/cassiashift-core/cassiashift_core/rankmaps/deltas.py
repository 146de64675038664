"""Orders to prepare a map, stated as changes of a map that ranks know.

A whole map of 63 ranks takes 4 KB. Sent to every rank of a group within one
phase of a switch, it occupies a link of 4 Mbit/s for half a second, and orders
to hold a pass behind it arrive too late. A switch changes few of the rows.
"""

import hashlib
import itertools

import attrs

from cassiashift_core.rankmaps import model

_DIGEST_BYTES = 8
# No expert.
NONE = -1


@attrs.frozen
class MapChange:
    """An order to prepare a map that differs little from a known one.

    Attributes:
        host: the sender.
        order: the order, without the map.
        base: version of the known map, of the same epoch.
        ranks: with ``sets`` and ``experts``, the sizes that map 0 follows
            from.
        moves: set, rank, an expert that the rank loses and one that it
            gains (``NONE`` if it only loses or gains one), one after the
            other, which takes fewer bytes than rows.
        digest: of the whole new map.
    """

    host: str
    order: model.Order
    base: int
    ranks: int
    sets: int
    experts: int
    moves: tuple[int, ...]
    digest: bytes


@attrs.frozen
class MapRequest:
    """Requests the whole map of an order that could not be completed."""

    host: str
    version: int


def digest(lists: model.ExpertLists) -> bytes:
    """Return a digest of a map."""
    text = repr(lists).encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()


def change(
    host: str, order: model.Order, base: int, base_lists: model.ExpertLists
) -> MapChange:
    """Return an order to prepare a map as a change of another one.

    Args:
        host: the sender.
        base: version of the other map.
        base_lists: its content; of the same sizes.
    """
    moves = (
        (set_, rank, lost, gained)
        for set_, (old, new) in enumerate(
            zip(base_lists, order.lists, strict=True)
        )
        for rank, row in enumerate(new)
        for lost, gained in itertools.zip_longest(
            sorted(set(old[rank]).difference(row)),
            sorted(set(row).difference(old[rank])),
            fillvalue=NONE,
        )
    )
    experts = 1 + max(
        (expert for row in order.lists[0] for expert in row), default=0
    )
    return MapChange(
        host=host,
        order=attrs.evolve(order, lists=()),
        base=base,
        ranks=len(order.lists[0]),
        sets=len(order.lists),
        experts=experts,
        moves=tuple(itertools.chain.from_iterable(moves)),
        digest=digest(order.lists),
    )


@attrs.define
class Changes:
    """States orders to prepare a map as changes of the map in use.

    All ranks get the same map within one phase of a switch, so the two maps
    are compared once and not for each rank.

    Attributes:
        host: the sender.
    """

    host: str
    # The newest change, the epoch of its base, and the whole new map.
    _newest: tuple[MapChange, int, model.ExpertLists] | None = None

    def change(
        self,
        order: model.Order,
        base: int,
        base_lists: model.ExpertLists,
    ) -> MapChange:
        """Return an order to prepare a map as a change of another one.

        Args:
            base: version of the other map, in the epoch of the order.
            base_lists: its content; of the same sizes.
        """
        if self._newest is not None:
            known, epoch, lists = self._newest
            if (epoch, known.base) == (order.epoch, base) and (
                lists is order.lists
            ):
                return attrs.evolve(known, order=attrs.evolve(order, lists=()))
        message = change(self.host, order, base, base_lists)
        self._newest = message, order.epoch, order.lists
        return message


def complete(
    message: MapChange, base_lists: model.ExpertLists | None
) -> model.Order | None:
    """Return the order with the whole map; None if it can't be restored.

    Args:
        base_lists: content of the base as far as it is known here; not needed
            for map 0.
    """
    if base_lists is None and message.base == 0:
        base_lists = model.first_map(
            model.GroupShape(
                message.ranks, message.sets, message.experts, 0, 0
            )
        )
    if base_lists is None:
        return None
    lists = [[set(row) for row in rows] for rows in base_lists]
    numbers = iter(message.moves)
    try:
        for set_, rank, lost, gained in zip(*[numbers] * 4, strict=True):
            lists[set_][rank].discard(lost)
            lists[set_][rank].add(gained)
    except (IndexError, ValueError):
        return None
    whole = tuple(
        tuple(tuple(sorted(row - {NONE})) for row in rows) for rows in lists
    )
    # All ranks must prepare the same map under one version.
    if digest(whole) != message.digest:
        return None
    return attrs.evolve(message.order, lists=whole)
