"""Collects effects and holds back what depends on unsynced changes."""

import collections

import attrs

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import records


@attrs.define
class Mark:
    """A Persist effect that is not durable yet, and where its log ends."""

    sequence: int
    last_index: int
    saved_at: float


class Outbox:
    """Effects of one event, and messages that wait for the storage."""

    def __init__(self, durable_index: int, commit: int) -> None:
        """Start with a log that is durable up to an index."""
        self.durable_index = durable_index
        self.saved_commit = commit
        self.sequence = 0
        self.synced_sequence = 0
        self._effects: list[effects.Effect] = []
        self._held: collections.deque = collections.deque()
        self._marks: collections.deque = collections.deque()
        self._clear()

    @property
    def is_clean(self) -> bool:
        """Tell whether no change waits for the storage."""
        return not self._dirty and self.sequence == self.synced_sequence

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect that may happen at once."""
        self._effects.append(effect)

    def send(self, receiver: str, message) -> None:
        """Send a message that promises nothing."""
        self._effects.append(effects.Send(receiver, message))

    def send_synced(self, receiver: str, message) -> None:
        """Send a message after all changes so far are durable."""
        wanted = self.sequence + (1 if self._dirty else 0)
        self._held.append((wanted, effects.Send(receiver, message)))

    def save_hard_state(self, hard_state: records.HardState) -> None:
        """Make the term, the vote and the commit index durable."""
        self._dirty = True
        self._hard_state = hard_state

    def save_entries(self, entries) -> None:
        """Make appended entries durable."""
        self._dirty = True
        self._entries.extend(entries)

    def save_truncation(self, first: int) -> None:
        """Drop the entries from ``first`` on."""
        self._dirty = True
        kept = [entry for entry in self._entries if entry.index < first]
        self._entries = kept
        self._truncate_from = min(first, self._truncate_from or first)
        self.limit_durable(first - 1)

    def save_snapshot(self, snapshot: records.Snapshot) -> None:
        """Make a snapshot durable."""
        self._dirty = True
        self._snapshot = snapshot

    def limit_durable(self, index: int) -> None:
        """Take back the durability of entries after an index."""
        self.durable_index = min(self.durable_index, index)
        for mark in self._marks:
            mark.last_index = min(mark.last_index, index)

    def synced(self, sequence: int) -> list[effects.Send]:
        """Note that changes are durable; return the released messages."""
        self.synced_sequence = max(self.synced_sequence, sequence)
        while self._marks and self._marks[0].sequence <= sequence:
            last_index = self._marks.popleft().last_index
            self.durable_index = max(self.durable_index, last_index)
        return self.release()

    def release(self) -> list[effects.Send]:
        """Return the held messages that depend on nothing any more."""
        released = []
        while self._held and self._held[0][0] <= self.synced_sequence:
            released.append(self._held.popleft()[1])
        return released

    def drop_held(self) -> None:
        """Forget all messages that wait for the storage."""
        self._held.clear()

    def waiting_s(self, now: float) -> float:
        """Return for how long the oldest change has not become durable."""
        return now - self._marks[0].saved_at if self._marks else 0.0

    def save(
        self, hard_state: records.HardState, last_index: int, now: float
    ) -> None:
        """Turn the collected changes into one Persist effect."""
        if not self._dirty:
            return
        self.sequence += 1
        self._marks.append(Mark(self.sequence, last_index, now))
        self._effects.append(
            effects.Persist(
                self.sequence,
                self._changed_hard_state(hard_state),
                tuple(self._entries),
                self._truncate_from,
                self._snapshot,
            )
        )
        self._clear()

    def take(self) -> list[effects.Effect]:
        """Return the effects collected since the last call."""
        taken = self._effects
        self._effects = []
        return taken

    def _changed_hard_state(self, current):
        if self._hard_state is None and current.commit == self.saved_commit:
            return None
        self.saved_commit = current.commit
        return current

    def _clear(self) -> None:
        self._dirty = False
        self._hard_state: records.HardState | None = None
        self._entries: list[records.Entry] = []
        self._truncate_from: int | None = None
        self._snapshot: records.Snapshot | None = None
