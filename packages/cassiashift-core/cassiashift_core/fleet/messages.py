"""What entries tell each other about the fleet."""

import enum

import attrs


class UpstreamState(enum.Enum):
    """Whether an upstream takes new work; the order is one of progress."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@attrs.frozen
class Upstream:
    """One start of an upstream, as it announced itself.

    Attributes:
        address: IP and port of its HTTP server.
        slots: requests that it runs at once; 0 when not stated.
        born_ms: start of the upstream, in milliseconds since 1970.
        sequence: number of the announcement; rises within one start.
    """

    id: str
    service: str
    address: str
    data_centre: str
    state: UpstreamState = UpstreamState.READY
    slots: int = 0
    born_ms: int = 0
    sequence: int = 0

    @property
    def age_key(self) -> tuple[int, int]:
        """Return what orders two announcements of one id."""
        return self.born_ms, self.sequence


@attrs.frozen
class Sighting:
    """An upstream was heard of with this announcement."""

    id: str
    born_ms: int
    sequence: int


@attrs.frozen
class NodeRecord:
    """What an entry says of itself.

    Attributes:
        host: its IP address, which is its name in the fleet.
        front: IP and port for callers.
        started_ns: start of the process, in nanoseconds since 1970.
        is_ready: callers may be sent there.
        is_leaving: a planned stop has begun.
        has_disk: it has a data folder, opened or not.
        store: identity of its data folder; empty until it is opened.
        founded: hosts of the voter set that it knows; empty for none.
        document_version: version of the configuration in force there.
        requests_per_s: requests of callers that it serves, lately.
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


@attrs.frozen
class Hello:
    """A periodic message; it stands for the sender's life.

    Attributes:
        sightings: upstreams that the sender heard itself since its last one.
        nodes_digest: digest of the hosts that the sender knows.
        upstreams_digest: digest of its table of upstreams.
    """

    node: NodeRecord
    sightings: tuple[Sighting, ...] = ()
    nodes_digest: int = 0
    upstreams_digest: int = 0


@attrs.frozen
class UpstreamNews:
    """Announcements that changed what the sender knows of upstreams."""

    upstreams: tuple[Upstream, ...]


@attrs.frozen
class TablePull:
    """Ask for the tables of the receiver."""

    host: str


@attrs.frozen
class TableDump:
    """The hosts and the upstreams that the sender knows."""

    hosts: tuple[str, ...]
    upstreams: tuple[Upstream, ...]


@attrs.frozen
class DocumentPull:
    """Ask for the configuration if it is newer than this version."""

    host: str
    version: int


@attrs.frozen
class DocumentPush:
    """A configuration that a majority of the voters holds."""

    version: int
    body: bytes
