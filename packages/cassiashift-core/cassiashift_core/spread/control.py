"""Release of revisions by control hosts.

A revision is given to others only once a majority of the control hosts
knows that it is committed, so that a later read from any majority finds it.
"""

import attrs

from cassiashift_core.spread import events


@attrs.define
class Control:
    """What this control host and the others know to be committed.

    Attributes:
        held: last index in this host's log when it started.
        commit_index: how far this host knows the log to be committed.
    """

    cfg: events.SpreadConfig
    held: int = 0
    commit_index: int = 0
    _known: dict[str, int] = attrs.field(factory=dict)
    _heard_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_settled(self) -> bool:
        """Tell whether this host again knows all that it ever knew.

        An empty log may be one that was lost: it takes a commit of the
        other control hosts to tell.
        """
        return self.commit_index >= max(self.held, 1)

    def learn(self, host: str, revision: int, now: float) -> None:
        """Note what a control host knows."""
        self._known[host] = max(revision, self._known.get(host, 0))
        self._heard_s[host] = now

    def known(self) -> int:
        """Return the revision that this host knows to be committed."""
        return self._known.get(self.cfg.host, 0)

    def released(self) -> int:
        """Return the highest revision that a majority knows."""
        return self._of_majority(self._known, 0)

    def contact_s(self, now: float) -> float:
        """Return the time at which a majority was last heard together."""
        self._heard_s[self.cfg.host] = now
        return self._of_majority(self._heard_s, -float('inf'))

    def _of_majority(self, values: dict[str, float], default: float) -> float:
        ranked = sorted(
            (values.get(voter, default) for voter in self.cfg.voters),
            reverse=True,
        )
        return ranked[self.cfg.majority - 1]
