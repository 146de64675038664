"""Messages of the distribution of revisions, encoded by msgspec."""

import attrs


@attrs.frozen
class Known:
    """The sender, a control host, knows that this revision is committed."""

    revision: int


@attrs.frozen
class Pull:
    """Ask for the deltas after a revision.

    Attributes:
        subscribe: also add or renew the sender's subscription.
    """

    revision: int
    subscribe: bool = False


@attrs.frozen
class Delta:
    """One change of the state.

    Attributes:
        previous: the revision to which it applies.
    """

    revision: int
    previous: int
    data: bytes


@attrs.frozen
class Deltas:
    """Deltas in order; an answer to a pull, or a push.

    Attributes:
        head: the highest revision that the sender releases to children.
        age_s: seconds since the latest contact with a quorum of control
            hosts, made by the sender or reported by its parent.
        gone: the sender no longer has the deltas after the child's
            revision, so the child needs a snapshot.
        subscribed: the sender pushes later deltas to the child.
    """

    items: tuple[Delta, ...]
    head: int
    age_s: float
    gone: bool = False
    subscribed: bool = False
    push: bool = False


@attrs.frozen
class SnapshotPull:
    """Ask for a part of a snapshot; revision 0 asks for the current one."""

    revision: int = 0
    index: int = 0


@attrs.frozen
class SnapshotPart:
    """One part of a snapshot.

    Attributes:
        count: number of parts of the snapshot.
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
    """Answer a revision query; ``nonce`` is that of the query."""

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
