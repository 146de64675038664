"""The follower's side of replication."""

from cassiashift_core.consensus import messages
from cassiashift_core.consensus import records
from cassiashift_core import errors


class Follower:
    """Stores entries and snapshots from the leader of the term."""

    def __init__(self, replica) -> None:
        """Work on the state of a replica."""
        self._replica = replica
        self._chunk_key: tuple[int, int] | None = None
        self._chunk_data = bytearray()

    def on_append(self, sender: str, msg: messages.AppendEntries) -> None:
        """Store and acknowledge entries, or reject them if the logs differ."""
        replica = self._replica
        if not replica.accept_leader(sender, msg):
            return
        if self._must_reject(msg):
            self._reject(sender, msg)
            return
        self._append_new_entries(msg)
        last = msg.prev_index + len(msg.entries)
        replica.advance_commit(min(msg.commit, last))
        self._acknowledge(sender, msg.round, last)

    def on_chunk(self, sender: str, msg: messages.SnapshotChunk) -> None:
        """Add a part of a snapshot, and install the snapshot once complete."""
        replica = self._replica
        if not replica.accept_leader(sender, msg):
            return
        if msg.index <= replica.commit_index:
            self._acknowledge(sender, msg.round, replica.commit_index)
            return
        self._add_chunk(msg)
        if len(self._chunk_data) < msg.total:
            self._send_received_bytes(sender, msg)
            return
        snapshot = records.Snapshot(
            msg.index, msg.entry_term, msg.voters, bytes(self._chunk_data)
        )
        self._chunk_key = None
        self._chunk_data = bytearray()
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

    def _append_new_entries(self, msg: messages.AppendEntries) -> None:
        log = self._replica.log
        for position, entry in enumerate(msg.entries):
            if entry.index <= log.base_index:
                continue
            own_term = log.term_at(entry.index)
            if own_term == entry.term:
                continue
            if own_term is not None:
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

    def _acknowledge(self, sender: str, round_number: int, index: int) -> None:
        replica = self._replica
        reply = messages.AppendReply(
            replica.term, round_number, True, index, replica.incarnation
        )
        replica.outbox.send_synced(sender, reply)

    def _add_chunk(self, msg: messages.SnapshotChunk) -> None:
        # Snapshots of two leaders at the same index may differ in their bytes.
        key = (msg.term, msg.index)
        if self._chunk_key != key:
            self._chunk_key = key
            self._chunk_data = bytearray()
        if msg.offset == len(self._chunk_data):
            self._chunk_data += msg.data

    def _send_received_bytes(
        self, sender: str, msg: messages.SnapshotChunk
    ) -> None:
        replica = self._replica
        reply = messages.SnapshotReply(
            replica.term,
            msg.round,
            msg.index,
            len(self._chunk_data),
            replica.incarnation,
        )
        replica.outbox.send_synced(sender, reply)
