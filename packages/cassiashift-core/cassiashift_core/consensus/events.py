"""Events that a replica handles."""

import attrs

from cassiashift_core.consensus import messages


@attrs.frozen
class Tick:
    """Time has passed; due at least every ``ReplicaConfig.tick_s``."""


@attrs.frozen
class Received:
    """A message has arrived from an authenticated host."""

    sender: str
    message: messages.Message


@attrs.frozen
class Propose:
    """A command is to be replicated."""

    token: str
    data: bytes


@attrs.frozen
class Read:
    """The owner wants to read its state linearizably."""

    token: str


@attrs.frozen
class Synced:
    """All Persist effects up to ``sequence`` are durable."""

    sequence: int


@attrs.frozen
class SnapshotTaken:
    """The owner's state right after the entry at ``index``."""

    index: int
    data: bytes


@attrs.frozen
class ChangeVoters:
    """One host is to be added to the voters or removed from them."""

    token: str
    add: str = ''
    remove: str = ''


@attrs.frozen
class HandOver:
    """Leadership is to pass to another voter before a planned stop."""


@attrs.frozen
class StorageFailed:
    """The storage can't make anything durable any more."""


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
