"""Messages between entries about evacuations."""

import attrs

from cassiashift_core.evacuation import model


@attrs.frozen
class EvacuationPull:
    """Requests the state of evacuations if it is newer than a revision."""

    host: str
    revision: int


@attrs.frozen
class EvacuationPush:
    """A committed state of evacuations."""

    evacuations: model.Evacuations


MESSAGE_TYPES = (EvacuationPull, EvacuationPush)
