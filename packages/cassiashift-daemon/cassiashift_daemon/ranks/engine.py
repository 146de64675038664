"""What an agent needs of the engine beside it."""

from typing import Protocol

import attrs

from cassiashift_core import rankmaps


class EngineError(Exception):
    """The engine gave no answer that can be used."""


@attrs.frozen
class Choices:
    """Counters of an engine that rise from its start.

    Attributes:
        counts: choices of each set and expert, sets one after the other.
    """

    epoch: int
    counts: list[int]


@attrs.frozen
class Lists:
    """The experts that an engine holds.

    Attributes:
        experts: for each set, the experts on the map in use.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class Engine(Protocol):
    """An engine, on the own host or elsewhere.

    Reports are fresh on the own host; from elsewhere they are some hundred
    milliseconds old, and every call is charged.

    Every call raises ``EngineError`` when there is no usable answer.
    """

    async def report(self) -> rankmaps.RankReport:
        """Return the state of the rank."""

    async def choices(self) -> Choices:
        """Return the counters of chosen experts."""

    async def lists(self) -> Lists:
        """Return the experts that the rank holds."""

    async def order(self, order: rankmaps.Order) -> bool:
        """Give an order; tell whether the engine confirms it.

        An order without an answer may be carried out late or not at all.
        """

    async def close(self) -> None:
        """Close every connection."""
