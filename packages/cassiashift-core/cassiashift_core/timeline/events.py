"""Events of the time line."""

import attrs

from cassiashift_core.timeline import clocks

SEND = 'send'
RECEIVE = 'receive'


@attrs.frozen
class Event:
    """One event of one process.

    Attributes:
        sequence: counts the events of the process.
        kind: what happened; ``send`` and ``receive`` are joined by an
            equal ``message``.
        fields: further facts, in the order in which they are shown.
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
        """Return the key by which events of all hosts are ordered."""
        return (self.clock, self.host, self.sequence)

    @property
    def process(self) -> str:
        """Return the name of the process."""
        return f'{self.host}/{self.role}'
