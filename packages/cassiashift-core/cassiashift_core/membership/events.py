"""Settings, events and effects of membership."""

from typing import Any

import attrs

from cassiashift_core.membership import records


@attrs.frozen
class MembershipConfig:
    """Settings of one process.

    Attributes:
        incarnation: start time of the process in milliseconds since 1970.
        seeds: entries of the same data centre to join through.
        remote_seeds: entries of other data centres to pull summaries from.
        http: address at which callers connect to an entry.
        epoch: start time of an agent's process in nanoseconds since 1970.
    """

    host: str
    address: str
    region: str
    data_centre: str
    incarnation: int
    seeds: tuple[records.Contact, ...] = ()
    remote_seeds: tuple[records.Contact, ...] = ()
    http: str = ''
    epoch: int = 0


@attrs.frozen
class Tick:
    """Time has passed; sent every ``TICK_INTERVAL_S``."""


@attrs.frozen
class Received:
    """A message has arrived; ``sender`` is the authenticated host."""

    sender: str
    message: Any


@attrs.frozen
class UpstreamsChanged:
    """The upstreams behind this agent, replacing those announced before."""

    upstreams: tuple[records.Announcement, ...]


@attrs.frozen
class LoadChanged:
    """The number of requests in progress on this agent's upstreams."""

    in_flight: int


@attrs.frozen
class Leaving:
    """The process is stopping; the others learn of it without a timeout."""


@attrs.frozen
class Send:
    """Send a message to a host; it may get lost."""

    receiver: str
    message: Any


@attrs.frozen
class Changed:
    """A member has a new status or new content."""

    member: records.Record
    status: records.Status


Event = Tick | Received | UpstreamsChanged | LoadChanged | Leaving
Effect = Send | Changed
