"""Snapshots in parts: sending them to children and downloading them."""

import attrs
import xxhash

from cassiashift_core.spread import messages

PART_BYTES = 65_536
MAX_PARTS = 4096
MAX_WAITING_CHILDREN = 256
IDLE_TIMEOUT_S = 30.0
PART_TIMEOUT_S = 1.0
MAX_PART_RETRIES = 2


@attrs.define
class SnapshotServer:
    """Keeps one snapshot for children and frees it when it is unused.

    Attributes:
        requested: a new snapshot has been requested and is not stored yet.
    """

    _snapshot: 'StoredSnapshot | None' = None
    _waiting: set[str] = attrs.field(factory=set)
    _used_s: float = 0.0
    requested: bool = False

    @property
    def revision(self) -> int:
        """Return the revision of the stored snapshot, 0 if there is none."""
        return self._snapshot.revision if self._snapshot else 0

    def store(self, revision: int, data: bytes, now: float) -> None:
        """Store a snapshot in place of an older one."""
        self.requested = False
        self._snapshot = StoredSnapshot.from_data(revision, data)
        self._used_s = now

    def add_waiting(self, child: str) -> None:
        """Add a child to which a snapshot is sent once there is one.

        It is ignored if ``MAX_WAITING_CHILDREN`` wait; it asks again anyway.
        """
        if len(self._waiting) < MAX_WAITING_CHILDREN:
            self._waiting.add(child)

    def pop_waiting(self) -> list[str]:
        """Return the waiting children and clear their list."""
        waiting = sorted(self._waiting)
        self._waiting.clear()
        return waiting

    def part(
        self, request: messages.SnapshotPull, now: float
    ) -> messages.SnapshotPart:
        """Return the requested part, or the first one of another revision."""
        self._used_s = now
        index = request.index
        if request.revision != self.revision:
            index = 0
        return self._snapshot.part(index)

    def can_serve(self, base: int, limit: int) -> bool:
        """Return whether the stored snapshot may be sent to a child.

        Args:
            base: lowest revision whose following deltas are kept.
            limit: highest revision that children may get.
        """
        return bool(self.revision) and base <= self.revision <= limit

    def should_request(self, limit: int) -> bool:
        """Return whether to request a snapshot: True once until it is stored.

        Nothing is requested while the stored one is above the limit.
        """
        if self.requested or self.revision > limit:
            return False
        self.requested = True
        return True

    def expire(self, now: float) -> None:
        """Free a snapshot that has been unused for ``IDLE_TIMEOUT_S``."""
        if self._snapshot and now - self._used_s > IDLE_TIMEOUT_S:
            self._snapshot = None


@attrs.frozen
class StoredSnapshot:
    """A snapshot that can be read in parts of ``PART_BYTES``."""

    revision: int
    data: bytes
    digest: int

    @classmethod
    def from_data(cls, revision: int, data: bytes) -> 'StoredSnapshot':
        """Return the snapshot of some data, with its digest."""
        return cls(revision, data, xxhash.xxh3_64_intdigest(data))

    @property
    def part_count(self) -> int:
        """Return the number of parts, at least one."""
        return max(1, -(-len(self.data) // PART_BYTES))

    def part(self, index: int) -> messages.SnapshotPart:
        """Return one part; the first one if the index is out of range."""
        if not 0 <= index < self.part_count:
            index = 0
        start = index * PART_BYTES
        return messages.SnapshotPart(
            revision=self.revision,
            index=index,
            count=self.part_count,
            digest=self.digest,
            data=self.data[start : start + PART_BYTES],
        )


@attrs.define
class Download:
    """A snapshot that is being pulled part by part from one parent.

    Attributes:
        requested_s: time of the last request.
        revision: revision of the parts received, 0 before the first.
        retries: requests for the next part that had no answer.
    """

    parent: str
    requested_s: float
    revision: int = 0
    retries: int = 0
    _parts: list[bytes] = attrs.field(factory=list)

    @property
    def request(self) -> messages.SnapshotPull:
        """Return the request for the next part."""
        return messages.SnapshotPull(self.revision, len(self._parts))

    def retry(self, now: float) -> messages.SnapshotPull | None:
        """Return the request again if its answer is overdue, else None."""
        if now - self.requested_s < PART_TIMEOUT_S or self.has_failed(now):
            return None
        self.retries += 1
        self.requested_s = now
        return self.request

    def has_failed(self, now: float) -> bool:
        """Return whether the answer to the last retry is overdue."""
        overdue = now - self.requested_s >= PART_TIMEOUT_S
        return overdue and self.retries >= MAX_PART_RETRIES

    def add_part(self, part: messages.SnapshotPart) -> bool:
        """Append a part; return False if it is not the expected one.

        The first part of another revision restarts the download.
        """
        if part.index == 0 and part.revision != self.revision:
            self._parts = []
            self.revision = part.revision
        if part.revision != self.revision:
            return False
        if part.index != len(self._parts) or part.count > MAX_PARTS:
            return False
        if len(part.data) > PART_BYTES:
            return False
        self._parts.append(part.data)
        self.retries = 0
        return True

    def assemble(self, part: messages.SnapshotPart) -> bytes | None:
        """Return the whole snapshot after its last part, else None.

        With a wrong digest, the parts are dropped and the download restarts.
        """
        if len(self._parts) != part.count:
            return None
        data = b''.join(self._parts)
        if xxhash.xxh3_64_intdigest(data) != part.digest:
            self._parts = []
            self.revision = 0
            return None
        return data
