"""Messages between entries about crashes and the parts behind them."""

import attrs


@attrs.frozen
class SuspectRequest:
    """A request that an upstream was beginning to answer when it crashed.

    Attributes:
        request: its id.
        parts: the parts of its prompt that others may share.
        identity: equal for requests that repeat this one; may be empty.
    """

    request: str
    parts: tuple[str, ...]
    identity: str = ''


@attrs.frozen
class CrashReport:
    """The suspects of one entry at the crash of an upstream.

    Attributes:
        born_ms: start of the upstream, in milliseconds since 1970.
    """

    service: str
    upstream: str
    born_ms: int
    suspects: tuple[SuspectRequest, ...]


@attrs.frozen
class PartsCleared:
    """States that an upstream has answered requests with these parts.

    Attributes:
        age_s: seconds since the oldest of these answers.
    """

    service: str
    parts: tuple[str, ...]
    age_s: float = 0.0


@attrs.frozen
class BlockRecord:
    """A blocked part.

    Attributes:
        level: how often the block was renewed.
        left_s: seconds until its trial; negative once that is due.
    """

    service: str
    part: str
    level: int
    left_s: float


@attrs.frozen
class BlockNews:
    """Blocks that the sender holds, new ones or all of them."""

    blocks: tuple[BlockRecord, ...]


@attrs.frozen
class BlockPull:
    """Requests all blocks that the receiver holds."""

    host: str


@attrs.frozen
class TrialNews:
    """States that the sender tests a blocked request.

    Attributes:
        level: level of the block that it knows.
    """

    service: str
    part: str
    level: int


MESSAGE_TYPES = (CrashReport, PartsCleared, BlockNews, BlockPull, TrialNews)
