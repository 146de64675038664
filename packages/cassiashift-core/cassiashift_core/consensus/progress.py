"""The leader's view of the log of one follower."""

import collections

import attrs

from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records


@attrs.define
class Progress:
    """Replication state of one follower.

    Attributes:
        incarnation: the follower's data folder; empty while unknown.
        match: highest index up to which the follower's log is known to be
            synced and equal to the leader's.
        next: index of the next entry to send.
        inflight: last indexes of the appends without a reply.
        probing: the last index at which the logs agree is unknown; one
            append at a time is sent.
        paused: the append sent while probing has no reply yet.
        match_round: the leader's round when ``match`` last increased.
        has_lost_entries: the follower no longer has the entry at ``match``.
        snapshot: the snapshot being sent; ``offset`` is the next byte.
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
        """Return whether one more append may be sent now."""
        if self.has_lost_entries:
            return False
        if self.probing:
            return not self.paused
        return len(self.inflight) < max_inflight

    def on_sent(self, last_index: int) -> None:
        """Update the window after entries up to ``last_index`` were sent."""
        if self.probing:
            self.paused = True
            return
        self.next = last_index + 1
        self.inflight.append(last_index)

    def on_acknowledged(self, index: int, current_round: int) -> None:
        """Update the state after the follower has synced up to ``index``."""
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

    def on_rejected(
        self, prev_index: int, next_index: int, round_number: int
    ) -> None:
        """Probe further back after the follower rejected an append.

        ``prev_index`` is the previous index of that append, which was sent
        in round ``round_number``. The follower has lost entries if it had
        acknowledged ``prev_index`` before that round.
        """
        if prev_index <= self.match:
            if prev_index > 0 and round_number > self.match_round:
                self.has_lost_entries = True
                self.match = 0
            return
        self.next = max(self.match + 1, min(prev_index, next_index))
        self.probing = True
        self.paused = False
        self.inflight.clear()

    def start_snapshot(self, snapshot: records.Snapshot) -> None:
        """Set the snapshot to send, from its first byte on."""
        self.snapshot = snapshot
        self.offset = 0
        self.probing = True
        self.inflight.clear()

    def reset(self, incarnation: str) -> None:
        """Reset the state for a follower that has another data folder."""
        self.incarnation = incarnation
        self.match = 0
        self.match_round = 0
        self.has_lost_entries = False
        self.snapshot = None
        self.probing = True
        self.paused = False
        self.inflight.clear()


def next_chunk(
    progress: Progress, term: int, round_number: int, max_bytes: int
) -> messages.SnapshotChunk:
    """Return the next part of the snapshot that is being sent.

    At most ``max_bytes`` of its data, from ``progress.offset`` on.
    """
    snapshot = progress.snapshot
    end = progress.offset + max_bytes
    return messages.SnapshotChunk(
        term=term,
        round=round_number,
        index=snapshot.index,
        entry_term=snapshot.term,
        voters=snapshot.voters,
        offset=progress.offset,
        total=len(snapshot.data),
        data=snapshot.data[progress.offset : end],
        incarnation=progress.incarnation,
    )
