"""Rows of the membership table and the rule that orders them."""

import enum

import attrs

from cassiashift_core import manifest

MAX_INCARNATION = 2**53


class Status(enum.IntEnum):
    """State of a member; at equal incarnations the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(enum.IntEnum):
    """What a member is."""

    ENTRY = 0
    AGENT = 1


@attrs.frozen
class Contact:
    """A host and the address at which its process listens."""

    host: str
    address: str


@attrs.frozen
class Announcement:
    """An upstream as it announces itself through its agent.

    Attributes:
        kind: ``engine`` or ``service``.
        role: phase that an engine serves: ``prefill``, ``decode``, ``both``.
        concurrency: requests in progress that the upstream can hold.
        draining: the upstream is leaving and takes no new work.
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
    """What is known of one member.

    Attributes:
        incarnation: number that only the member itself raises.
        address: empty in an update that only changes the status.
        http: where callers connect to an entry.
        epoch: the start of an agent's process, for which attempts are meant.
        upstreams: the upstreams behind an agent.
        accuser: entry that suspects the member, in a suspicion only.
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
        """Tell whether the member may be used; a suspect still may."""
        return self.status in (Status.ALIVE, Status.SUSPECT)

    def supersedes(self, other: 'Record') -> bool:
        """Tell whether this record is newer knowledge than another."""
        return (self.incarnation, self.status) > (
            other.incarnation,
            other.status,
        )

    def without_content(self) -> 'Record':
        """Return the status alone, for small updates."""
        return attrs.evolve(self, address='', upstreams=(), http='', epoch=0)


@attrs.frozen
class Capacity:
    """Upstreams of one data centre that serve a model in one role."""

    model: str
    role: str
    upstreams: int
    concurrency: int


@attrs.frozen
class Summary:
    """A data centre as the others know it; bounded in size.

    Attributes:
        version: raised by each new summary of the data centre.
        contacts: a few entries of the data centre.
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
        """Tell whether this summary is newer than another."""
        if other is None:
            return True
        return (self.version, self.reporter) > (other.version, other.reporter)
