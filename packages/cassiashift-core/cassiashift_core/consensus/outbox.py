"""Collects effects and holds messages until changes are durable."""

import collections

import attrs

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import records


@attrs.define
class UnsyncedPersist:
    """A Persist effect that is not durable yet.

    Attributes:
        last_index: the last index of the log with this change.
        saved_at: when the effect was emitted, in seconds.
    """

    sequence: int
    last_index: int
    saved_at: float


class Outbox:
    """Effects of one event, and messages held until the storage syncs."""

    def __init__(self, durable_index: int, commit: int) -> None:
        """Start with a durable index and a durable commit index."""
        self.durable_index = durable_index
        self.saved_commit = commit
        self.sequence = 0
        self.synced_sequence = 0
        self._effects: list[effects.Effect] = []
        self._held: collections.deque = collections.deque()
        self._unsynced: collections.deque = collections.deque()
        self._clear()

    @property
    def is_clean(self) -> bool:
        """Whether all changes are durable."""
        return not self._dirty and self.sequence == self.synced_sequence

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect that need not wait for the storage."""
        self._effects.append(effect)

    def send(self, receiver: str, message) -> None:
        """Send a message that doesn't rely on unsynced changes."""
        self._effects.append(effects.Send(receiver, message))

    def send_synced(self, receiver: str, message) -> None:
        """Send a message once all changes so far are durable."""
        required = self.sequence + (1 if self._dirty else 0)
        self._held.append((required, effects.Send(receiver, message)))

    def save_hard_state(self, hard_state: records.HardState) -> None:
        """Add term, vote and commit index to the next Persist effect."""
        self._dirty = True
        self._hard_state = hard_state

    def save_entries(self, entries) -> None:
        """Add appended entries to the next Persist effect."""
        self._dirty = True
        self._entries.extend(entries)

    def save_truncation(self, first: int) -> None:
        """Drop entries from ``first`` on with the next Persist effect."""
        self._dirty = True
        kept = [entry for entry in self._entries if entry.index < first]
        self._entries = kept
        self._truncate_from = min(first, self._truncate_from or first)
        self.cap_durable_index(first - 1)

    def save_snapshot(self, snapshot: records.Snapshot) -> None:
        """Add a snapshot to the next Persist effect."""
        self._dirty = True
        self._snapshot = snapshot

    def cap_durable_index(self, index: int) -> None:
        """Treat entries after an index as not durable.

        This includes the changes that are being synced.
        """
        self.durable_index = min(self.durable_index, index)
        for item in self._unsynced:
            item.last_index = min(item.last_index, index)

    def on_synced(self, sequence: int) -> list[effects.Send]:
        """Record that changes are durable; return the released messages."""
        self.synced_sequence = max(self.synced_sequence, sequence)
        while self._unsynced and self._unsynced[0].sequence <= sequence:
            last_index = self._unsynced.popleft().last_index
            self.durable_index = max(self.durable_index, last_index)
        return self.release()

    def release(self) -> list[effects.Send]:
        """Return the held messages whose changes are all durable."""
        released = []
        while self._held and self._held[0][0] <= self.synced_sequence:
            released.append(self._held.popleft()[1])
        return released

    def drop_held(self) -> None:
        """Drop all messages that wait for the storage."""
        self._held.clear()

    def oldest_unsynced_age_s(self, now: float) -> float:
        """Return the age of the oldest unsynced change, in seconds, or 0."""
        return now - self._unsynced[0].saved_at if self._unsynced else 0.0

    def emit_persist(
        self, hard_state: records.HardState, last_index: int, now: float
    ) -> None:
        """Emit the collected changes, if any, as one Persist effect."""
        if not self._dirty:
            return
        self.sequence += 1
        self._unsynced.append(UnsyncedPersist(self.sequence, last_index, now))
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

    def pop_effects(self) -> list[effects.Effect]:
        """Return the effects collected since the last call."""
        collected = self._effects
        self._effects = []
        return collected

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
