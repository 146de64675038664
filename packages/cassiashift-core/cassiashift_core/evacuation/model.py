"""The replicated state of evacuations, and how orders change it.

An order names the revision that its proposer knew when the operator's call
arrived. If a later order about the same data centre is in the log, the order
is a late copy and changes nothing, however long it was in transit.
"""

import enum

import attrs


class Standing(enum.Enum):
    """Relation of an order to the current state.

    ``TAKEN`` orders are in force from now on, ``HELD`` ones were before.
    ``SUPERSEDED`` ones are older than an opposite order in the log.
    """

    TAKEN = 'taken'
    HELD = 'held'
    SUPERSEDED = 'superseded'


@attrs.frozen
class Order:
    """A command of the log: start or end the evacuation of a data centre.

    Attributes:
        is_start: it starts the evacuation; otherwise it ends it.
        basis: revision of the evacuations that the proposer knew when the
            operator's call arrived.
        at_s: wall-clock time of that arrival; for display only.
        operator: who gave the order, if known.
        request_id: a repeat with this id gets the first result; empty for
            none.
    """

    data_centre: str
    is_start: bool
    basis: int
    at_s: float = 0.0
    operator: str = ''
    request_id: str = ''


@attrs.frozen
class Record:
    """What the log says of one data centre.

    Attributes:
        revision: log index of the last order that was taken.
        since_s: wall-clock time at the proposer of the start; 0 while not
            evacuated.
        ended: log index of the last end of an evacuation; 0 for none.
        operator: who started the evacuation, if known.
    """

    revision: int
    is_evacuated: bool
    since_s: float = 0.0
    ended: int = 0
    operator: str = ''


@attrs.frozen
class Evacuations:
    """The evacuated data centres.

    Attributes:
        revision: log index of the last order that was taken; 0 for none.
        records: a record of each data centre that an order named. Ended
            evacuations keep theirs, by which late orders are recognised.
    """

    revision: int = 0
    records: dict[str, Record] = attrs.field(factory=dict)

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the names of the evacuated data centres."""
        return frozenset(
            name for name, item in self.records.items() if item.is_evacuated
        )

    def compare(self, order: Order) -> Standing:
        """Return how an order stands to this state."""
        record = self.records.get(order.data_centre)
        if record is None or record.revision <= order.basis:
            # Also an order that asks for the current state: its index makes
            # late copies of earlier opposite orders recognisable.
            return Standing.TAKEN
        if record.is_evacuated == order.is_start:
            return Standing.HELD
        return Standing.SUPERSEDED

    def apply(self, order: Order, index: int) -> 'Evacuations':
        """Return the state after an order at an index of the log."""
        if self.compare(order) is not Standing.TAKEN:
            return self
        old = self.records.get(order.data_centre, Record(0, False))
        record = attrs.evolve(old, revision=index)
        if order.is_start and not old.is_evacuated:
            record = attrs.evolve(
                record,
                is_evacuated=True,
                since_s=order.at_s,
                operator=order.operator,
            )
        elif old.is_evacuated and not order.is_start:
            record = Record(index, is_evacuated=False, ended=index)
        return Evacuations(index, self.records | {order.data_centre: record})

    def longest_s(self, now_s: float) -> float:
        """Return the seconds since the oldest evacuation in force started.

        Args:
            now_s: wall-clock time.
        """
        starts = [
            item.since_s for item in self.records.values() if item.is_evacuated
        ]
        return max(0.0, now_s - min(starts, default=now_s))
