"""Updates that ride along with other messages, each a bounded number of times.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002, section 4.1.
"""

import math

import attrs

from cassiashift_core.membership import records

MAX_UPDATES_PER_MESSAGE = 8
TRANSMISSIONS_PER_LOG = 4


@attrs.define
class _Pending:
    record: records.Record
    transmissions: int = 0


@attrs.define
class Broadcasts:
    """The updates that still have to be passed on."""

    _pending: dict[str, _Pending] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting updates."""
        return len(self._pending)

    def add(self, record: records.Record) -> None:
        """Pass on a record in place of an older one of the member."""
        self._pending[record.host] = _Pending(record)

    def take(
        self, entries: int, first: records.Record | None = None
    ) -> tuple[records.Record, ...]:
        """Return the least transmitted updates for one message.

        Args:
            entries: number of entries that the updates must reach.
            first: a record that has to be among them.
        """
        chosen = sorted(
            self._pending.values(), key=lambda item: item.transmissions
        )[: MAX_UPDATES_PER_MESSAGE - (first is not None)]
        self._count(chosen, entries)
        taken = tuple(item.record for item in chosen)
        if first is None or first in taken:
            return taken
        return (first, *taken)

    def confirm(self, entries: int) -> None:
        """Count a peer that already holds all that is waiting."""
        self._count(list(self._pending.values()), entries)

    def _count(self, sent: list[_Pending], entries: int) -> None:
        limit = TRANSMISSIONS_PER_LOG * math.ceil(math.log10(entries + 1) or 1)
        for item in sent:
            item.transmissions += 1
            if item.transmissions >= limit:
                del self._pending[item.record.host]
