"""Messages between replicas.

Each message has a ``term``. ``incarnation`` names the data folder of the
sender in requests for votes and in replies, and the expected folder of the
receiver in messages from the leader; empty if that is not known.
"""

import attrs

from cassiashift_core.consensus import records


@attrs.frozen
class VoteRequest:
    """Ask for a vote, or whether one would be granted (``pre_vote``)."""

    term: int
    last_index: int
    last_term: int
    incarnation: str
    pre_vote: bool = False
    handover: bool = False


@attrs.frozen
class VoteReply:
    """Answer a request for a vote in the term of that request."""

    term: int
    request_term: int
    granted: bool
    incarnation: str
    pre_vote: bool = False


@attrs.frozen
class AppendEntries:
    """Carry entries, the commit index and the leader's heartbeat."""

    term: int
    round: int
    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[records.Entry, ...] = ()
    incarnation: str = ''


@attrs.frozen
class AppendReply:
    """Acknowledge synced entries, or tell where the logs may differ.

    Attributes:
        index: last matching index, or the rejected previous index.
        hint_index: first index of the conflicting term, or the index after
            the last entry.
        hint_term: the conflicting term, or 0 if the log is too short.
    """

    term: int
    round: int
    success: bool
    index: int
    incarnation: str
    hint_index: int = 0
    hint_term: int = 0


@attrs.frozen
class SnapshotChunk:
    """Carry a part of a snapshot, at a byte offset."""

    term: int
    round: int
    index: int
    entry_term: int
    voters: records.VoterSet
    offset: int
    total: int
    data: bytes
    incarnation: str = ''


@attrs.frozen
class SnapshotReply:
    """Tell how many bytes of a snapshot have arrived."""

    term: int
    round: int
    index: int
    received: int
    incarnation: str


@attrs.frozen
class TimeoutNow:
    """Ask a follower to start an election at once."""

    term: int


@attrs.frozen
class IdentityRefused:
    """Tell a host that its data folder must not vote.

    Attributes:
        incarnation: the folder that the voter set knows.
        has_lost_entries: it is that folder, but the leader has seen it
            lose entries that it had acknowledged.
    """

    term: int
    incarnation: str
    has_lost_entries: bool = False


Message = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | IdentityRefused
)

MESSAGE_TYPES = {
    cls.__name__: cls
    for cls in (
        VoteRequest,
        VoteReply,
        AppendEntries,
        AppendReply,
        SnapshotChunk,
        SnapshotReply,
        TimeoutNow,
        IdentityRefused,
    )
}
