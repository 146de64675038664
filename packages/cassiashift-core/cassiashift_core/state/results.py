"""Results of commands, returned to their proposers, and their codec."""

import attrs

from cassiashift_core import codec
from cassiashift_core import evacuation
from cassiashift_core.fleet import documents

CODEC = codec.Codec()


@attrs.frozen
class Accepted:
    """The command is accepted.

    Attributes:
        revision: the resulting revision of the shared state; 0 for a command
            that does not change it.
    """

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
class DocumentCompared:
    """How a proposed configuration compares to the current one.

    Attributes:
        version: the version in force after the command.
        evacuations: the evacuated data centres after the command, so that a
            read confirms both.
    """

    standing: documents.Standing
    version: int
    evacuations: evacuation.Evacuations = evacuation.Evacuations()


@attrs.frozen
class EvacuationOrdered:
    """How an order of an evacuation compares to the state.

    Attributes:
        evacuations: the state after the order.
    """

    standing: evacuation.Standing
    evacuations: evacuation.Evacuations


@attrs.frozen
class CallOpened:
    """The intent is recorded and the attempt may be sent."""

    attempt: str


@attrs.frozen
class CallUnknown:
    """No attempt of the key can have run."""


@attrs.frozen
class CallInDoubt:
    """An earlier attempt of this key may have run; its outcome is unknown.

    ``settled`` is true if no outcome will follow.
    """

    attempt: str
    upstream: str
    settled: bool


@attrs.frozen
class CallRecorded:
    """The call of the key ran; these fields hold its answer."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class KeyReused:
    """The key is in use for a call with another digest."""

    digest: str


@attrs.frozen
class DecisionApplied:
    """A decision on a group's map switch was applied.

    Attributes:
        accepted: whether the decision took effect.
        decided: the highest version of the group's map with an outcome.
    """

    accepted: bool
    decided: int


for _tag, _cls in (
    ('accepted', Accepted),
    ('document', DocumentCompared),
    ('evacuation', EvacuationOrdered),
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
