"""Versions that are prepared to make earlier ones dead."""

import attrs

# The first version of an agent's start is up to this many versions above
# those that ranks report.
MAX_VERSION_SKIP = 1 << 20
# A version that has no effect for this long was refused.
REFUSED_AFTER_S = 0.8


@attrs.define
class SupersedingVersions:
    """The versions that one switch or recovery prepares, by rank.

    An engine refuses a version that is not above all that it has had, and it
    does not report one that it did not finish to copy.

    Attributes:
        size: ranks of the group.
        highest: the highest version so far.
    """

    size: int
    highest: int = 0
    _sent: dict[int, tuple[int, float]] = attrs.field(factory=dict)

    def version_for(self, rank: int, floor: int, now: float) -> int:
        """Return the version to prepare at a rank now, at least ``floor``."""
        version, since = self._sent.get(rank, (floor, now))
        if version < floor:
            version, since = floor, now
        elif now - since > REFUSED_AFTER_S:
            version += 2 * MAX_VERSION_SKIP * self.size
            since = now
        self._sent[rank] = (version, since)
        self.highest = max(self.highest, version)
        return version
