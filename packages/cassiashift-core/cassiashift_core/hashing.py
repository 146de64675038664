"""Stable hashes and rendezvous ranking.

Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of strings, equal on every host and run."""
    return xxhash.xxh3_64_intdigest('\x1f'.join(parts).encode())


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in their order of preference for a key.

    Removing a candidate does not change the order of the others.
    """
    return sorted(
        candidates,
        key=lambda name: (stable_hash(key, name), name),
        reverse=True,
    )


def stable_digest(data: bytes) -> int:
    """Return a 64-bit digest of bytes, equal on every host and run."""
    return xxhash.xxh3_64_intdigest(data)


def short_id(*parts: str) -> int:
    """Return a 32-bit hash of strings, equal on every host and run."""
    return stable_hash(*parts) & 0xFFFFFFFF
