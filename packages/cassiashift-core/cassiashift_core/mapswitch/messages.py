"""Messages between the coordinator of a switch and the ranks' agents.

All fields are plain types, so that a codec can carry them.
"""

import attrs


@attrs.frozen(order=True)
class Fence:
    """The fencing number of an order: leader's term, then log index."""

    term: int = 0
    index: int = 0


@attrs.frozen
class MapEntry:
    """A map that was committed for a group.

    Attributes:
        version: the number of the map.
        step: the first step that runs on it.
        ranks: ids of the ranks that run on it.
        body: the encoded placement; empty where the receiver has it.
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
    """What the log has decided for a group up to an index.

    Attributes:
        index: the log index of the newest decision that is covered.
        decided: the highest version with an outcome, either way.
        current: the map committed last.
        former: the map committed before it.
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
    """Order a rank to load the weights of a version."""

    group: str
    version: int
    body: bytes
    standing: Standing
    fence: Fence


@attrs.frozen
class Arm:
    """Order a rank to hold a step until the outcome is known.

    ``member`` is false for a rank that the new map leaves out.
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
    """Tell a rank the outcome of a switch."""

    group: str
    standing: Standing
    fence: Fence


@attrs.frozen
class Answer:
    """Answer a rank's question; ``nonce`` is that of the question."""

    group: str
    nonce: str
    standing: Standing
    fence: Fence


@attrs.frozen
class Staged:
    """Report that a rank has loaded a version.

    ``step`` is the highest step that the rank has started.
    """

    group: str
    rank: str
    incarnation: str
    version: int
    step: int


@attrs.frozen
class StageFailed:
    """Report that a rank cannot load a version."""

    group: str
    rank: str
    version: int
    reason: str


@attrs.frozen
class Armed:
    """Report that a rank holds the step of an arm order."""

    group: str
    rank: str
    incarnation: str
    version: int
    step: int
    round: int


@attrs.frozen
class ArmRefused:
    """Report that a rank cannot hold the step of an arm order.

    ``step`` is the highest step that it has started; ``staged`` is false
    when the rank has not loaded the version.
    """

    group: str
    rank: str
    version: int
    round: int
    step: int
    staged: bool


@attrs.frozen
class Acknowledged:
    """Report that a rank knows the outcome up to a log index."""

    group: str
    rank: str
    incarnation: str
    index: int


@attrs.frozen
class Ask:
    """Ask which map a rank has to run on."""

    group: str
    rank: str
    incarnation: str
    nonce: str


@attrs.frozen
class OrderRefused:
    """Report an order that was older than one seen before."""

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
