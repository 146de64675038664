"""Selects the entries that messages to many entries are sent to.

If every entry sent a hello to every other one each second, the traffic
between data centres would grow with the square of the fleet. So only the
entries with a disk, which vote, and one relay per data centre do. The relay
forwards the sightings of the upstreams in its data centre. All other entries
send frequent hellos within their data centre, where traffic is free, and rare
ones to the rest.

What is renewed every few seconds, as slowdowns are, is relayed in large
fleets: each entry that needs the renewal sends it to ``FAN_OUT`` others. One
entry that sent it to 1,000 others would exceed its bytes for control.
"""

from collections.abc import Collection
from collections.abc import Iterable

from cassiashift_core.fleet import messages
from cassiashift_core import hashing

# Up to this number of others, renewals are sent to each of them.
MOST_DIRECT = 32
# A renewal misses an entry with a probability of about exp(-FAN_OUT).
FAN_OUT = 8


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


def renewal_targets(
    own_host: str, hosts: Collection[str], wave: str, is_first: bool
) -> list[str]:
    """Return the hosts that an entry sends a renewal to.

    Args:
        hosts: those of the other entries.
        wave: changes the choice from one renewal to the next.
        is_first: it was not received from another entry.
    """
    if len(hosts) <= MOST_DIRECT:
        return list(hosts) if is_first else []
    return hashing.rendezvous_order(f'{own_host} {wave}', hosts)[:FAN_OUT]


def _relay_order(record: messages.EntryRecord) -> tuple[bool, bool, str]:
    return record.is_leaving, not record.has_disk, record.host
