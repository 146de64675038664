"""The follower's side of replication."""

from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records
from cassiashift_core import errors


class Follower:
    """Takes entries and snapshots from the leader of the term."""

    def __init__(self, replica) -> None:
        """Work on the state of a replica."""
        self._replica = replica
        self._partial: tuple[int, int] | None = None
        self._data = bytearray()

    def on_append(self, sender: str, msg: messages.AppendEntries) -> None:
        """Check, take and acknowledge entries."""
        replica = self._replica
        if not replica.accept_leader(sender, msg):
            return
        if self._must_reject(msg):
            self._reject(sender, msg)
            return
        self._take(msg)
        last = msg.prev_index + len(msg.entries)
        replica.raise_commit(min(msg.commit, last))
        self._acknowledge(sender, msg.round, last)

    def on_chunk(self, sender: str, msg: messages.SnapshotChunk) -> None:
        """Take a part of a snapshot, and install it once it is whole."""
        replica = self._replica
        if not replica.accept_leader(sender, msg):
            return
        if msg.index <= replica.commit_index:
            self._acknowledge(sender, msg.round, replica.commit_index)
            return
        self._collect(msg)
        if len(self._data) < msg.total:
            self._report(sender, msg)
            return
        snapshot = records.Snapshot(
            msg.index, msg.entry_term, msg.voters, bytes(self._data)
        )
        self._partial = None
        self._data = bytearray()
        replica.install(snapshot)
        self._acknowledge(sender, msg.round, msg.index)

    def _must_reject(self, msg: messages.AppendEntries) -> bool:
        log = self._replica.log
        if msg.prev_index < log.base_index:
            return False
        return log.term_at(msg.prev_index) != msg.prev_term

    def _reject(self, sender: str, msg: messages.AppendEntries) -> None:
        replica = self._replica
        log = replica.log
        hint_term = log.term_at(msg.prev_index) or 0
        hint_index = log.last_index + 1
        if hint_term:
            hint_index = log.first_index_of_term_at(msg.prev_index)
        reply = messages.AppendReply(
            replica.term,
            msg.round,
            False,
            msg.prev_index,
            replica.incarnation,
            hint_index,
            hint_term,
        )
        replica.outbox.send_synced(sender, reply)

    def _take(self, msg: messages.AppendEntries) -> None:
        log = self._replica.log
        for position, entry in enumerate(msg.entries):
            if entry.index <= log.base_index:
                continue
            known = log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self._truncate(entry.index)
            self._replica.append(msg.entries[position:])
            return

    def _truncate(self, first: int) -> None:
        replica = self._replica
        if first <= replica.commit_index:
            raise errors.CassiashiftError(
                errors.ErrorCode.INTERNAL,
                f'the leader contradicts the committed entry {first}',
            )
        replica.log.truncate(first)
        replica.outbox.save_truncation(first)

    def _acknowledge(self, sender: str, number: int, index: int) -> None:
        replica = self._replica
        reply = messages.AppendReply(
            replica.term, number, True, index, replica.incarnation
        )
        replica.outbox.send_synced(sender, reply)

    def _collect(self, msg: messages.SnapshotChunk) -> None:
        # Two leaders may hold different bytes for the same index.
        key = (msg.term, msg.index)
        if self._partial != key:
            self._partial = key
            self._data = bytearray()
        if msg.offset == len(self._data):
            self._data += msg.data

    def _report(self, sender: str, msg: messages.SnapshotChunk) -> None:
        replica = self._replica
        reply = messages.SnapshotReply(
            replica.term,
            msg.round,
            msg.index,
            len(self._data),
            replica.incarnation,
        )
        replica.outbox.send_synced(sender, reply)
