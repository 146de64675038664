"""Effects that a replica asks its owner to carry out, in order."""

import enum

import attrs

from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records


class Role(enum.Enum):
    """The roles of a replica; ``voter.toml`` holds the chart."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    REFUSED = 'refused'
    FAILED = 'failed'


class Reason(enum.Enum):
    """Why a proposal has failed.

    ``REPLACED`` is final: another entry was committed in its place. After
    ``UNKNOWN`` the proposal may or may not be committed. All others mean
    that it was never appended.
    """

    NOT_LEADER = 'not_leader'
    HANDING_OVER = 'handing_over'
    OVERLOADED = 'overloaded'
    CHANGE_PENDING = 'change_pending'
    INVALID_CHANGE = 'invalid_change'
    REPLACED = 'replaced'
    UNKNOWN = 'unknown'


@attrs.frozen
class Send:
    """Send a message; it may be lost."""

    receiver: str
    message: messages.Message


@attrs.frozen
class Persist:
    """Make a change durable, in the order of the sequence numbers.

    Entries from ``truncate_from`` on are dropped first. A snapshot stands
    for all entries up to its index. New entries follow.
    """

    sequence: int
    hard_state: records.HardState | None = None
    entries: tuple[records.Entry, ...] = ()
    truncate_from: int | None = None
    snapshot: records.Snapshot | None = None


@attrs.frozen
class Apply:
    """Apply committed entries of all kinds, in order."""

    entries: tuple[records.Entry, ...]


@attrs.frozen
class InstallSnapshot:
    """Replace the owner's state."""

    snapshot: records.Snapshot


@attrs.frozen
class Proposed:
    """A proposal was appended; it is done when Apply shows index and term."""

    token: str
    index: int
    term: int


@attrs.frozen
class ProposalFailed:
    """A proposal will not be applied, or its fate is unknown."""

    token: str
    reason: Reason
    leader: str | None = None


@attrs.frozen
class ReadReady:
    """The applied state now answers the read linearizably."""

    token: str
    index: int


@attrs.frozen
class ReadFailed:
    """The read can't be answered here."""

    token: str
    leader: str | None = None


@attrs.frozen
class RoleChanged:
    """The role, the term or the known leader has changed."""

    role: Role
    term: int
    leader: str | None


@attrs.frozen
class TakeSnapshot:
    """Answer with SnapshotTaken, for the state at the applied index."""

    index: int


Effect = (
    Send
    | Persist
    | Apply
    | InstallSnapshot
    | Proposed
    | ProposalFailed
    | ReadReady
    | ReadFailed
    | RoleChanged
    | TakeSnapshot
)
