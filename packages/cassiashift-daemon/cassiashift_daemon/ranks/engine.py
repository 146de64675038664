"""The interface of an engine that an agent reads and sends orders to."""

from typing import Protocol

import attrs

from cassiashift_core import rankmaps


class EngineError(Exception):
    """The engine sent no answer in time, or one that can't be decoded."""


@attrs.frozen
class ChoiceCounts:
    """How often an engine's requests chose each expert, since its start.

    Attributes:
        epoch: epoch of the group that the counts belong to.
        counts: one count per set and expert, ordered by set.
    """

    epoch: int
    counts: list[int]


@attrs.frozen
class HeldExperts:
    """The experts of one rank on the map in use.

    Attributes:
        epoch: epoch of the group.
        version: version of the map.
        experts: the rank's experts of each set.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class Engine(Protocol):
    """An engine on the agent's host or on another one.

    Reports of an engine on the same host are current; those from another host
    are a few hundred milliseconds old, and every call to it has a cost.

    Every call raises ``EngineError`` when there is no usable answer.
    """

    async def report(self) -> rankmaps.RankReport:
        """Return the state of the engine's rank."""

    async def choice_counts(self) -> ChoiceCounts:
        """Return how often each expert was chosen."""

    async def held_experts(self) -> HeldExperts:
        """Return the rank's experts on the map in use."""

    async def send_order(self, order: rankmaps.Order) -> bool:
        """Send an order; return whether the engine confirms it.

        After an ``EngineError`` the order may be executed late or never.
        """

    async def close(self) -> None:
        """Close the connections to the engine."""
