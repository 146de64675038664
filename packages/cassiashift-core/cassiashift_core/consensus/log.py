"""The part of the log that a replica holds in memory."""

from collections.abc import Iterable
from collections.abc import Sequence

from cassiashift_core.consensus import records


class Log:
    """Entries after a compacted prefix, and the voter sets in force."""

    def __init__(
        self,
        voters: records.VoterSet,
        snapshot: records.Snapshot | None = None,
        entries: Iterable[records.Entry] = (),
    ) -> None:
        """Start from the first voter set or from a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries: list[records.Entry] = []
        base_voters = snapshot.voters if snapshot else voters
        self._voter_sets = [(self.base_index, base_voters)]
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def snapshot_index(self) -> int:
        """Return the last index that the snapshot covers."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def voters(self) -> records.VoterSet:
        """Return the newest voter set, committed or not."""
        return self._voter_sets[-1][1]

    @property
    def voters_index(self) -> int:
        """Return the index of the newest voter set."""
        return self._voter_sets[-1][0]

    def voters_at(self, index: int) -> records.VoterSet:
        """Return the voter set in force at an index."""
        so_far = [item for item in self._voter_sets if item[0] <= index]
        return so_far[-1][1]

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index in memory with the term at ``index``."""
        term = self.term_at(index)
        while self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int, limit: int) -> int | None:
        """Return the last index up to ``limit`` with this term, or None."""
        for index in range(min(limit, self.last_index), self.base_index, -1):
            entry_term = self.term_at(index)
            if entry_term == term:
                return index
            if entry_term < term:
                return None
        return None

    def entries_between(
        self, first: int, last: int
    ) -> Sequence[records.Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[records.Entry, ...]:
        """Return entries from ``first`` on, within both limits.

        At least one is returned if there is any, whatever its size.
        """
        size_bytes = 0
        batch = []
        for entry in self.entries_between(first, first + max_entries - 1):
            size_bytes += len(entry.data)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def is_candidate_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log with this last entry is at least as complete.

        The terms of the last entries are compared first, then the indexes.
        """
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def append(self, entries: Iterable[records.Entry]) -> None:
        """Append entries; raise ValueError unless the indexes continue."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(
                    f'entry {entry.index} does not follow the last entry'
                )
            self._entries.append(entry)
            if entry.voters is not None:
                self._voter_sets.append((entry.index, entry.voters))

    def truncate(self, first: int) -> None:
        """Drop the entries from ``first`` on."""
        del self._entries[max(0, first - self.base_index - 1) :]
        kept = [item for item in self._voter_sets[1:] if item[0] < first]
        self._voter_sets[1:] = kept

    def compact(self, snapshot: records.Snapshot, trailing: int) -> None:
        """Set the snapshot; keep the last ``trailing`` entries before it."""
        self.snapshot = snapshot
        base = min(snapshot.index - trailing, self.last_index)
        if base <= self.base_index:
            return
        voters = self.voters_at(base)
        later = [item for item in self._voter_sets if item[0] > base]
        self.base_term = self.term_at(base)
        del self._entries[: base - self.base_index]
        self.base_index = base
        self._voter_sets = [(base, voters), *later]

    def reset(self, snapshot: records.Snapshot) -> None:
        """Replace the whole log with a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries = []
        self._voter_sets = [(snapshot.index, snapshot.voters)]
