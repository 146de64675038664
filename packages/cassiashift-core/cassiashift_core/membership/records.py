"""Rows of the membership table, and which of two rows is the newer one."""

import enum

import attrs

from cassiashift_core import manifest

# Records with a higher incarnation are ignored.
MAX_INCARNATION = 2**53


class Status(enum.IntEnum):
    """Status of a member; at equal incarnations the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(enum.IntEnum):
    """Kind of process that a member is."""

    ENTRY = 0
    AGENT = 1


@attrs.frozen
class Contact:
    """A host and the address at which its process listens."""

    host: str
    address: str


@attrs.frozen
class Announcement:
    """An upstream as its agent announces it.

    Attributes:
        kind: ``engine`` or ``service``.
        role: phase that an engine serves: ``prefill``, ``decode``, ``both``.
        concurrency: requests that the upstream can process at once.
        draining: the upstream finishes its requests and gets no new ones.
        healthy: the upstream answers its agent.
    """

    upstream: str
    kind: str = 'engine'
    role: str = 'both'
    offers: tuple[manifest.Offer, ...] = ()
    service: str = ''
    concurrency: int = 32
    draining: bool = False
    healthy: bool = True


@attrs.frozen
class Record:
    """A row of the membership table, or an update of one.

    Attributes:
        incarnation: version of the record; only the member raises it.
        address: empty in an update that only changes the status.
        http: address at which callers connect to an entry.
        epoch: start time of an agent's process in nanoseconds since 1970;
            the process refuses attempts for an earlier one.
        upstreams: the upstreams behind an agent.
        accuser: entry that suspects the member; empty in other records.
    """

    host: str
    kind: Kind
    incarnation: int
    status: Status = Status.ALIVE
    address: str = ''
    upstreams: tuple[Announcement, ...] = ()
    accuser: str = ''
    http: str = ''
    epoch: int = 0

    @property
    def usable(self) -> bool:
        """Whether the member may be used; a suspect still may."""
        return self.status in (Status.ALIVE, Status.SUSPECT)

    def supersedes(self, other: 'Record') -> bool:
        """Return whether this record is newer: by incarnation, then status."""
        return (self.incarnation, self.status) > (
            other.incarnation,
            other.status,
        )

    def without_content(self) -> 'Record':
        """Return a copy with the status only, for small updates."""
        return attrs.evolve(self, address='', upstreams=(), http='', epoch=0)


@attrs.frozen
class Capacity:
    """Upstreams of one data centre that serve a model or service in a role."""

    model: str
    role: str
    upstreams: int
    concurrency: int


@attrs.frozen
class Summary:
    """Summary of a data centre for the others; bounded in size.

    Attributes:
        version: raised by each new summary of the data centre.
        reporter: entry that computed the summary.
        contacts: some entries of the data centre to pull from.
        in_flight: requests in progress on its upstreams.
    """

    region: str
    data_centre: str
    version: int
    reporter: str
    entries: int = 0
    contacts: tuple[Contact, ...] = ()
    capacity: tuple[Capacity, ...] = ()
    in_flight: int = 0

    def supersedes(self, other: 'Summary | None') -> bool:
        """Return whether this summary is newer: by version, then reporter."""
        if other is None:
            return True
        return (self.version, self.reporter) > (other.version, other.reporter)
