"""What the agents of a group's ranks tell each other."""

import attrs

from cassiashift_core.rankmaps import model

_MOST = 255


@attrs.frozen
class Choices:
    """How often experts were chosen, in one byte each.

    Attributes:
        scale: choices that one unit of a byte stands for.
        data: a byte for each set and expert.
    """

    scale: float
    data: bytes

    @classmethod
    def from_counts(cls, counts: list[int]) -> 'Choices':
        """Return counts rounded to a 255th of the largest one."""
        scale = max(counts, default=0) / _MOST or 1.0
        return cls(scale, bytes(round(count / scale) for count in counts))

    def counts(self) -> list[float]:
        """Return the counts, rounded."""
        return [value * self.scale for value in self.data]


@attrs.frozen
class GroupBeacon:
    """The sender coordinates the maps of a group."""

    host: str
    group: str
    epoch: int
    rank: int


@attrs.frozen
class RankStatus:
    """The state of a rank, and what was chosen there since the last one.

    Attributes:
        lists: for each set, the experts of this rank on the map in use.
    """

    host: str
    report: model.RankReport
    lists: tuple[tuple[int, ...], ...] = ()
    choices: Choices | None = None


@attrs.frozen
class EngineOrder:
    """An order that the receiver passes on to its engine."""

    host: str
    order: model.Order


MESSAGE_TYPES = (GroupBeacon, RankStatus, EngineOrder)
