"""Effects that a replica asks its owner to carry out, in order."""

import enum

import attrs

from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records


class Role(enum.Enum):
    """The roles of a replica, which are the states of ``voter.toml``."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    REFUSED = 'refused'
    FAILED = 'failed'


class FailureReason(enum.Enum):
    """Why a proposal failed.

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

    Entries from ``truncate_from`` on are dropped first. A snapshot replaces
    all entries up to its index. Then ``entries`` are appended.
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
    """Replace the owner's state with a snapshot."""

    snapshot: records.Snapshot


@attrs.frozen
class ProposalAppended:
    """A proposal was appended to the log.

    It is committed once an Apply effect has an entry of this index and term.
    """

    token: str
    index: int
    term: int


@attrs.frozen
class ProposalFailed:
    """A proposal failed, or its outcome is unknown; see ``reason``."""

    token: str
    reason: FailureReason
    leader: str | None = None


@attrs.frozen
class ReadReady:
    """The applied state can now serve the read linearizably."""

    token: str
    index: int


@attrs.frozen
class ReadFailed:
    """The read can't be served, as this replica does not lead."""

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
    """Take a snapshot of the state at the applied ``index``.

    The owner answers with a SnapshotTaken event.
    """

    index: int


Effect = (
    Send
    | Persist
    | Apply
    | InstallSnapshot
    | ProposalAppended
    | ProposalFailed
    | ReadReady
    | ReadFailed
    | RoleChanged
    | TakeSnapshot
)
