"""Messages between members; plain types that msgspec can encode."""

import attrs

from cassiashift_core.membership import records


@attrs.frozen
class Ping:
    """Ask a member whether it is alive; ``updates`` ride along."""

    sequence: int
    updates: tuple[records.Record, ...] = ()


@attrs.frozen
class PingRequest:
    """Ask a member to ping another one on the sender's behalf."""

    sequence: int
    target: str
    updates: tuple[records.Record, ...] = ()


@attrs.frozen
class Ack:
    """Answer a ping, or forward the answer of the target."""

    sequence: int
    updates: tuple[records.Record, ...] = ()


@attrs.frozen
class Nack:
    """State that the target of a ping request has not answered."""

    sequence: int


@attrs.frozen
class SyncDigest:
    """Hashes of the buckets of the sender's table."""

    buckets: tuple[int, ...]


@attrs.frozen
class SyncRows:
    """Rows of buckets that differ.

    Attributes:
        wanted: buckets whose rows the sender wants in return.
        truncated: more rows differ than fit.
    """

    rows: tuple[records.Record, ...]
    wanted: tuple[int, ...] = ()
    truncated: bool = False


@attrs.frozen
class Heartbeat:
    """An agent's sign of life.

    Attributes:
        in_flight: requests in progress as the agent counts them.
        holders: digest of the holders that the agent knows.
    """

    incarnation: int
    in_flight: int = 0
    holders: int = 0


@attrs.frozen
class Announce:
    """The content of an agent's record."""

    record: records.Record


@attrs.frozen
class HeartbeatAck:
    """Answer a heartbeat.

    Attributes:
        incarnation: the incarnation of the agent that the entry holds.
        status: the status of the agent that the entry holds.
        known: whether the entry holds the content of this incarnation.
        holders: the entries that should get the agent's heartbeats; empty
            if they are the ones that the agent knows.
    """

    incarnation: int
    status: records.Status
    known: bool
    holders: tuple[records.Contact, ...]


@attrs.frozen
class Departure:
    """State that the sender stops."""

    record: records.Record


@attrs.frozen
class LoadReport:
    """Requests in progress on the agents whose first holder reports."""

    in_flight: int


@attrs.frozen
class SummaryPull:
    """Ask for summaries that are newer than the versions given."""

    versions: dict[str, int]


@attrs.frozen
class SummaryPush:
    """Newer summaries."""

    summaries: tuple[records.Summary, ...]


MESSAGE_TYPES = (
    Ping,
    PingRequest,
    Ack,
    Nack,
    SyncDigest,
    SyncRows,
    Heartbeat,
    Announce,
    HeartbeatAck,
    Departure,
    LoadReport,
    SummaryPull,
    SummaryPush,
)
