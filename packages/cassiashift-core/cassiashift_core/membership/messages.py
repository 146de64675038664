"""Messages between members, encoded by msgspec."""

import attrs

from cassiashift_core.membership import records


@attrs.frozen
class Ping:
    """Ask a member whether it is alive; ``updates`` are piggybacked."""

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
    """Answer a ping, or forward the answer to a ping request."""

    sequence: int
    updates: tuple[records.Record, ...] = ()


@attrs.frozen
class Nack:
    """Report that the target of a ping request has not answered."""

    sequence: int


@attrs.frozen
class SyncDigest:
    """One hash for each bucket of the sender's table."""

    buckets: tuple[int, ...]


@attrs.frozen
class SyncRows:
    """Rows of the buckets whose hashes differ.

    Attributes:
        wanted: buckets of which the sender asks for the receiver's rows.
        truncated: the buckets hold more rows than fit into a message.
    """

    rows: tuple[records.Record, ...]
    wanted: tuple[int, ...] = ()
    truncated: bool = False


@attrs.frozen
class Heartbeat:
    """Sent by an agent to its holders at a fixed interval.

    Attributes:
        in_flight: requests in progress on the agent's upstreams.
        holders: digest of the holders to which the agent sends.
    """

    incarnation: int
    in_flight: int = 0
    holders: int = 0


@attrs.frozen
class Announce:
    """An agent's whole record, sent when the entry lacks its content."""

    record: records.Record


@attrs.frozen
class HeartbeatAck:
    """Acknowledge a heartbeat.

    Attributes:
        incarnation: the agent's incarnation in the entry's table, else 0.
        status: the agent's status in the entry's table.
        known: the table has the record of the heartbeat's incarnation.
        holders: the entries that should get the agent's heartbeats; empty
            if the agent has the same ones.
    """

    incarnation: int
    status: records.Status
    known: bool
    holders: tuple[records.Contact, ...]


@attrs.frozen
class Departure:
    """Announce that the sender leaves; the record has status ``LEFT``."""

    record: records.Record


@attrs.frozen
class LoadReport:
    """Requests in progress on agents whose first holder is the sender."""

    in_flight: int


@attrs.frozen
class SummaryPull:
    """Ask for the summaries with versions above those held, by data centre."""

    versions: dict[str, int]


@attrs.frozen
class SummaryPush:
    """Summaries that are newer than those of a pull."""

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
