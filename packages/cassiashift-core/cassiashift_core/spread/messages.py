"""Messages of the spread; plain types that msgspec can encode."""

import attrs


@attrs.frozen
class Known:
    """A control host knows that this revision is committed."""

    revision: int


@attrs.frozen
class Pull:
    """Ask for what follows a revision; renews a subscription."""

    revision: int
    subscribe: bool = False


@attrs.frozen
class Delta:
    """One change, from the revision before it."""

    revision: int
    previous: int
    data: bytes


@attrs.frozen
class Deltas:
    """Changes in order; an answer to a pull, or a push.

    Attributes:
        head: the sender's revision.
        age_s: seconds since the sender's path touched a quorum.
        gone: the sender no longer has what follows the child's revision.
        subscribed: the sender will push to the child.
    """

    items: tuple[Delta, ...]
    head: int
    age_s: float
    gone: bool = False
    subscribed: bool = False
    push: bool = False


@attrs.frozen
class SnapshotPull:
    """Ask for a part of a snapshot; revision 0 asks for any."""

    revision: int = 0
    index: int = 0


@attrs.frozen
class SnapshotPart:
    """One part of a snapshot.

    Attributes:
        digest: 64-bit hash of the whole snapshot.
    """

    revision: int
    index: int
    count: int
    digest: int
    data: bytes


@attrs.frozen
class RevisionQuery:
    """Ask a voter for the revision that it knows to be committed."""

    nonce: int


@attrs.frozen
class RevisionReply:
    """Answer a revision query."""

    nonce: int
    revision: int


MESSAGE_TYPES = (
    Known,
    Pull,
    Deltas,
    SnapshotPull,
    SnapshotPart,
    RevisionQuery,
    RevisionReply,
)
