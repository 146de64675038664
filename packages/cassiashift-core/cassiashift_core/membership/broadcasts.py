"""Updates piggybacked on other messages, each a bounded number of times.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002, section 4.1.
"""

import math

import attrs

from cassiashift_core.membership import records

MAX_UPDATES_PER_MESSAGE = 8
# An update is sent at most this many times ceil(log10(entries + 1)).
TRANSMISSIONS_PER_LOG = 4


@attrs.define
class _PendingUpdate:
    record: records.Record
    transmissions: int = 0


@attrs.define
class Broadcasts:
    """The updates that still have to be sent, at most one per member."""

    _pending: dict[str, _PendingUpdate] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of pending updates."""
        return len(self._pending)

    def add(self, record: records.Record) -> None:
        """Queue an update, replacing an older one about the same member."""
        self._pending[record.host] = _PendingUpdate(record)

    def next_batch(
        self, entries: int, required: records.Record | None = None
    ) -> tuple[records.Record, ...]:
        """Return the updates sent least often; count a transmission of each.

        Args:
            entries: number of entries that the updates must reach.
            required: a record that must be among them.
        """
        chosen = sorted(
            self._pending.values(), key=lambda item: item.transmissions
        )[: MAX_UPDATES_PER_MESSAGE - (required is not None)]
        self._count_transmissions(chosen, entries)
        updates = tuple(item.record for item in chosen)
        if required is None or required in updates:
            return updates
        return (required, *updates)

    def count_synced_peer(self, entries: int) -> None:
        """Count a transmission of every update, as a peer has them all."""
        self._count_transmissions(list(self._pending.values()), entries)

    def _count_transmissions(
        self, sent: list[_PendingUpdate], entries: int
    ) -> None:
        limit = TRANSMISSIONS_PER_LOG * math.ceil(math.log10(entries + 1) or 1)
        for item in sent:
            item.transmissions += 1
            if item.transmissions >= limit:
                del self._pending[item.record.host]
