"""Release of revisions by control hosts.

A revision is sent to other processes only once a majority of the control
hosts knows that it is committed, so that any later quorum read finds it.
"""

import attrs

from cassiashift_core.spread import events


@attrs.define
class Control:
    """The committed revisions that each control host knows of.

    Attributes:
        last_index_at_start: last index in this host's log when it started.
        commit_index: last index of the log that this host knows to be
            committed.
    """

    cfg: events.SpreadConfig
    last_index_at_start: int = 0
    commit_index: int = 0
    _revisions: dict[str, int] = attrs.field(factory=dict)
    _last_contact_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def has_recovered(self) -> bool:
        """Whether the whole log of the last run is known to be committed.

        An empty log may have been lost with the disk. Such a host has
        recovered when it learns of a commit from the other control hosts.
        """
        return self.commit_index >= max(self.last_index_at_start, 1)

    def record_revision(self, host: str, revision: int, now: float) -> None:
        """Store the committed revision and the contact of a control host."""
        self._revisions[host] = max(revision, self._revisions.get(host, 0))
        self._last_contact_s[host] = now

    def own_revision(self) -> int:
        """Return the revision that this host knows to be committed, or 0."""
        return self._revisions.get(self.cfg.host, 0)

    def released_revision(self) -> int:
        """Return the highest revision that a majority knows of, or 0."""
        return self._majority_value(self._revisions, 0)

    def quorum_contact_s(self, now: float) -> float:
        """Return the latest time since which a majority was in contact."""
        self._last_contact_s[self.cfg.host] = now
        return self._majority_value(self._last_contact_s, -float('inf'))

    def _majority_value(
        self, values: dict[str, float], default: float
    ) -> float:
        ranked = sorted(
            (values.get(voter, default) for voter in self.cfg.voters),
            reverse=True,
        )
        return ranked[self.cfg.majority - 1]
