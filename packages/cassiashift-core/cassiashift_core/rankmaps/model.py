"""Reports of the engines of a group, and the orders that they accept."""

from collections.abc import Iterable
import enum

import attrs

# For each set of layers and each rank, the experts that the rank holds.
ExpertLists = tuple[tuple[tuple[int, ...], ...], ...]


@attrs.frozen
class GroupShape:
    """Sizes and timings of a group that its maps depend on.

    Attributes:
        placements: experts that a rank may hold in a set.
        spare: experts that one map may add to a rank in a set.
        slots: requests that a rank runs at once; 0 if not configured.
        expert_share: share of the token work that experts do, 0 to 1.
        stride: token steps of one pass.
        step_s: duration of a token step on an even map, without requests.
        step_per_request_s: time that each running request of a rank adds to
            a token step.
        longest_pause_s: pause between two events of a stream above which
            its answer is late; 0 if not configured.
    """

    ranks: int
    sets: int
    experts: int
    placements: int
    spare: int
    slots: int = 0
    expert_share: float = 1.0
    stride: int = 1
    step_s: float = 0.0
    step_per_request_s: float = 0.0
    longest_pause_s: float = 0.0


@attrs.frozen
class Armed:
    """A switch to a prepared map that a rank is set to make.

    Attributes:
        version: of the prepared map.
        step: number of the pass that begins on it.
    """

    version: int
    step: int


@attrs.frozen
class RankReport:
    """The state of one rank, as its engine reports it.

    Attributes:
        epoch: number of the group's formation; a new one starts with map 0
            and with nothing prepared, armed or held.
        is_open: the group accepts work and runs passes.
        size: ranks of the group.
        step: number of the last pass that began.
        map_version: version of the map in use.
        prepared: version whose experts are all copied, or None.
        armed: the switch that the rank is set to make, or None.
        held: pass that the group does not begin until it is released, or
            None.
        running: requests running at this rank.
        queued: requests waiting at this rank; they begin to run in a pass.
        slowdown: factor by which the rank is slower than usual; 1 if it is
            not slow or the engine does not state it.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int = 0
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    running: int = 0
    queued: int = 0
    slowdown: float = 1.0

    @property
    def versions(self) -> tuple[int, ...]:
        """Return the versions that are in use, prepared or armed."""
        armed = () if self.armed is None else (self.armed.version,)
        return (self.map_version, self.prepared or 0, *armed)

    @property
    def newest_version(self) -> int:
        """Return the highest version that is in use, prepared or armed."""
        return max(self.versions)


class OrderKind(enum.Enum):
    """Kinds of orders.

    ``GO`` releases a held pass.
    """

    PREPARE = 'prepare'
    HOLD = 'hold'
    ARM = 'arm'
    DISARM = 'disarm'
    GO = 'go'


@attrs.frozen
class Order:
    """One order for one rank; it may be carried out late or never."""

    kind: OrderKind
    rank: int
    epoch: int
    version: int = 0
    step: int = 0
    lists: ExpertLists = ()

    @property
    def is_confirmed_early(self) -> bool:
        """Whether an engine confirms the order before it takes effect.

        A rank can be armed with its former map until a new one is copied.
        """
        return self.kind is OrderKind.PREPARE

    def applied_to(self, report: RankReport) -> RankReport:
        """Return the report that follows from an order that was confirmed.

        The order must not be confirmed early. An engine also confirms an
        order to disarm a version that is not armed, or to release a pass that
        is not held.
        """
        armed = report.armed
        is_same = armed is not None and armed.version == self.version
        match self.kind:
            case OrderKind.HOLD:
                return attrs.evolve(report, held=self.step)
            case OrderKind.ARM:
                armed = Armed(self.version, self.step)
                return attrs.evolve(report, armed=armed)
            case OrderKind.DISARM:
                return attrs.evolve(report, armed=None if is_same else armed)
            case OrderKind.GO:
                is_held = report.held == self.step
                held = None if is_held else report.held
                return attrs.evolve(report, held=held)
        raise TypeError(f'the effect is not known: {self.kind}')


def first_map(shape: GroupShape) -> ExpertLists:
    """Return map 0, which assigns the experts to the ranks in turn."""
    rows = tuple(
        tuple(range(rank, shape.experts, shape.ranks))
        for rank in range(shape.ranks)
    )
    return (rows,) * shape.sets


def version_after(
    reports: Iterable[RankReport], rank: int, size: int, floor: int = 0
) -> int:
    """Return a version above every version that the ranks report.

    Versions modulo the size of the group are the coordinator's rank, so two
    coordinators never use the same version.

    Args:
        rank: rank of the coordinator.
        size: ranks of the group.
        floor: the result is above this, too.
    """
    highest = max([floor, *(item.newest_version for item in reports)])
    return (highest // size + 1) * size + rank
