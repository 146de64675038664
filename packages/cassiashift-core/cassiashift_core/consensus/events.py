"""Events that a replica handles."""

import attrs

from cassiashift_core.consensus import messages


@attrs.frozen
class Tick:
    """Time has passed; sent at least every ``ReplicaConfig.tick_s``."""


@attrs.frozen
class Received:
    """A message has arrived from an authenticated host."""

    sender: str
    message: messages.Message


@attrs.frozen
class Propose:
    """A command to replicate."""

    token: str
    data: bytes


@attrs.frozen
class Read:
    """A request for a linearizable read of the owner's state."""

    token: str


@attrs.frozen
class Synced:
    """All Persist effects up to ``sequence`` are durable."""

    sequence: int


@attrs.frozen
class SnapshotTaken:
    """A snapshot of the owner's state after the entry at ``index``."""

    index: int
    data: bytes


@attrs.frozen
class ChangeVoters:
    """A request to add one host to the voters or to remove one.

    Attributes:
        incarnation: identity of the data folder of the host to add, if it
            is known.
    """

    token: str
    add: str = ''
    remove: str = ''
    incarnation: str = ''


@attrs.frozen
class HandOver:
    """A request to hand leadership over before a planned stop."""


@attrs.frozen
class StorageFailed:
    """The storage has failed for good: nothing more becomes durable."""


Event = (
    Tick
    | Received
    | Propose
    | Read
    | Synced
    | SnapshotTaken
    | ChangeVoters
    | HandOver
    | StorageFailed
)
