"""Settings, events, effects and status of the spread of revisions."""

import enum
from typing import Any

import attrs


class Phase(enum.Enum):
    """How far a process has got since its start."""

    RECOVERING = 'recovering'
    CATCHING_UP = 'catching_up'
    READY = 'ready'


@attrs.frozen
class SpreadConfig:
    """Settings of one process.

    Attributes:
        voters: all control hosts.
        parents: hosts to pull from; unused on a control host.
        max_children: hosts that may subscribe here, 0 for a leaf.
        window_deltas: deltas kept for children.
        window_bytes: bytes of deltas kept for children.
    """

    host: str
    voters: tuple[str, ...]
    parents: tuple[str, ...] = ()
    max_children: int = 128
    window_deltas: int = 1024
    window_bytes: int = 1_048_576

    @property
    def is_control(self) -> bool:
        """Tell whether the process is a control host."""
        return self.host in self.voters

    @property
    def majority(self) -> int:
        """Return the number of voters that make a quorum."""
        return len(self.voters) // 2 + 1


@attrs.frozen
class Restarted:
    """The process has started.

    Attributes:
        held: last index in the log of a control host, otherwise 0.
    """

    held: int = 0


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
    """A control host has learned that the log is committed up to here."""

    index: int


@attrs.frozen
class VotersChanged:
    """The set of voters or of parents is now the given one."""

    voters: tuple[str, ...]
    parents: tuple[str, ...] = ()


@attrs.frozen
class SnapshotTaken:
    """Answer to ``ProvideSnapshot``: the whole state at a revision."""

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
    """Apply a change to the state; in force at once after ``Ready``."""

    revision: int
    data: bytes


@attrs.frozen
class ApplySnapshot:
    """Replace the state; in force at once after ``Ready``."""

    revision: int
    data: bytes


@attrs.frozen
class ProvideSnapshot:
    """Answer with ``SnapshotTaken`` of the state applied so far."""


@attrs.frozen
class Ready:
    """What has been applied is in force; the process may serve."""


@attrs.frozen
class SpreadStatus:
    """Status for operators.

    Attributes:
        revision: the revision applied.
        head: the highest revision heard of.
        age_s: seconds since the path here last touched a quorum.
        cut_off: ``age_s`` is above the limit.
    """

    phase: Phase
    revision: int
    head: int
    age_s: float
    cut_off: bool
