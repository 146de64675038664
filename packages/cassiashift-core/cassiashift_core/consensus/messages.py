"""Messages between replicas.

Each message has a ``term``. ``incarnation`` identifies the sender's data
folder in vote requests and in replies, and the data folder expected at the
receiver in messages from the leader; it is empty if that is unknown.
"""

import attrs

from cassiashift_core.consensus import records


@attrs.frozen
class VoteRequest:
    """Request a vote, or ask if it would be granted (``pre_vote``).

    Attributes:
        restarted: all voters are known to have restarted without a leader.
    """

    term: int
    last_index: int
    last_term: int
    incarnation: str
    pre_vote: bool = False
    handover: bool = False
    restarted: bool = False


@attrs.frozen
class VoteReply:
    """Answer to the vote request that was sent in ``request_term``."""

    term: int
    request_term: int
    granted: bool
    incarnation: str
    pre_vote: bool = False


@attrs.frozen
class AppendEntries:
    """Entries and commit index from the leader; also its heartbeat."""

    term: int
    round: int
    prev_index: int
    prev_term: int
    commit: int
    entries: tuple[records.Entry, ...] = ()
    incarnation: str = ''


@attrs.frozen
class AppendReply:
    """Acknowledgement of synced entries, or a hint where the logs differ.

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
    """A part of a snapshot, at a byte offset."""

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
    """Acknowledgement of the first ``received`` bytes of a snapshot."""

    term: int
    round: int
    index: int
    received: int
    incarnation: str


@attrs.frozen
class TimeoutNow:
    """Request to a follower to start an election at once."""

    term: int


@attrs.frozen
class IdentityRefused:
    """Notice to a host that its data folder must not vote.

    Attributes:
        incarnation: the data folder recorded in the voter set.
        has_lost_entries: the data folder is the recorded one, but it has
            lost entries that it had acknowledged to the leader.
    """

    term: int
    incarnation: str
    has_lost_entries: bool = False


@attrs.frozen
class RestartProbe:
    """Ask a voter if it has heard no leader since its start.

    Attributes:
        start: identifies the start of the sender's process.
    """

    term: int
    start: str


@attrs.frozen
class RestartReport:
    """State that the sender has heard no leader since its start.

    Attributes:
        probe_start: ``start`` of the probe.
    """

    term: int
    probe_start: str
    last_term: int
    last_index: int


Message = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | IdentityRefused
    | RestartProbe
    | RestartReport
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
        RestartProbe,
        RestartReport,
    )
}
