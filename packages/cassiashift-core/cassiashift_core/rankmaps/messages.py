"""Messages between the agents of a group's ranks."""

import attrs

from cassiashift_core.rankmaps import deltas
from cassiashift_core.rankmaps import model

_MAX_UNITS = 255


@attrs.frozen
class Choices:
    """Choice counts of experts, quantised to one byte each.

    Attributes:
        scale: choices per unit of a byte.
        data: a byte for each set and expert.
    """

    scale: float
    data: bytes

    @classmethod
    def from_counts(cls, counts: list[float]) -> 'Choices':
        """Return counts quantised in steps of a 255th of the largest."""
        scale = max(counts, default=0) / _MAX_UNITS or 1.0
        return cls(scale, bytes(round(count / scale) for count in counts))

    def counts(self) -> list[float]:
        """Return the dequantised counts."""
        return [value * self.scale for value in self.data]


@attrs.frozen
class GroupBeacon:
    """Announces that the sender coordinates the maps of a group."""

    host: str
    group: str
    epoch: int
    rank: int


@attrs.frozen
class RankStatus:
    """The state of a rank and the expert choices since its last status.

    Attributes:
        lists: for each set, the experts of this rank on the map in use;
            empty if not known.
        choices: increments of the choice counters; None if there are none.
    """

    host: str
    report: model.RankReport
    lists: tuple[tuple[int, ...], ...] = ()
    choices: Choices | None = None


@attrs.frozen
class EngineOrder:
    """An order that the receiver forwards to its engine."""

    host: str
    order: model.Order


MESSAGE_TYPES = (
    GroupBeacon,
    RankStatus,
    EngineOrder,
    deltas.MapChange,
    deltas.MapRequest,
)
