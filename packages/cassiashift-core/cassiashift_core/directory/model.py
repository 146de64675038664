"""Configuration, input and output of the directory."""

import attrs


@attrs.frozen
class DirectoryConfig:
    """Settings of the directory.

    Attributes:
        addresses: minimum of addresses in an answer.
        max_addresses: maximum of addresses in an answer.
        ttl_s: mean time to live of an answer.
        ttl_jitter: maximum deviation from ``ttl_s``, as a share of it.
        workspace_share: part of an entry that one workspace may fill
            before it is spread over one more entry.
        overloaded_above: load above which an entry counts as overloaded and
            is skipped.
        recovered_below: load below which it no longer does.
        max_cached: maximum of cached rankings.
        kept_ranks: entries in a cached ranking.
    """

    addresses: int = 2
    max_addresses: int = 8
    ttl_s: float = 10.0
    ttl_jitter: float = 0.2
    workspace_share: float = 0.5
    overloaded_above: float = 0.9
    recovered_below: float = 0.7
    max_cached: int = 4096
    kept_ranks: int = 32

    @property
    def max_ttl_s(self) -> float:
        """Return the longest time to live that an answer can have."""
        return self.ttl_s * (1 + self.ttl_jitter)


@attrs.frozen
class EntryView:
    """An entry as the directory sees it.

    Attributes:
        address: where callers connect.
        load: utilisation of the entry, 1.0 when full.
    """

    id: str
    address: str
    data_centre: str = ''
    load: float = 0.0
    draining: bool = False
    alive: bool = True


@attrs.frozen
class Answer:
    """Entries for a workspace, the best first.

    Attributes:
        ttl_s: how long the caller may cache the answer.
    """

    addresses: tuple[str, ...]
    ttl_s: float
