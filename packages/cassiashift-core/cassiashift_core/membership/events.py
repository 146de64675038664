"""Settings, events and effects of membership."""

from typing import Any

import attrs

from cassiashift_core.membership import records


@attrs.frozen
class MembershipConfig:
    """Settings of one process.

    Attributes:
        incarnation: start time of the process in milliseconds since 1970.
        seeds: some entries of the same data centre.
        remote_seeds: some entries of other data centres.
        http: where callers connect to an entry.
        epoch: the start of an agent's process.
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
class Announced:
    """The set of upstreams behind this agent is now the given one."""

    upstreams: tuple[records.Announcement, ...]


@attrs.frozen
class LoadChanged:
    """The agent now counts this many requests in progress."""

    in_flight: int


@attrs.frozen
class Leaving:
    """The process stops and asks to be forgotten at once."""


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


Event = Tick | Received | Announced | LoadChanged | Leaving
Effect = Send | Changed
