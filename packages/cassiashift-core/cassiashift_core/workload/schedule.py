"""How often an entry sends its work digest, and to whom.

The bytes that an entry sends are limited, so the interval grows with the
number of busy entries and the size of a digest. Once it has reached its
maximum, a digest is sent to a part of the busy entries only; the others take
this entry for idle. So neither bytes nor time grow further.
"""

from collections.abc import Collection

import attrs

from cassiashift_core import hashing

SHORTEST_INTERVAL_S = 0.1
# A stream takes one to two seconds: an older figure is about other requests.
LONGEST_INTERVAL_S = 1.0
# Of the 11 KB that control may cost an entry in a second.
BYTES_PER_S = 6000.0
# Added to a message by framing, TCP and IP, and by the acknowledgement.
TRANSPORT_BYTES = 110
# Part of the bytes that what is sent along with the rows may take where the
# rows use them up. The rows are then sent later by this part at most.
EXTRA_SHARE = 0.1


@attrs.frozen
class Plan:
    """When the next digest is due, and who gets this one."""

    interval_s: float
    hosts: tuple[str, ...]


def extra_bytes(
    count: int, size: int, bytes_per_s: float = BYTES_PER_S
) -> int:
    """Return the bytes that may be added to a digest without delaying it.

    Args:
        count: entries that need the digest.
        size: bytes of the encoded message without them.
    """
    cost = size + TRANSPORT_BYTES
    unused = bytes_per_s * SHORTEST_INTERVAL_S / max(1, count) - cost
    return int(max(unused, EXTRA_SHARE * cost))


def plan(
    own_host: str,
    hosts: Collection[str],
    size: int,
    bytes_per_s: float = BYTES_PER_S,
) -> Plan:
    """Return the plan for a digest of a size that several entries need.

    Args:
        size: bytes of the encoded message.
        bytes_per_s: bytes that the entry may send in a second.
    """
    cost = size + TRANSPORT_BYTES
    interval_s = max(SHORTEST_INTERVAL_S, len(hosts) * cost / bytes_per_s)
    if interval_s <= LONGEST_INTERVAL_S:
        return Plan(interval_s, tuple(hosts))
    count = max(1, int(bytes_per_s * LONGEST_INTERVAL_S / cost))
    order = hashing.rendezvous_order(own_host, hosts)
    return Plan(LONGEST_INTERVAL_S, tuple(order[:count]))
