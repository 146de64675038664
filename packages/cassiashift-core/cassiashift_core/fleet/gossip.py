"""Which entries speak often to other data centres, and about what.

If every entry said hello to every other one each second, the bytes between
data centres would grow with the square of the fleet. So only the entries with
a disk, which vote, and one relay of each data centre do. The relay passes on
which upstreams were heard in its data centre. All others speak often to their
neighbours, whose bytes are free, and seldom to the rest.
"""

from collections.abc import Iterable

from cassiashift_core.fleet import messages


def is_relay(
    own: messages.NodeRecord, near: Iterable[messages.NodeRecord]
) -> bool:
    """Tell whether an entry speaks for its data centre.

    Args:
        near: the other entries of the data centre that are alive.
    """
    return all(_order(own) < _order(other) for other in near)


def speaks_often(
    own: messages.NodeRecord, near: Iterable[messages.NodeRecord]
) -> bool:
    """Tell whether an entry says hello to other data centres often."""
    return own.has_disk or is_relay(own, near)


def _order(record: messages.NodeRecord) -> tuple[bool, bool, str]:
    return record.is_leaving, not record.has_disk, record.host
