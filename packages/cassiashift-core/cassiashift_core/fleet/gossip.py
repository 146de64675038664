"""Selects the entries that send frequent hellos to other data centres.

If every entry sent a hello to every other one each second, the traffic
between data centres would grow with the square of the fleet. So only the
entries with a disk, which vote, and one relay per data centre do. The relay
forwards the sightings of the upstreams in its data centre. All other entries
send frequent hellos within their data centre, where traffic is free, and rare
ones to the rest.
"""

from collections.abc import Iterable

from cassiashift_core.fleet import messages


def is_relay(
    own: messages.EntryRecord, near: Iterable[messages.EntryRecord]
) -> bool:
    """Return whether an entry is the relay of its data centre.

    Args:
        near: the other entries of the data centre that are alive.
    """
    return all(_relay_order(own) < _relay_order(other) for other in near)


def sends_frequent_hellos(
    own: messages.EntryRecord, near: Iterable[messages.EntryRecord]
) -> bool:
    """Return whether an entry sends frequent hellos to other data centres."""
    return own.has_disk or is_relay(own, near)


def _relay_order(record: messages.EntryRecord) -> tuple[bool, bool, str]:
    return record.is_leaving, not record.has_disk, record.host
