"""Settings, events, effects and status of the distribution of revisions."""

import enum
from typing import Any

import attrs


class Phase(enum.Enum):
    """Progress of a process since its start.

    RECOVERING until it is known what was committed before the start,
    CATCHING_UP until that is applied (not on control hosts), then READY.
    """

    RECOVERING = 'recovering'
    CATCHING_UP = 'catching_up'
    READY = 'ready'


@attrs.frozen
class SpreadConfig:
    """Settings of one process.

    Attributes:
        voters: all control hosts.
        parents: hosts from which to pull; unused on a control host.
        max_children: largest number of subscribers, 0 for a leaf.
        window_deltas: largest number of deltas kept for children.
        window_bytes: largest size of the deltas kept for children.
    """

    host: str
    voters: tuple[str, ...]
    parents: tuple[str, ...] = ()
    max_children: int = 128
    window_deltas: int = 1024
    window_bytes: int = 1_048_576

    @property
    def is_control(self) -> bool:
        """Whether the process is a control host."""
        return self.host in self.voters

    @property
    def majority(self) -> int:
        """Return the number of voters that make a quorum."""
        return len(self.voters) // 2 + 1


@attrs.frozen
class Restarted:
    """The process has started.

    Attributes:
        last_index: last index in the log of a control host, 0 elsewhere.
    """

    last_index: int = 0


@attrs.frozen
class Restored:
    """A control host has read a snapshot from its own disk."""

    revision: int
    data: bytes


@attrs.frozen
class Committed:
    """A control host has learned that a revision is committed."""

    revision: int
    data: bytes


@attrs.frozen
class CommitAdvanced:
    """A control host has learned that the log is committed up to an index."""

    index: int


@attrs.frozen
class VotersChanged:
    """The voters or the parents have changed; both are listed in full."""

    voters: tuple[str, ...]
    parents: tuple[str, ...] = ()


@attrs.frozen
class SnapshotTaken:
    """Answer to ``ProvideSnapshot``: the whole encoded state at a revision."""

    revision: int
    data: bytes


@attrs.frozen
class Tick:
    """Time has passed; sent every ``TICK_INTERVAL_S``."""


@attrs.frozen
class Received:
    """A message has arrived; ``sender`` is the authenticated host."""

    sender: str
    message: Any


@attrs.frozen
class Send:
    """Send a message to a host; it may get lost."""

    receiver: str
    message: Any


@attrs.frozen
class ApplyDelta:
    """Apply a delta to the state; in force at once if after ``Ready``."""

    revision: int
    data: bytes


@attrs.frozen
class ApplySnapshot:
    """Replace the state; in force at once if after ``Ready``."""

    revision: int
    data: bytes


@attrs.frozen
class ProvideSnapshot:
    """Answer with ``SnapshotTaken`` of the state applied so far."""


@attrs.frozen
class Ready:
    """The applied state is in force from now on; the process may serve."""


@attrs.frozen
class SpreadStatus:
    """Status for operators.

    Attributes:
        revision: the revision applied.
        head: the highest revision that a message has named.
        age_s: seconds since the latest contact with a quorum of control
            hosts, made by this process or reported by a parent.
        cut_off: ``age_s`` is above ``CUT_OFF_S``.
    """

    phase: Phase
    revision: int
    head: int
    age_s: float
    cut_off: bool
