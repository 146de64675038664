"""Results of commands, given to whoever proposed them."""

import attrs

from cassiashift_core import codec
from cassiashift_core.fleet import documents

CODEC = codec.Codec()


@attrs.frozen
class Accepted:
    """The command took effect as this revision of the configuration."""

    revision: int


@attrs.frozen
class Conflict:
    """The expected revision is not the current one."""

    current_revision: int


@attrs.frozen
class Rejected:
    """The command is malformed and changed nothing."""

    message: str


@attrs.frozen
class DocumentJudged:
    """How an offered configuration stood to the one held before.

    Attributes:
        version: the version in force after the command.
    """

    standing: documents.Standing
    version: int


@attrs.frozen
class CallOpened:
    """The intent is recorded; this attempt may be sent."""

    attempt: str


@attrs.frozen
class CallUnknown:
    """No attempt of the key may have run."""


@attrs.frozen
class CallInDoubt:
    """An earlier attempt of this key has no recorded outcome yet.

    ``settled`` tells that no outcome will follow.
    """

    attempt: str
    upstream: str
    settled: bool


@attrs.frozen
class CallRecorded:
    """The key's call ran; this is its recorded answer."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class KeyReused:
    """The key stands for a call with another digest."""

    digest: str


@attrs.frozen
class DecisionApplied:
    """A decision of a group's switch is in the log.

    Attributes:
        accepted: the decision took effect.
        decided: the highest version of the group with an outcome.
    """

    accepted: bool
    decided: int


for _tag, _cls in (
    ('accepted', Accepted),
    ('document', DocumentJudged),
    ('conflict', Conflict),
    ('rejected', Rejected),
    ('opened', CallOpened),
    ('unknown', CallUnknown),
    ('in-doubt', CallInDoubt),
    ('recorded', CallRecorded),
    ('key-reused', KeyReused),
    ('switched', DecisionApplied),
):
    CODEC.register(_tag, _cls)
