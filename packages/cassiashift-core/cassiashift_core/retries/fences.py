"""The agent's record of attempts that arrived or were fenced.

An attempt id holds the epoch of the entry, a number that increases within
that epoch, and the agent's incarnation as last known to the entry.
Each attempt is sent at most once.

The record is bounded and drops the lowest numbers. This is safe: dropped
numbers are at or below a floor, and the agent refuses every arrival at or
below a floor. The verdict of a refusal is ``NOT_RUN`` only where no arrival
can have been dropped, and ``MAY_HAVE_RUN`` elsewhere. An agent that restarts,
or drops its entries because there are too many, gets a new incarnation and so
refuses all attempts that were sent to the previous one.
"""

import enum

import attrs

from cassiashift_core import verdicts

Verdict = verdicts.Verdict
MAX_ID_LENGTH = 512


@attrs.frozen
class AttemptId:
    """The identity of one attempt.

    Attributes:
        entry: id of the entry.
        epoch: increases each time that the entry's process starts.
        number: increases with each attempt of the entry's process.
        incarnation: the agent's incarnation, as the entry knows it.
    """

    entry: str
    epoch: int
    number: int
    incarnation: int

    def __str__(self) -> str:
        """Return the id as text for logs and frames; ``parse`` reads it."""
        return f'{self.entry}.{self.epoch}.{self.number}.{self.incarnation}'

    @classmethod
    def parse(cls, text: str) -> 'AttemptId | None':
        """Return the id from the text of ``str``, or None if it is invalid.

        Text longer than ``MAX_ID_LENGTH`` is invalid.
        """
        parts = text.rsplit('.', 3)
        if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
            return None
        if len(text) > MAX_ID_LENGTH:
            return None
        return cls(parts[0], *(int(part) for part in parts[1:]))


@attrs.frozen
class Arrival:
    """The agent's decision on an attempt that has arrived.

    Attributes:
        accepted: the attempt is passed on to the upstream.
        verdict: for a refused attempt, whether it may have run before.
        reason: why it was refused.
    """

    accepted: bool
    verdict: Verdict = Verdict.NOT_RUN
    reason: str = ''


class FenceAnswer(enum.Enum):
    """The agent's answer to an entry that requested a fence.

    ``FENCED`` proves that the attempt never runs, ``ARRIVED`` that it came
    before the fence, and ``UNKNOWN`` nothing.
    """

    FENCED = 'fenced'
    ARRIVED = 'arrived'
    UNKNOWN = 'unknown'

    @property
    def verdict(self) -> Verdict:
        """Return the verdict on the attempt that follows from the answer."""
        if self is FenceAnswer.FENCED:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


@attrs.define
class _EntryRecord:
    """Arrived and fenced attempt numbers of one entry's epoch.

    Attributes:
        fenced_floor: highest number whose fence may have been dropped.
        arrived_floor: highest number whose arrival may have been dropped.
            Arrivals with a number up to either of the two are refused.
    """

    epoch: int
    fenced_floor: int = -1
    arrived_floor: int = -1
    fenced: set[int] = attrs.field(factory=set)
    arrived: set[int] = attrs.field(factory=set)

    def drop_old(self, max_numbers: int) -> None:
        """Drop the lower half of each set larger than ``max_numbers``."""
        if len(self.fenced) > max_numbers:
            self.fenced_floor = max(
                self.fenced_floor, self._drop_lower_half(self.fenced)
            )
        if len(self.arrived) > max_numbers:
            self.arrived_floor = max(
                self.arrived_floor, self._drop_lower_half(self.arrived)
            )

    @staticmethod
    def _drop_lower_half(numbers: set[int]) -> int:
        ordered = sorted(numbers)
        dropped = ordered[: len(ordered) // 2]
        numbers.difference_update(dropped)
        return dropped[-1]


@attrs.define
class FenceTable:
    """Decides for one agent which attempts may still run.

    Attributes:
        incarnation: must increase with each start of the agent's process;
            a wall-clock reading in nanoseconds is sufficient.
        max_numbers: most numbers kept for each entry and set.
        max_entries: most entries kept.
        refused_count: number of refused arrivals.
    """

    incarnation: int
    max_numbers: int = 4096
    max_entries: int = 2048
    refused_count: int = attrs.field(default=0, init=False)
    _entries: dict[str, _EntryRecord] = attrs.field(factory=dict, init=False)

    def record_arrival(self, attempt: AttemptId) -> Arrival:
        """Accept or refuse an attempt that has arrived completely."""
        if attempt.incarnation != self.incarnation:
            return self._refuse('sent to another incarnation of the agent')
        record = self._find_or_create_record(attempt)
        if record is None:
            return self._refuse(
                'sent in an older epoch of the entry', Verdict.MAY_HAVE_RUN
            )
        if attempt.incarnation != self.incarnation:
            return self._refuse('the agent has changed its incarnation')
        if attempt.number in record.fenced:
            return self._refuse('fenced')
        if attempt.number in record.arrived:
            return self._refuse('arrived before', Verdict.MAY_HAVE_RUN)
        if attempt.number <= record.arrived_floor:
            return self._refuse(
                'may have arrived before', Verdict.MAY_HAVE_RUN
            )
        if attempt.number <= record.fenced_floor:
            return self._refuse('may have been fenced')
        record.arrived.add(attempt.number)
        record.drop_old(self.max_numbers)
        return Arrival(accepted=True)

    def fence(self, attempt: AttemptId) -> FenceAnswer:
        """Refuse the attempt from now on, unless it has arrived already."""
        if attempt.incarnation != self.incarnation:
            return FenceAnswer.UNKNOWN
        record = self._find_or_create_record(attempt)
        if record is None or attempt.incarnation != self.incarnation:
            return FenceAnswer.UNKNOWN
        if attempt.number in record.arrived:
            return FenceAnswer.ARRIVED
        if attempt.number <= record.arrived_floor:
            return FenceAnswer.UNKNOWN
        if attempt.number > record.fenced_floor:
            record.fenced.add(attempt.number)
            record.drop_old(self.max_numbers)
        return FenceAnswer.FENCED

    def _refuse(
        self, reason: str, verdict: Verdict = Verdict.NOT_RUN
    ) -> Arrival:
        self.refused_count += 1
        return Arrival(accepted=False, verdict=verdict, reason=reason)

    def _find_or_create_record(
        self, attempt: AttemptId
    ) -> _EntryRecord | None:
        """Return the record of an attempt's epoch; None if that is outdated.

        A missing record is created. If that exceeds ``max_entries``, all
        entries are dropped and the incarnation changes.
        """
        record = self._entries.get(attempt.entry)
        if record is None and len(self._entries) >= self.max_entries:
            self._entries.clear()
            self.incarnation += 1
        if record is None or attempt.epoch > record.epoch:
            record = _EntryRecord(epoch=attempt.epoch)
            self._entries[attempt.entry] = record
        return record if attempt.epoch == record.epoch else None
