"""The event class of the time line."""

import attrs

from cassiashift_core.timeline import clocks

SEND = 'send'
RECEIVE = 'receive'


@attrs.frozen
class Event:
    """One event of one process.

    Attributes:
        kind: what happened; a ``send`` and its ``receive`` have the same
            ``message``.
        sequence: number of the event within its process, from 1.
        fields: further details, in the order in which they are shown.
    """

    clock: clocks.Timestamp
    host: str
    role: str
    kind: str
    sequence: int = 0
    request: str = ''
    attempt: str = ''
    workspace: str = ''
    group: str = ''
    revision: int = 0
    message: str = ''
    fields: dict[str, str] = attrs.field(factory=dict)

    @property
    def order(self) -> tuple[clocks.Timestamp, str, int]:
        """Key that sorts the events of all hosts in causal order."""
        return (self.clock, self.host, self.sequence)

    @property
    def process(self) -> str:
        """Name of the process as ``HOST/ROLE``."""
        return f'{self.host}/{self.role}'
