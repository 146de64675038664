"""Messages between entries about the fleet."""

import enum

import attrs

from cassiashift_core import evacuation

# An issuer reserves no permit further ahead.
LONGEST_PATIENCE_S = 1.0
PERMIT_VALID_S = 0.5


class UpstreamState(enum.Enum):
    """State of an upstream, in the order in which the states follow."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@attrs.frozen
class Upstream:
    """One announcement of an upstream.

    Attributes:
        address: IP and port of its HTTP server.
        slots: requests that it runs at once; 0 if not announced.
        born_ms: start of the upstream, in milliseconds since 1970.
        sequence: number of the announcement, increasing within one start.
        cold_s: seconds for which it stays cold, by this announcement; None
            if it does not state that. Tables don't store it.
    """

    id: str
    service: str
    address: str
    data_centre: str
    state: UpstreamState = UpstreamState.READY
    slots: int = 0
    born_ms: int = 0
    sequence: int = 0
    cold_s: float | None = None

    @property
    def age_key(self) -> tuple[int, int]:
        """Return the key that orders two announcements of one id by age."""
        return self.born_ms, self.sequence


@attrs.frozen
class Sighting:
    """States that this announcement of an upstream was received."""

    id: str
    born_ms: int
    sequence: int


@attrs.frozen
class EntryRecord:
    """The state of an entry, as it announces itself.

    Attributes:
        host: IP address, which identifies it in the fleet.
        front: IP and port for callers.
        started_ns: start of the process, in nanoseconds since 1970; tells
            two processes of a host apart, not which one is newer.
        is_ready: callers may be directed to it.
        is_leaving: a planned stop has begun.
        has_disk: it has a data folder, open or not.
        store: identity of its data folder; empty until it is opened.
        founded: hosts of the voter set that it knows; empty before the log
            is started.
        document_version: version of the configuration that it uses.
        requests_per_s: recent rate of requests from callers.
        engine_requests_per_s: the part of it to services with an engine.
        capacity_per_s: rate that it can carry; 0 if not stated.
        is_slow: its events are delayed; callers should go elsewhere.
        disks_heard: entries with a disk, itself included, that it has heard
            within ``coldness.HEARD_S``; -1 if not stated.
    """

    host: str
    front: str
    data_centre: str
    region: str
    started_ns: int
    is_ready: bool = False
    is_leaving: bool = False
    has_disk: bool = False
    store: str = ''
    founded: tuple[str, ...] = ()
    document_version: int = 0
    requests_per_s: float = 0.0
    capacity_per_s: float = 0.0
    is_slow: bool = False
    disks_heard: int = -1
    engine_requests_per_s: float = 0.0


@attrs.frozen(order=True)
class SharedSecret:
    """A secret of the entries of a fleet.

    Each entry draws one at its start and adopts the oldest that it hears of,
    which outlives the entry that drew it.

    Attributes:
        born_ns: when it was drawn, in nanoseconds since 1970; only for the
            order of two.
    """

    born_ns: int
    key: str = attrs.field(repr=False)


@attrs.frozen
class Hello:
    """Periodic heartbeat of an entry.

    Attributes:
        sightings: announcements received since the sender's last hello.
        nodes_digest: digest of the hosts in its table of entries.
        upstreams_digest: digest of its table of upstreams.
        blocks_digest: digest of the parts of prompts that it blocks.
        secret: the oldest secret that it has heard of.
        evacuations_revision: revision of the evacuations in force there.
        uptime_s: how long the sender has been running; 0 if not stated.
    """

    node: EntryRecord
    sightings: tuple[Sighting, ...] = ()
    nodes_digest: int = 0
    upstreams_digest: int = 0
    blocks_digest: int = 0
    secret: SharedSecret | None = None
    evacuations_revision: int = 0
    uptime_s: float = 0.0


@attrs.frozen
class LimitRecord:
    """A belief about the limit of one start of an upstream.

    Attributes:
        per_s: requests a second from all entries; 0 if it names none.
        revision: number of the belief; a higher one is newer.
    """

    id: str
    born_ms: int
    per_s: float
    revision: int


@attrs.frozen
class ColdRecord:
    """A belief about the coldness of one start of an upstream.

    Attributes:
        remaining_s: seconds for which it stays cold from now on.
        revision: number of the belief; a higher one is newer.
    """

    id: str
    born_ms: int
    remaining_s: float
    revision: int


@attrs.frozen
class SlowRecord:
    """A belief about the slowdown of one start of an upstream.

    Attributes:
        factor: time of the same work as a multiple of the median of its
            group; 1 if it is not slow any more.
        remaining_s: seconds after which the belief expires.
        revision: number of the factor; a higher one is newer.
    """

    id: str
    born_ms: int
    factor: float
    remaining_s: float
    revision: int


@attrs.frozen
class RankSlowdowns:
    """The slow ranks of a lock-step group, sent by the agent of one of them.

    Attributes:
        host: the agent that sends it.
        service: service of the group.
        rows: host of each slow rank, and its time of the same work as a
            multiple of the group's median; none if no rank is slow any more.
    """

    host: str
    service: str
    rows: tuple[tuple[str, float], ...]


@attrs.frozen
class UpstreamNews:
    """Announcements and beliefs that changed the sender's table."""

    upstreams: tuple[Upstream, ...]
    limits: tuple[LimitRecord, ...] = ()
    colds: tuple[ColdRecord, ...] = ()
    slows: tuple[SlowRecord, ...] = ()


@attrs.frozen
class TablePull:
    """Requests the receiver's tables."""

    host: str


@attrs.frozen
class TableDump:
    """The hosts, upstreams and beliefs on them in the sender's tables."""

    hosts: tuple[str, ...]
    upstreams: tuple[Upstream, ...]
    limits: tuple[LimitRecord, ...] = ()
    colds: tuple[ColdRecord, ...] = ()
    slows: tuple[SlowRecord, ...] = ()


@attrs.frozen
class PermitRequest:
    """Requests a permit to send to a limited or cold upstream.

    Attributes:
        host: the entry that asks.
        per_s: the rate that it knows, in requests a second.
        number: identifies the answer.
        patience_s: longest time ahead for which a permit is of use.
        is_cold: the upstream is cold as far as that entry knows.
    """

    host: str
    upstream: str
    born_ms: int
    per_s: float
    number: int
    patience_s: float = 0.0
    is_cold: bool = False


@attrs.frozen
class Permit:
    """An issuer's answer to a request for a permit.

    Attributes:
        after_s: seconds until the permit is valid, or, if it is not granted,
            until there may be one.
        valid_s: seconds for which it is valid then.
    """

    upstream: str
    born_ms: int
    number: int
    is_granted: bool
    after_s: float
    valid_s: float = PERMIT_VALID_S


@attrs.frozen
class DocumentPull:
    """Requests the configuration if it is newer than this version."""

    host: str
    version: int


@attrs.frozen
class DocumentPush:
    """A configuration that a majority of the voters holds.

    Attributes:
        evacuations: the evacuations in force at the sender, without which the
            receiver may not send to any upstream.
    """

    version: int
    body: bytes
    evacuations: evacuation.Evacuations = evacuation.Evacuations()
