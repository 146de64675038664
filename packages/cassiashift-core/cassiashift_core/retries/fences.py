"""The agent's memory of attempts that arrived or were fenced.

An attempt id carries the epoch of the entry, a number that grows within
that epoch, and the incarnation of the agent that the entry last heard of.
Each attempt is sent at most once.

Memory is bounded, and stays safe after it forgets: whatever is forgotten
lies at or below a floor, and the agent refuses every arrival at or below
a floor. A refusal is called ``NOT_RUN`` only where the memory is still
whole; elsewhere the answer is ``MAY_HAVE_RUN``. An agent that restarts, or
has to forget an entry, takes a new incarnation and so refuses everything
that was sent to the one before.
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
        epoch: grows each time that the entry's process starts.
        number: grows with each attempt of the entry's process.
        incarnation: the agent's incarnation, as the entry knows it.
    """

    entry: str
    epoch: int
    number: int
    incarnation: int

    def __str__(self) -> str:
        """Return the id in one word, for logs and frames."""
        return f'{self.entry}.{self.epoch}.{self.number}.{self.incarnation}'

    @classmethod
    def parse(cls, text: str) -> 'AttemptId | None':
        """Return the id that ``str`` gave as text, or None."""
        parts = text.rsplit('.', 3)
        if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
            return None
        if len(text) > MAX_ID_LENGTH:
            return None
        return cls(parts[0], *(int(part) for part in parts[1:]))


@attrs.frozen
class Arrival:
    """What the agent does with an attempt that arrives.

    Attributes:
        accepted: the attempt is passed on to the upstream.
        verdict: for a refused attempt, whether it may have run before.
        reason: why it was refused, in words.
    """

    accepted: bool
    verdict: Verdict = Verdict.NOT_RUN
    reason: str = ''


class FenceAnswer(enum.Enum):
    """What the agent says to an entry that asks for a fence."""

    FENCED = 'fenced'
    ARRIVED = 'arrived'
    UNKNOWN = 'unknown'

    @property
    def verdict(self) -> Verdict:
        """Return the verdict of the attempt that the answer proves."""
        if self is FenceAnswer.FENCED:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


@attrs.define
class _EntryMemory:
    """Attempts of one entry's epoch.

    Attributes:
        floor: highest number whose fence may have been forgotten.
        forgotten: highest number whose arrival may have been forgotten.
            Arrivals with a number up to either of the two are refused.
    """

    epoch: int
    floor: int = -1
    forgotten: int = -1
    fenced: set[int] = attrs.field(factory=set)
    arrived: set[int] = attrs.field(factory=set)

    def shrink(self, bound: int) -> None:
        """Forget the lower half of a set that has outgrown the bound."""
        if len(self.fenced) > bound:
            self.floor = max(self.floor, self._halve(self.fenced))
        if len(self.arrived) > bound:
            self.forgotten = max(self.forgotten, self._halve(self.arrived))

    @staticmethod
    def _halve(numbers: set[int]) -> int:
        ordered = sorted(numbers)
        dropped = ordered[: len(ordered) // 2]
        numbers.difference_update(dropped)
        return dropped[-1]


@attrs.define
class FenceTable:
    """The fences of one agent.

    Attributes:
        incarnation: must grow with each start of the agent's process; a
            wall-clock reading in nanoseconds will do.
        max_numbers: numbers remembered for each entry and set.
        max_entries: entries remembered.
    """

    incarnation: int
    max_numbers: int = 4096
    max_entries: int = 2048
    late: int = attrs.field(default=0, init=False)
    _entries: dict[str, _EntryMemory] = attrs.field(factory=dict, init=False)

    def arrive(self, attempt: AttemptId) -> Arrival:
        """Decide about an attempt that has arrived whole."""
        if attempt.incarnation != self.incarnation:
            return self._refuse('another incarnation of the agent')
        memory = self._memory(attempt)
        if memory is None:
            return self._refuse('an older epoch', Verdict.MAY_HAVE_RUN)
        if attempt.incarnation != self.incarnation:
            return self._refuse('the agent took a new incarnation')
        if attempt.number in memory.fenced:
            return self._refuse('fenced')
        if attempt.number in memory.arrived:
            return self._refuse('arrived before', Verdict.MAY_HAVE_RUN)
        if attempt.number <= memory.forgotten:
            return self._refuse('forgotten', Verdict.MAY_HAVE_RUN)
        if attempt.number <= memory.floor:
            return self._refuse('below the floor')
        memory.arrived.add(attempt.number)
        memory.shrink(self.max_numbers)
        return Arrival(accepted=True)

    def fence(self, attempt: AttemptId) -> FenceAnswer:
        """Refuse the attempt for ever, unless it has arrived already."""
        if attempt.incarnation != self.incarnation:
            return FenceAnswer.UNKNOWN
        memory = self._memory(attempt)
        if memory is None or attempt.incarnation != self.incarnation:
            return FenceAnswer.UNKNOWN
        if attempt.number in memory.arrived:
            return FenceAnswer.ARRIVED
        if attempt.number <= memory.forgotten:
            return FenceAnswer.UNKNOWN
        if attempt.number > memory.floor:
            memory.fenced.add(attempt.number)
            memory.shrink(self.max_numbers)
        return FenceAnswer.FENCED

    def _refuse(
        self, reason: str, verdict: Verdict = Verdict.NOT_RUN
    ) -> Arrival:
        self.late += 1
        return Arrival(accepted=False, verdict=verdict, reason=reason)

    def _memory(self, attempt: AttemptId) -> _EntryMemory | None:
        """Return the memory of an entry's epoch; None for an older one."""
        memory = self._entries.get(attempt.entry)
        if memory is None and len(self._entries) >= self.max_entries:
            self._entries.clear()
            self.incarnation += 1
        if memory is None or attempt.epoch > memory.epoch:
            memory = _EntryMemory(epoch=attempt.epoch)
            self._entries[attempt.entry] = memory
        return memory if attempt.epoch == memory.epoch else None
