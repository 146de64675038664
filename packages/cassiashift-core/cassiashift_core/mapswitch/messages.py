"""Messages between the coordinator of a switch and the ranks' agents.

The class names are tags on the wire, and all fields are plain types, so that
a codec can encode them.
"""

import attrs


@attrs.frozen(order=True)
class Fence:
    """Fencing token of an order, ordered by leader's term, then log index."""

    term: int = 0
    index: int = 0


@attrs.frozen
class MapEntry:
    """A committed map of a group.

    Attributes:
        version: version number of the map.
        step: first step that runs on the map.
        ranks: ids of the ranks that run on it.
        body: encoded expert map; empty in all orders but ``Answer``.
    """

    version: int
    step: int
    ranks: tuple[str, ...]
    body: bytes = b''

    def stripped(self) -> 'MapEntry':
        """Return the entry without its body."""
        return attrs.evolve(self, body=b'')


@attrs.frozen
class Standing:
    """Outcome of a group's switches up to a log index.

    Attributes:
        index: log index of the last outcome; zero if there is none.
        decided: highest version that was committed or aborted.
        current: map that was committed last.
        former: map that was committed before it, kept for a rollback.
    """

    index: int = 0
    decided: int = 0
    current: MapEntry | None = None
    former: MapEntry | None = None

    def stripped(self) -> 'Standing':
        """Return the standing without the bodies of its maps."""
        return attrs.evolve(
            self,
            current=self.current and self.current.stripped(),
            former=self.former and self.former.stripped(),
        )


@attrs.frozen
class Stage:
    """Orders a rank to load the weights of a version."""

    group: str
    version: int
    body: bytes
    standing: Standing
    fence: Fence


@attrs.frozen
class Arm:
    """Orders a rank to hold a step until the outcome is known.

    ``member`` is false for a rank that is not in the new map.
    """

    group: str
    version: int
    step: int
    round: int
    member: bool
    standing: Standing
    fence: Fence


@attrs.frozen
class Decided:
    """Informs a rank of the outcome of the last switch."""

    group: str
    standing: Standing
    fence: Fence


@attrs.frozen
class Answer:
    """Reply to an ``Ask`` with the same ``nonce``."""

    group: str
    nonce: str
    standing: Standing
    fence: Fence


@attrs.frozen
class Staged:
    """Reports that a rank has loaded the weights of a version.

    ``step`` is the highest step that the rank has started.
    """

    group: str
    rank: str
    incarnation: str
    version: int
    step: int


@attrs.frozen
class StageFailed:
    """Reports that a rank failed to load the weights of a version."""

    group: str
    rank: str
    version: int
    reason: str


@attrs.frozen
class Armed:
    """Reports that a rank holds the step of an ``Arm``."""

    group: str
    rank: str
    incarnation: str
    version: int
    step: int
    round: int


@attrs.frozen
class ArmRefused:
    """Reports that a rank cannot hold the step of an ``Arm``.

    ``step`` is the highest step that it has started; ``staged`` is false
    if the rank has not loaded the weights of the version.
    """

    group: str
    rank: str
    version: int
    round: int
    step: int
    staged: bool


@attrs.frozen
class Acknowledged:
    """Reports that a rank has adopted the outcomes up to a log index."""

    group: str
    rank: str
    incarnation: str
    index: int


@attrs.frozen
class Ask:
    """Asks for the current map, after a start or while a step is held."""

    group: str
    rank: str
    incarnation: str
    nonce: str


@attrs.frozen
class OrderRefused:
    """Reports an order with a lower fence than the highest one seen."""

    group: str
    rank: str
    fence: Fence
    highest: Fence


Order = Stage | Arm | Decided | Answer
Report = (
    Staged
    | StageFailed
    | Armed
    | ArmRefused
    | Acknowledged
    | Ask
    | OrderRefused
)
ORDER_TYPES = (Stage, Arm, Decided, Answer)
REPORT_TYPES = (
    Staged,
    StageFailed,
    Armed,
    ArmRefused,
    Acknowledged,
    Ask,
    OrderRefused,
)
