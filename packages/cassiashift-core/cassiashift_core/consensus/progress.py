"""What the leader knows about the log of one follower."""

import collections

import attrs

from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records


@attrs.define
class Progress:
    """Replication state of one follower.

    Attributes:
        incarnation: the follower's data folder; empty while unknown.
        match: last index known to be synced and equal there.
        next: index of the next entry to send.
        inflight: last indexes of the appends without an answer.
        probing: the point where the logs meet is not known; one append at
            a time is sent.
        paused: the probe waits for its answer.
        match_round: the leader's round when ``match`` was last acknowledged.
        has_lost_entries: the follower went back behind ``match``.
        snapshot: the snapshot being sent, from byte ``offset`` on.
    """

    host: str
    next: int
    incarnation: str = ''
    match: int = 0
    inflight: collections.deque = attrs.field(factory=collections.deque)
    probing: bool = True
    paused: bool = False
    match_round: int = 0
    has_lost_entries: bool = False
    snapshot: records.Snapshot | None = None
    offset: int = 0

    def may_send(self, max_inflight: int) -> bool:
        """Tell whether one more append may be sent now."""
        if self.has_lost_entries:
            return False
        if self.probing:
            return not self.paused
        return len(self.inflight) < max_inflight

    def sent(self, last_index: int) -> None:
        """Note that entries up to an index were sent."""
        if self.probing:
            self.paused = True
            return
        self.next = last_index + 1
        self.inflight.append(last_index)

    def acknowledge(self, index: int, current_round: int) -> None:
        """Note that the follower holds and synced entries to an index."""
        if index > self.match:
            self.match = index
            self.match_round = current_round
        self.next = max(self.next, self.match + 1)
        if self.snapshot and index >= self.snapshot.index:
            self.snapshot = None
        self.probing = False
        self.paused = False
        while self.inflight and self.inflight[0] <= index:
            self.inflight.popleft()

    def reject(self, prev_index: int, next_index: int, number: int) -> None:
        """Go back after the follower refused a previous index.

        The append was sent in round ``number``. If that was after the
        acknowledgement of the index, the follower has lost entries.
        """
        if prev_index <= self.match:
            if prev_index > 0 and number > self.match_round:
                self.has_lost_entries = True
                self.match = 0
            return
        self.next = max(self.match + 1, min(prev_index, next_index))
        self.probing = True
        self.paused = False
        self.inflight.clear()

    def send_snapshot(self, snapshot: records.Snapshot) -> None:
        """Start to send a snapshot from its first byte."""
        self.snapshot = snapshot
        self.offset = 0
        self.probing = True
        self.inflight.clear()

    def restart(self, incarnation: str) -> None:
        """Forget everything about a follower with another data folder."""
        self.incarnation = incarnation
        self.match = 0
        self.match_round = 0
        self.has_lost_entries = False
        self.snapshot = None
        self.probing = True
        self.paused = False
        self.inflight.clear()


def chunk_of(
    progress: Progress, term: int, number: int, max_bytes: int
) -> messages.SnapshotChunk:
    """Return the next part of the snapshot that is being sent."""
    snapshot = progress.snapshot
    end = progress.offset + max_bytes
    return messages.SnapshotChunk(
        term=term,
        round=number,
        index=snapshot.index,
        entry_term=snapshot.term,
        voters=snapshot.voters,
        offset=progress.offset,
        total=len(snapshot.data),
        data=snapshot.data[progress.offset : end],
        incarnation=progress.incarnation,
    )
